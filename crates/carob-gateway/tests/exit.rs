//! The end of a process that does not end by itself.

use std::{
    thread,
    time::{Duration, Instant},
};

use carob_gateway::force_exit;

const GRACE: Duration = Duration::from_secs(2);

/// A process whose threads were stuck ran until it was killed.
#[test]
fn a_process_whose_threads_are_stuck_is_not_ended_before_its_grace_is_over() {
    let signal = Instant::now();
    let mut ended = None;
    force_exit(signal, GRACE, || ended = Some(signal.elapsed()));
    let ended = ended.expect("it is ended");
    assert!(ended > GRACE * 5 / 6 && ended < GRACE, "ended after {ended:?}");
}

/// A signal that is read late leaves less time, and none is added.
#[test]
fn a_signal_that_was_read_late_ends_the_process_at_once() {
    let signal = Instant::now();
    thread::sleep(GRACE);
    force_exit(signal, GRACE, || ());
    assert!(signal.elapsed() < GRACE + Duration::from_millis(500));
}
