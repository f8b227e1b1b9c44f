//! Decisions between the signal to shut down and the exit.

use std::time::Duration;

use carob_base::Time;
use carob_shutdown::{Bounds, Options, Shutdown, Stage};
use proptest::prelude::*;

const NOTICE: Duration = Duration::from_millis(2_600);
const GRACE: Duration = Duration::from_secs(8);
const SIGNAL: Time = Time::from_millis(50_000);

fn shutdown() -> Shutdown {
    Shutdown::new(SIGNAL, Options::new(NOTICE).with_grace(GRACE))
}

fn bounds(deadline: u64, longest: u64) -> Bounds {
    Bounds {
        deadline: Duration::from_millis(deadline),
        longest: Duration::from_millis(longest),
    }
}

fn after(millis: u64) -> Time {
    SIGNAL + Duration::from_millis(millis)
}

#[test]
fn stages_follow_the_signal() {
    let shutdown = shutdown();
    assert_eq!(shutdown.stage(SIGNAL), Stage::Notice);
    assert_eq!(shutdown.stage(after(2_600)), Stage::Drain);
    assert_eq!(shutdown.stage(after(7_599)), Stage::Drain);
    assert_eq!(shutdown.stage(after(7_600)), Stage::Over);
}

/// Incident inc1: an estimate of 2.97 s was taken for a bound when 3.94 s were left.
#[test]
fn a_request_late_in_a_shutdown_is_not_accepted_on_an_estimate() {
    let late = after(3_657);
    assert!(!shutdown().admits(late, bounds(39_000, 2_970)));
    assert!(shutdown().admits(late, bounds(1_200, 600)));
}

#[test]
fn a_request_with_a_short_deadline_is_accepted_as_long_as_it_fits() {
    assert!(shutdown().admits(after(6_200), bounds(1_200, 600)));
    assert!(!shutdown().admits(after(6_300), bounds(1_200, 600)));
}

#[test]
fn during_the_notice_the_longest_answer_counts() {
    assert!(shutdown().admits(after(500), bounds(39_000, 4_000)));
    assert!(!shutdown().admits(after(500), bounds(39_000, 8_000)));
}

#[test]
fn without_a_grace_every_request_is_accepted_and_awaited() {
    let shutdown = Shutdown::new(SIGNAL, Options::new(NOTICE));
    assert!(shutdown.admits(after(100_000), bounds(39_000, 39_000)));
    assert!(!shutdown.may_exit(after(100_000), 1));
    assert!(shutdown.may_exit(after(2_600), 0));
}

proptest! {
    /// An answer may be cut off only in the last sixth of the grace.
    #[test]
    fn the_margin_leaves_five_sixths_of_any_grace(grace in 1u64..3_600_000, notice in 0u64..10_000) {
        let options = Options::new(Duration::from_millis(notice)).with_grace(Duration::from_millis(grace));
        let shutdown = Shutdown::new(SIGNAL, options);
        let used = shutdown.exit().since(SIGNAL);
        prop_assert!(used <= Duration::from_millis(grace));
        prop_assert!(used * 6 >= Duration::from_millis(grace) * 5);
        prop_assert!(shutdown.closes() <= shutdown.exit());
        prop_assert!(shutdown.exit() <= shutdown.overdue() && shutdown.overdue() <= shutdown.forced());
        prop_assert!(shutdown.forced().since(SIGNAL) <= Duration::from_millis(grace));
    }
}
