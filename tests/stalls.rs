//! Streams that may run once only, of upstreams that are slow, or that stall.

mod fleet;

use std::time::Duration;

use carob_platform_standin::{AnswerMode, Stall, client::Request};
use fleet::{Fleet, generation_request, wait_until};

/// Time limit of the route in the configuration.
const TIME_LIMIT: Duration = Duration::from_secs(5);

/// Time after the limit within which a request has its final answer.
const SLACK: Duration = Duration::from_millis(500);

/// Number of events of a whole stream, and the time between two of a slow one.
const EVENTS: u64 = 8;
const SLOW: Duration = Duration::from_millis(500);

fn draft(id: &str) -> Request {
    generation_request(id).with_events(EVENTS)
}

#[test]
fn a_slow_but_sound_stream_is_cut() {
    let fleet = Fleet::start(1);
    let _engine = fleet.start_engine("e1", EVENTS, SLOW);
    fleet.configure();
    let outcome = fleet.send(0, &draft("s1"));
    assert!(outcome.complete);
    assert_eq!(outcome.events(), (1..=EVENTS).collect::<Vec<_>>());
}

/// It sends nothing, or comments, which keep its connection in use.
#[test]
fn a_stream_that_stalls_outlasts_its_time() {
    for after in [0, 3] {
        for comments in [false, true] {
            let fleet = Fleet::start(1);
            let engine = fleet.start_engine("e1", EVENTS, Duration::from_millis(10));
            fleet.configure();
            engine.set_answer_mode(AnswerMode::Stalled(Stall { after, comments }));
            let what = format!("after {after}, comments {comments}");
            let begun = std::time::Instant::now();
            let outcome = fleet.send(0, &draft("t1"));
            let taken = begun.elapsed();
            assert!(taken < TIME_LIMIT + SLACK, "{what}: {taken:?}");
            assert!(!outcome.complete, "{what}");
            assert_eq!(outcome.events(), (1..=after).collect::<Vec<_>>(), "{what}");
            wait_until("the run ends", || fleet.ledger.running_engines("t1") == 0);
            assert_eq!(fleet.ledger.run_count("t1"), 1, "{what}");
        }
    }
}
