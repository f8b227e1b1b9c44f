//! Limits and waiting times of a delivery.

use std::time::Duration;

use crate::EventIntervals;

carob_base::plain! {
    /// When events reach the caller.
    pub enum Mode {
        /// Each event as soon as it is certain.
        Stream,
        /// All events together at the end, so that a lost generation is rerun unseen. An answer that outgrows
        /// [`Options::buffer_limit`] goes over to [`Mode::Stream`].
        Buffered,
    }

    /// Limits and waiting times.
    pub struct Options {
        /// When events reach the caller; streamed by default.
        pub mode: Mode,
        /// Most bytes that are buffered in [`Mode::Buffered`]; 4 MiB by default.
        pub buffer_limit: usize,
        /// The longest that a caller waits for a silent connection's replacement unless the engine's own pace
        /// is slower; 2 s by default.
        pub silence_limit: Duration,
        /// How long a connection may be silent before the engine has named the answer, without which there is nothing
        /// to resume; 30 s by default.
        pub created_timeout: Duration,
        /// How long an upstream that cannot be reached is tried again; 15 s by default.
        pub unreachable_limit: Duration,
        /// How long a reachable upstream may make no progress; 120 s by default.
        pub stall_limit: Duration,
        /// How long after the first start the request may still be rerun on another upstream; 60 s by default.
        pub rerun_window: Duration,
        /// Most upstreams that one request is given to; 3 by default.
        pub max_attempts: u32,
        /// How long after its caller has gone a generation runs on, so that the caller can resume it; 10 s by
        /// default.
        pub resume_window: Duration,
    }
}

/// Multiple of the engine's 99th percentile gap within which a silent connection is replaced.
const PACE_FACTOR: u32 = 3;

impl Options {
    /// Options with the documented defaults.
    pub const fn new() -> Self {
        Self {
            mode: Mode::Stream,
            buffer_limit: 4 << 20,
            silence_limit: Duration::from_secs(2),
            created_timeout: Duration::from_secs(30),
            unreachable_limit: Duration::from_secs(15),
            stall_limit: Duration::from_mins(2),
            rerun_window: Duration::from_mins(1),
            max_attempts: 3,
            resume_window: Duration::from_secs(10),
        }
    }

    /// The same options with another mode.
    #[must_use]
    pub const fn with_mode(mut self, mode: Mode) -> Self {
        self.mode = mode;
        self
    }

    /// The same options with another patience.
    #[must_use]
    pub const fn with_rerun_window(mut self, window: Duration) -> Self {
        self.rerun_window = window;
        self
    }

    /// How long a connection with an engine of this pace may be silent before it is replaced.
    ///
    /// Three quarters of the time that a caller may have to wait are used, so that the replacement's first event
    /// comes within it.
    pub fn silence_timeout(&self, intervals: &EventIntervals) -> Duration {
        let usual = intervals.p99().map_or(Duration::ZERO, |gap| gap * PACE_FACTOR);
        usual.max(self.silence_limit) * 3 / 4
    }
}

impl Default for Options {
    fn default() -> Self {
        Self::new()
    }
}
