//! What an instance concludes from calls to the store that fail or are not made.

use std::time::{Duration, Instant};

use carob_gateway::reach::{COMEBACK, OUTAGE, Reach};

const STEP: Duration = Duration::from_millis(100);

/// Calls are made in growing pauses while they fail. An outage of 1.88 s, whose last failing call came before 1.5 s,
/// was not taken for one, and an entry that lapsed in it was dropped at once.
#[test]
fn an_outage_lasts_until_the_first_answer() {
    let start = Instant::now();
    let mut reach = Reach::new();
    reach.answered(start, false);
    reach.failed(start, start + STEP, false);
    let last = start + OUTAGE.saturating_sub(STEP);
    reach.failed(start, last, false);
    assert_eq!(reach.unsettled(last), None);
    let back = start + OUTAGE + STEP;
    assert_eq!(reach.answered(back, false), OUTAGE + STEP);
    assert_eq!(reach.unsettled(back), Some(COMEBACK));
    assert_eq!(reach.unsettled(back + COMEBACK), Some(Duration::ZERO));
    reach.settle();
    assert_eq!(reach.unsettled(back + COMEBACK), None);
}

#[test]
fn a_store_that_a_peer_watches_is_not_away_for_all() {
    let start = Instant::now();
    let mut reach = Reach::new();
    reach.failed(start, start + OUTAGE, true);
    reach.answered(start + OUTAGE + STEP, true);
    assert_eq!(reach.unsettled(start + OUTAGE + STEP), None);
    assert!(reach.answers());
}

/// Found on tandyr-enrol-grown, inc-2b73.
#[test]
fn an_instance_that_rests_is_blind_as_soon_as_no_peer_watches() {
    let start = Instant::now();
    let mut reach = Reach::new();
    assert!(
        !reach.is_blind(start, false),
        "nothing is known before the first call"
    );
    reach.answered(start, true);
    reach.rest();
    let later = start + Duration::from_secs(9);
    assert!(!reach.is_blind(later, true));
    assert!(reach.is_blind(later, false));
    // Its own first call has not failed yet, which changes nothing.
    assert!(reach.is_blind(later + STEP, false));
    reach.answered(later + STEP, false);
    assert!(!reach.is_blind(later + STEP * 2, false));
}

#[test]
fn a_single_failing_call_makes_no_instance_blind() {
    let start = Instant::now();
    let mut reach = Reach::new();
    reach.answered(start, false);
    reach.failed(start + STEP, start + STEP, false);
    assert!(!reach.is_blind(start + STEP * 2, false));
    assert!(reach.is_blind(start + STEP * 6, false));
}
