//! Sliding windows over what upstreams saw.

/// The window that comes closest to its limit, or exceeds it the most.
#[derive(Clone, Copy, Debug, Default)]
pub struct Worst {
    /// Repeats as a part of what the operators' rule permits, with the requests of this window, the one before
    /// it or the one half a window before it.
    pub part_of_rule: f64,
    /// Repeats as a part of the budget with the requests of this window alone, which instances keep to once they
    /// know of each other.
    pub part_of_promise: f64,
    /// Start of the window that is fullest by the rule, in milliseconds, and its repeats.
    pub start: u64,
    pub repeats: usize,
}

/// Limits of a service.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub window: u64,
    pub ratio: f64,
    pub extra: f64,
    /// Time after the first start from which instances know of each other, in milliseconds.
    pub known_after: u64,
}

/// Number of `times`, which ascend, from `start` up to a window later.
fn count(times: &[u64], start: i64, window: u64) -> usize {
    let below = |end: i64| times.partition_point(|time| (*time as i64) < end);
    below(start + window as i64) - below(start)
}

/// Returns the worst of all windows. Of those with the same repeats, the one that starts with a repeat has the
/// fewest requests before it, but not always the fewest in it; so ends with repeats are looked at too.
pub fn worst(limits: Limits, requests: &[u64], repeats: &[u64]) -> Worst {
    let Limits {
        window,
        ratio,
        extra,
        known_after,
    } = limits;
    let mut worst = Worst::default();
    let ends = repeats.iter().map(|time| *time as i64 + 1 - window as i64);
    let starts = repeats.iter().map(|time| *time as i64);
    for start in starts.chain(ends) {
        let sent = count(repeats, start, window);
        let permitted = |requests: usize| ratio.mul_add(requests as f64, extra);
        let earlier = [window as i64, window as i64 / 2].map(|back| count(requests, start - back, window));
        let own = count(requests, start, window);
        let part = sent as f64 / permitted(earlier.into_iter().fold(own, usize::max));
        if start >= known_after as i64 {
            worst.part_of_promise = worst.part_of_promise.max(sent as f64 / permitted(own));
        }
        if part > worst.part_of_rule {
            worst.part_of_rule = part;
            worst.start = start.max(0) as u64;
            worst.repeats = sent;
        }
    }
    worst
}
