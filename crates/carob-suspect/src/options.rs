//! Limits and durations.

use std::time::Duration;

carob_base::plain! {
    /// Limits and durations for suspects.
    pub struct Options {
        /// Maximum number of requests that are all isolated after a single crash. If more were running, only
        /// those that were running at another crash too are isolated. 8 by default.
        pub isolation_limit: usize,
        /// Number of upstreams whose crashes within [`mass_window`](Self::mass_window) indicate a common
        /// cause other than a request; 3 by default.
        pub mass_threshold: usize,
        /// Maximum time between crashes that count as simultaneous; 2 s by default.
        pub mass_window: Duration,
        /// How long crashes and cleared requests are kept; 2 h by default.
        pub retention: Duration,
        /// How long a request is refused after the last crash while it was isolated; 30 min by default.
        pub refusal_duration: Duration,
        /// Maximum number of reported crashes kept; the oldest are dropped. 128 by default.
        pub max_crashes: usize,
        /// Maximum number of requests kept of one instance's report of a crash; 256 by default.
        pub max_running: usize,
        /// Maximum number of cleared requests kept; the oldest are dropped. 1,024 by default.
        pub max_cleared: usize,
    }
}

impl Options {
    /// Returns the documented defaults.
    pub const fn new() -> Self {
        Self {
            isolation_limit: 8,
            mass_threshold: 3,
            mass_window: Duration::from_secs(2),
            retention: Duration::from_hours(2),
            refusal_duration: Duration::from_mins(30),
            max_crashes: 128,
            max_running: 256,
            max_cleared: 1_024,
        }
    }
}

impl Default for Options {
    fn default() -> Self {
        Self::new()
    }
}
