//! The retry budgets of single instances add up to at most the service's budget.

use std::time::Duration;

use carob_base::Time;
use carob_dispatch::budget::{Options, RetryBudget};
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(10);

fn options(instances: f64) -> Options {
    Options {
        window: WINDOW,
        ratio: 0.2,
        extra: 54.0 / instances,
    }
}

proptest! {
    /// In every window that starts with a retry, the retries of all instances stay within the fixed number
    /// plus the ratio of the requests in one of three windows: this one, the one before it or the one half a
    /// window earlier.
    #[test]
    fn the_sum_over_instances_keeps_to_the_whole(
        steps in prop::collection::vec((0..3usize, 0..400u64, prop::bool::ANY), 1..400),
    ) {
        let mut budgets = vec![RetryBudget::new(options(3.0)); 3];
        let (mut now, mut requests, mut retries) = (0, Vec::new(), Vec::new());
        for (instance, pause, request) in steps {
            now += pause;
            if request {
                budgets[instance].record_request(Time::from_millis(now));
                requests.push(now);
            } else if budgets[instance].try_retry(Time::from_millis(now)) {
                retries.push(now);
            }
        }
        let window = WINDOW.as_millis() as u64;
        let count = |times: &[u64], from: u64| {
            times.iter().filter(|time| **time >= from && **time < from + window).count() as f64
        };
        for start in &retries {
            let requests = [*start, start.saturating_sub(window), start.saturating_sub(window / 2)]
                .map(|from| count(&requests, from))
                .into_iter()
                .fold(0.0, f64::max);
            prop_assert!(count(&retries, *start) <= 0.2f64.mul_add(requests, 54.0));
        }
    }
}

#[test]
fn retries_are_permitted_again_after_the_window() {
    let mut budget = RetryBudget::new(options(54.0));
    assert!(budget.try_retry(Time::ZERO));
    assert!(!budget.try_retry(Time::from_millis(9_000)));
    assert!(budget.try_retry(Time::from_millis(13_000)));
}
