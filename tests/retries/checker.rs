//! The checker of the budget, on records made by hand.

use std::time::{Duration, Instant};

use carob_platform_standin::Arrival;

use crate::budget::{Counting, Limits, Worst, repeats, worst_window};

const LIMITS: Limits = Limits {
    window: Duration::from_secs(10),
    ratio: 0.5,
    extra: 2.0,
};

/// Arrivals from id, time in milliseconds and whether a generation is continued.
fn arrivals(origin: Instant, given: &[(&str, u64, bool)]) -> Vec<Arrival> {
    let arrival = |(id, at, continues): &(&str, u64, bool)| Arrival {
        id: (*id).to_owned(),
        service: "plain".to_owned(),
        upstream: "p1".to_owned(),
        at: origin + Duration::from_millis(*at),
        continues: *continues,
        priority: None,
    };
    given.iter().map(arrival).collect()
}

fn worst(requests: &[u64], repeats: &[u64]) -> Worst {
    let origin = Instant::now();
    let times = |millis: &[u64]| -> Vec<Instant> {
        let times = millis.iter().map(|at| origin + Duration::from_millis(*at));
        times.collect()
    };
    worst_window(LIMITS, &times(requests), &times(repeats)).expect("there are events")
}

#[test]
fn the_first_arrival_by_time_is_no_repeat() {
    let origin = Instant::now();
    let given = arrivals(
        origin,
        &[
            ("a", 30, false),
            ("a", 10, false),
            ("b", 20, false),
            ("a", 40, true),
        ],
    );
    let at = |millis| origin + Duration::from_millis(millis);
    assert_eq!(repeats(&given, "plain", Counting::All), [at(30), at(40)]);
    assert_eq!(repeats(&given, "plain", Counting::WithoutContinued), [at(30)]);
    assert_eq!(repeats(&given, "engines", Counting::All), []);
}

#[test]
fn without_repeats_there_is_no_worst_window() {
    assert_eq!(worst_window(LIMITS, &[], &[]), None);
    assert_eq!(worst_window(LIMITS, &[Instant::now()], &[]), None);
}

#[test]
fn repeats_within_the_budget_leave_no_excess() {
    // 2 + 0.5 x 4 are allowed.
    let worst = worst(&[0, 1, 2, 3], &[10, 11, 12, 13]);
    assert_eq!((worst.repeats, worst.requests, worst.excess), (4, 4, 0.0));
}

#[test]
fn the_worst_window_starts_anywhere() {
    // No window that starts at a multiple of half a length holds all four.
    let worst = worst(&[], &[7_300, 9_000, 14_000, 17_200]);
    assert_eq!((worst.repeats, worst.excess), (4, 2.0));
}

#[test]
fn repeats_a_window_apart_are_not_added_up() {
    assert_eq!(worst(&[], &[0, 1, 10_000, 10_001]).repeats, 2);
    assert_eq!(worst(&[], &[0, 1, 9_999, 10_000]).repeats, 3);
}

#[test]
fn requests_of_the_window_before_count() {
    let repeats = [12_000; 5];
    // Every window that holds the repeats starts from 2 s to 12 s.
    let with = worst(&[5_000; 8], &repeats);
    assert_eq!((with.requests, with.excess), (8, -1.0));
    // The window before one that starts at 11.9 s does not hold these.
    let without = worst(&[1_900; 8], &repeats);
    assert_eq!((without.requests, without.excess), (0, 3.0));
}

#[test]
fn requests_of_half_a_window_before_count() {
    // The only window that holds all repeats starts at 10 s and holds five requests, as does the one before it.
    let requests = [[6_000; 5], [14_000; 5]].concat();
    let worst = worst(&requests, &[[10_001; 10], [19_999; 10]].concat());
    assert_eq!((worst.requests, worst.repeats, worst.excess), (10, 20, 13.0));
}

#[test]
fn counts_of_several_windows_are_not_added_up() {
    // Every window that holds the repeats rests on three requests, in whichever of the three windows they are.
    let worst = worst(&[[1_000; 3], [11_000; 3]].concat(), &[11_500; 6]);
    assert_eq!((worst.requests, worst.excess), (3, 2.5));
}
