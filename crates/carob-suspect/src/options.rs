//! Limits and waiting times.

use std::time::Duration;

carob_base::plain! {
    /// Limits and waiting times of suspicion.
    pub struct Options {
        /// Most requests on a dead upstream that are isolated after a single death. Of more requests, only those
        /// that were on another dead upstream too are isolated. 8 by default.
        pub small: usize,
        /// Number of upstreams whose deaths within [`together`](Self::together) point to a common cause outside
        /// of the requests; 3 by default.
        pub mass: usize,
        /// Time within which deaths belong together; 2 s by default.
        pub together: Duration,
        /// How long a death is remembered; 2 h by default.
        pub memory: Duration,
        /// How long after its last death alone a request is refused; 30 min by default.
        pub refusal: Duration,
        /// Most deaths that are remembered; 128 by default.
        pub max_deaths: usize,
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
            small: 8,
            mass: 3,
            together: Duration::from_secs(2),
            memory: Duration::from_hours(2),
            refusal: Duration::from_mins(30),
            max_deaths: 128,
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
