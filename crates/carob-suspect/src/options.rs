//! Limits and waiting times.

use std::time::Duration;

carob_base::plain! {
    /// Limits and waiting times of suspicion.
    pub struct Options {
        /// Most requests on a dead upstream that are isolated after a single death. Of more requests, only those
        /// that were on another dead upstream too are isolated. 8 by default.
        pub isolation_limit: usize,
        /// Number of upstreams whose deaths within [`mass_window`](Self::mass_window) point to a common cause outside
        /// of the requests; 3 by default.
        pub mass_threshold: usize,
        /// Time within which deaths belong together; 2 s by default.
        pub mass_window: Duration,
        /// How long a death is remembered; 2 h by default.
        pub retention: Duration,
        /// How long after its last death alone a request is refused; 30 min by default.
        pub refusal_duration: Duration,
        /// Most deaths that are remembered; 128 by default.
        pub max_crashes: usize,
        /// Most requests that are remembered of one death and one instance; 256 by default.
        pub max_running: usize,
        /// Most cleared requests that are remembered; 1,024 by default.
        pub max_cleared: usize,
    }
}

impl Options {
    /// Options with the documented defaults.
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
