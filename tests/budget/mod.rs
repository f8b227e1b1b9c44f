//! Checks a fleet's retry budget from the outside: what upstreams received against what clients sent.

#![allow(dead_code, reason = "each target uses a part of this module")]

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use carob_platform_standin::Arrival;

/// A service's retry budget, which holds for all gateways together.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub window: Duration,
    /// Repeats that each request allows.
    pub ratio: f64,
    /// Repeats allowed in a window beyond those from `ratio`.
    pub extra: f64,
}

/// The budget in the settings of [`Gateway::prepare`](crate::fleet::Gateway::prepare).
pub const LIMITS: Limits = Limits {
    window: Duration::from_secs(10),
    ratio: 0.2,
    extra: 54.0,
};

/// Which arrivals count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counting {
    /// All of them.
    All,
    /// All but requests that continue a generation from a copy.
    WithoutContinued,
}

/// The window in which a service came closest to its budget, or went furthest beyond it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Worst {
    /// Time from the first event of the records to the start of the window, in seconds; may be negative.
    pub start: f64,
    /// Arrivals in the window beyond the first of each request.
    pub repeats: usize,
    /// Requests that the budget of the window rests on.
    pub requests: usize,
    /// Repeats beyond the budget; negative while it is not used up.
    pub excess: f64,
}

/// Returns when upstreams of `service` received a request that another upstream, or the same one, had received
/// before.
pub fn repeats(arrivals: &[Arrival], service: &str, counting: Counting) -> Vec<Instant> {
    let mut counted: Vec<&Arrival> = arrivals
        .iter()
        .filter(|arrival| arrival.service == service)
        .filter(|arrival| counting == Counting::All || !arrival.continues)
        .collect();
    counted.sort_by_key(|arrival| arrival.at);
    let mut seen = HashSet::new();
    let repeated = counted.into_iter().filter(|arrival| !seen.insert(&arrival.id));
    repeated.map(|arrival| arrival.at).collect()
}

/// Returns the window with the greatest excess among all that hold a repeat, wherever they start; `None` if there
/// is no repeat. `requests` are the times
/// at which clients sent requests on a route to the service. A window's budget rests on its own requests, those
/// of the window before it or those of the window half a length before it, whichever are most.
pub fn worst_window(limits: Limits, requests: &[Instant], repeats: &[Instant]) -> Option<Worst> {
    let origin = *requests.iter().chain(repeats).min()?;
    let (requests, repeats) = (micros_since(origin, requests), micros_since(origin, repeats));
    let window = limits.window.as_micros() as i64;
    let shifts = [-window, -window / 2, 0, window / 2, window];
    // Counts change only where an event enters or leaves one of the three windows, and include the event that
    // lies at the end of a window.
    let mut starts: Vec<i64> = requests
        .iter()
        .chain(&repeats)
        .flat_map(|event| shifts.map(|shift| event + shift))
        .collect();
    starts.sort_unstable();
    starts.dedup();
    let worst = starts.into_iter().map(|start| {
        let rests_on = [start, start - window / 2, start - window];
        let most = rests_on.map(|start| count(&requests, start, window));
        let requests = most.into_iter().max().unwrap_or(0);
        let repeats = count(&repeats, start, window);
        let allowed = (requests as f64).mul_add(limits.ratio, limits.extra);
        Worst {
            start: start as f64 / 1e6,
            repeats,
            requests,
            excess: repeats as f64 - allowed,
        }
    });
    let worst = worst.filter(|window| window.repeats > 0);
    worst.max_by(|one, other| one.excess.total_cmp(&other.excess))
}

/// Sorted times in microseconds after `origin`.
fn micros_since(origin: Instant, times: &[Instant]) -> Vec<i64> {
    let mut micros: Vec<i64> = times
        .iter()
        .map(|time| (*time - origin).as_micros() as i64)
        .collect();
    micros.sort_unstable();
    micros
}

/// Number of sorted `times` later than `start` and at most `window` later.
fn count(times: &[i64], start: i64, window: i64) -> usize {
    let until = |end: i64| times.partition_point(|time| *time <= end);
    until(start + window) - until(start)
}
