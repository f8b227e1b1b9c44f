//! What an instance concludes from calls to the store that fail or are not made.
//!
//! It must recognise every outage that is long enough for entries to expire, and must not rely on directory
//! updates that no longer arrive.

use std::time::{Duration, Instant};

use carob_gateway::reach::{MIN_OUTAGE, REAPPEARANCE_WINDOW, Reachability};

const STEP: Duration = Duration::from_millis(100);

/// Guards against an outage that is missed because no call failed late in it. Calls are made at growing
/// intervals while they fail: in an outage of 1.88 s the last call failed before 1.5 s, the outage was not
/// recognised, and an entry that expired in it was removed at once.
#[test]
fn an_outage_lasts_until_the_first_answer() {
    let start = Instant::now();
    let mut reach = Reachability::new();
    reach.record_answer(start, false);
    reach.record_failure(start, start + STEP, false);
    let last = start + MIN_OUTAGE.saturating_sub(STEP);
    reach.record_failure(start, last, false);
    assert_eq!(reach.reappearance_left(last), None);
    let back = start + MIN_OUTAGE + STEP;
    assert_eq!(reach.record_answer(back, false), MIN_OUTAGE + STEP);
    assert_eq!(reach.reappearance_left(back), Some(REAPPEARANCE_WINDOW));
    assert_eq!(
        reach.reappearance_left(back + REAPPEARANCE_WINDOW),
        Some(Duration::ZERO)
    );
    reach.end_reappearance();
    assert_eq!(reach.reappearance_left(back + REAPPEARANCE_WINDOW), None);
}

#[test]
fn a_store_that_a_peer_watches_is_not_away_for_all() {
    let start = Instant::now();
    let mut reach = Reachability::new();
    reach.record_failure(start, start + MIN_OUTAGE, true);
    reach.record_answer(start + MIN_OUTAGE + STEP, true);
    assert_eq!(reach.reappearance_left(start + MIN_OUTAGE + STEP), None);
    assert!(reach.is_answering());
}

/// Guards against an instance that makes no calls and still counts as informed after the last watching peer
/// has stopped (found in the workload tandyr-enrol-grown, inc-2b73).
#[test]
fn an_instance_that_rests_is_blind_as_soon_as_no_peer_watches() {
    let start = Instant::now();
    let mut reach = Reachability::new();
    assert!(
        !reach.is_uninformed(start, false),
        "before the first call there is no evidence"
    );
    reach.record_answer(start, true);
    reach.suspend(start);
    let later = start + Duration::from_secs(9);
    assert!(!reach.is_uninformed(later, true));
    assert!(reach.is_uninformed(later, false));
    // That its own first call has not failed yet makes no difference.
    assert!(reach.is_uninformed(later + STEP, false));
    reach.record_answer(later + STEP, false);
    assert!(!reach.is_uninformed(later + STEP * 2, false));
}

/// An instance that the store never answered, and that has its content from others, stayed informed when nobody watched any more.
#[test]
fn an_instance_that_was_never_answered_stays_informed() {
    let start = Instant::now();
    let mut reach = Reachability::new();
    reach.record_failure(start, start + STEP, true);
    reach.suspend(start + STEP);
    let later = start + Duration::from_secs(9);
    assert!(!reach.is_uninformed(later, true));
    assert!(reach.is_uninformed(later, false));
}

/// An outage that went on during a long call counted as over since the call before it.
#[test]
fn entries_reappear_after_an_outage_that_goes_on_during_a_call() {
    let start = Instant::now();
    let mut reach = Reachability::new();
    reach.record_answer(start, false);
    reach.record_failure(start, start + MIN_OUTAGE, false);
    let end = start + MIN_OUTAGE + REAPPEARANCE_WINDOW;
    reach.observe(end, false);
    // Another instance regains the store first.
    reach.record_answer(end + STEP, true);
    let left = REAPPEARANCE_WINDOW.saturating_sub(STEP);
    assert_eq!(reach.reappearance_left(end + STEP), Some(left));
}

#[test]
fn a_single_failing_call_makes_no_instance_blind() {
    let start = Instant::now();
    let mut reach = Reachability::new();
    reach.record_answer(start, false);
    reach.record_failure(start + STEP, start + STEP, false);
    assert!(!reach.is_uninformed(start + STEP * 2, false));
    assert!(reach.is_uninformed(start + STEP * 6, false));
}

/// Two instances that began to watch when the store had just gone silent each took the other's word for it that the
/// store answers, and did not learn that an upstream left.
#[test]
fn an_instance_that_begins_to_watch_vouches_for_the_store_before_it_has_answered() {
    let start = Instant::now();
    let mut reach = Reachability::new();
    assert!(!reach.is_answering());
    reach.record_answer(start, false);
    assert!(reach.is_answering());
    reach.suspend(start);
    assert!(!reach.is_answering());
    reach.record_answer(start + STEP, false);
    assert!(reach.is_answering());
    reach.record_failure(start + STEP, start + STEP * 2, false);
    assert!(!reach.is_answering());
}
