//! The retry budgets of single instances add up to at most the service's budget.

use std::time::Duration;

use carob_base::Time;
use carob_dispatch::budget::{Divisor, Options, RetryBudget};
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(10);

/// Repeats that operators permit in a window, apart from the ratio.
const EXTRA: f64 = 54.0;

fn options(instances: f64) -> Options {
    Options {
        window: WINDOW,
        ratio: 0.2,
        extra: EXTRA / instances,
    }
}

fn try_repeat(budget: &mut RetryBudget, now: Time) -> bool {
    let permitted = budget.reserve(now);
    if permitted {
        budget.commit(now);
    }
    permitted
}

/// Repeats as often as is permitted at `now`; returns how often.
fn spend(budget: &mut RetryBudget, now: Time) -> usize {
    std::iter::repeat_with(|| try_repeat(budget, now))
        .take_while(|permitted| *permitted)
        .count()
}

/// Seconds since the process of a test's budget started.
fn at(seconds: f64) -> Time {
    Time::ZERO + Duration::from_secs_f64(seconds)
}

proptest! {
    /// In every window that starts with a retry, the retries of all instances stay within the fixed number
    /// plus the ratio of the requests in one of three windows: this one, the one before it or the one half a
    /// window earlier.
    #[test]
    fn the_sum_over_instances_keeps_to_the_whole(
        steps in prop::collection::vec((0..3usize, 0..400u64, prop::bool::ANY), 1..400),
    ) {
        let mut budgets = vec![RetryBudget::new(options(3.0), Time::ZERO); 3];
        let (mut now, mut requests, mut retries) = (0, Vec::new(), Vec::new());
        for (instance, pause, request) in steps {
            now += pause;
            if request {
                budgets[instance].record_request();
                requests.push(now);
            } else if try_repeat(&mut budgets[instance], Time::from_millis(now)) {
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

    /// Shares of instances that know each other add up to what operators permit, and leave each a whole repeat
    /// if there is one for each.
    #[test]
    fn shares_add_up(known in 1..400usize, extra in 0.0..500.0f64) {
        let mut divisor = Divisor::new();
        divisor.observe(known);
        let share = divisor.share(extra);
        prop_assert!(share * known as f64 <= extra * (1.0 + 1e-9));
        prop_assert!(share >= 1.0 || extra < known as f64);
    }
}

#[test]
fn retries_are_permitted_again_after_the_window() {
    let mut budget = RetryBudget::new(options(54.0), at(0.0));
    assert!(try_repeat(&mut budget, at(20.0)));
    assert!(!try_repeat(&mut budget, at(29.0)));
    assert!(try_repeat(&mut budget, at(33.0)));
}

/// A process that started had its whole share, which the process before had just spent.
#[test]
fn a_process_that_starts_has_the_share_of_the_one_before_again() {
    let mut budget = RetryBudget::new(options(10.0), at(0.0));
    assert_eq!(spend(&mut budget, at(0.0)), 0);
    for _ in 0..12 {
        budget.record_request();
    }
    assert_eq!(
        spend(&mut budget, at(1.0)),
        2,
        "what its own requests have earned"
    );
    assert_eq!(spend(&mut budget, at(9.9)), 0);
    assert_eq!(spend(&mut budget, at(14.0)), 5, "its share, a window later");
}

/// An instance counted requests that were older than the window in which others had the same
/// load already.
#[test]
fn a_share_grows_by_requests_of_another_window() {
    let mut budget = RetryBudget::new(options(10.0), at(0.0));
    for _ in 0..100 {
        budget.record_request();
    }
    assert_eq!(
        spend(&mut budget, at(21.0)),
        5,
        "the span may start after the requests"
    );
    for _ in 0..100 {
        budget.record_request();
    }
    assert_eq!(
        spend(&mut budget, at(22.0)),
        5,
        "nothing can be saved beyond the share"
    );
}

#[test]
fn repeats_within_a_window_are_earned_by_requests() {
    let mut budget = RetryBudget::new(options(10.0), at(0.0));
    assert_eq!(spend(&mut budget, at(20.0)), 5);
    let repeats: usize = (1..=100)
        .map(|number| {
            let now = at(20.0 + 0.1 * f64::from(number));
            budget.record_request();
            spend(&mut budget, now)
        })
        .sum();
    assert_eq!(repeats, 20);
}

/// A fleet of eighty whose instances had not heard of each other took eighty tenths.
#[test]
fn a_share_is_not_reduced_when_the_fleet_grows() {
    let mut divisor = Divisor::new();
    let mut budget = RetryBudget::new(options(10.0), at(0.0));
    let limits = |divisor: Divisor| Options {
        extra: divisor.share(206.0),
        ..options(1.0)
    };
    budget.set_options(limits(divisor), at(0.0));
    assert_eq!(spend(&mut budget, at(20.0)), 20);
    assert!(divisor.observe(80));
    budget.set_options(limits(divisor), at(21.0));
    assert_eq!(spend(&mut budget, at(21.0)), 0);
    assert_eq!(spend(&mut budget, at(40.0)), 2);
    assert!(!divisor.observe(7), "entries lapse while their instances serve");
    assert_eq!(divisor.known(), 80);
}

#[test]
fn a_reserved_repeat_is_given_back_if_it_is_not_sent() {
    let mut budget = RetryBudget::new(options(54.0), at(0.0));
    assert!(budget.reserve(at(20.0)));
    assert!(!budget.reserve(at(20.0)));
    budget.release();
    assert!(budget.reserve(at(20.1)));
    budget.commit(at(20.4));
    assert!(
        !budget.reserve(at(32.0)),
        "it counts from the time at which it was sent"
    );
    assert!(budget.reserve(at(33.0)));
}

#[test]
fn a_longer_window_counts_what_may_be_forgotten_as_spent() {
    let mut budget = RetryBudget::new(options(10.0), at(0.0));
    assert_eq!(spend(&mut budget, at(20.0)), 5);
    budget.set_options(
        Options {
            window: 2 * WINDOW,
            ..options(10.0)
        },
        at(40.0),
    );
    assert_eq!(spend(&mut budget, at(41.0)), 0);
    assert_eq!(spend(&mut budget, at(66.0)), 5);
}

/// Sends that were given up arrived in one window, long after the repeats that they make had been counted.
#[test]
fn a_repeat_is_forgotten_before_the_send_that_it_makes_arrives() {
    let mut budget = RetryBudget::new(options(10.0), at(0.0));
    for _ in 0..2 {
        assert!(budget.permits_hold() && budget.reserve(at(20.0)));
        budget.release();
        budget.hold();
    }
    assert!(!budget.permits_hold(), "half of the share is for other repeats");
    assert_eq!(
        spend(&mut budget, at(60.0)),
        3,
        "what is held counts in every span"
    );
    budget.settle(2, at(75.0));
    assert_eq!(
        spend(&mut budget, at(84.0)),
        3,
        "what is settled counts from then on"
    );
    assert_eq!(spend(&mut budget, at(88.0)), 2);
    assert!(budget.permits_hold());
}

/// Each of a fleet with more instances than the fixed part has repeats refused that its own requests have earned.
/// A share below one permits no repeat at all, whatever the ratio adds.
#[test]
fn a_large_fleet_repeats_nothing_although_its_requests_earn_repeats() {
    let mut divisor = Divisor::new();
    divisor.observe(60);
    let options = Options {
        window: WINDOW,
        ratio: 0.2,
        extra: divisor.share(EXTRA),
    };
    let mut budget = RetryBudget::new(options, at(0.0));
    let mut repeats = 0;
    for number in 0..1_000 {
        budget.record_request();
        repeats += usize::from(try_repeat(&mut budget, at(20.0 + 0.01 * f64::from(number))));
    }
    assert!(
        repeats > 0,
        "{repeats} repeats of 1000 requests in 10 s, share {}",
        budget.share()
    );
}

/// The same where the budget has no fixed part.
#[test]
fn a_budget_without_a_fixed_part_permits_nothing() {
    let options = Options {
        window: WINDOW,
        ratio: 0.2,
        extra: 0.0,
    };
    let mut budget = RetryBudget::new(options, at(0.0));
    for _ in 0..1_000 {
        budget.record_request();
    }
    assert!(
        spend(&mut budget, at(11.0)) > 0,
        "1000 requests earn 200 repeats in each window that holds them"
    );
}

/// While the store is away, processes that start do not hear of each other; their shares are those of a small fleet
/// when it is back.
#[test]
fn a_process_has_a_share_before_it_can_know_the_others() {
    let mut budget = RetryBudget::new(options(10.0), Time::NEVER);
    assert_eq!(spend(&mut budget, at(60.0)), 0);
    for _ in 0..10 {
        budget.record_request();
    }
    assert_eq!(spend(&mut budget, at(61.0)), 2, "what its requests have earned");
    budget.restart(at(62.0));
    assert_eq!(spend(&mut budget, at(74.0)), 0);
    assert_eq!(spend(&mut budget, at(75.0)), 5);
}
