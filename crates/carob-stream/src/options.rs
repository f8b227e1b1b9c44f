//! Limits and timeouts of a delivery.

use std::time::Duration;

use crate::EventIntervals;

carob_base::plain! {
    /// When events reach the caller.
    pub enum Mode {
        /// Each event as soon as it is known to belong to the generation.
        Stream,
        /// All events together at the end, so that a lost generation can be rerun without the caller
        /// noticing. An answer larger than [`Options::buffer_limit`] switches to [`Mode::Stream`].
        Buffered,
    }

    /// Limits and timeouts of a delivery.
    pub struct Options {
        /// When events reach the caller; [`Mode::Stream`] by default.
        pub mode: Mode,
        /// Maximum number of bytes buffered in [`Mode::Buffered`]; 4 MiB by default.
        pub buffer_limit: usize,
        /// How long a caller may wait for the replacement of a silent connection, unless the engine's own
        /// event intervals are longer; 2 s by default.
        pub silence_limit: Duration,
        /// How long a connection may be silent before the engine has sent the answer's id, without which
        /// nothing can be resumed; 30 s by default.
        pub created_timeout: Duration,
        /// How long an unreachable upstream is retried; 15 s by default.
        pub unreachable_limit: Duration,
        /// How long a reachable upstream may make no progress; 120 s by default.
        pub stall_limit: Duration,
        /// How long after the first attempt started the request may be rerun on another upstream; 60 s by
        /// default.
        pub rerun_window: Duration,
        /// Maximum number of upstreams that one request is sent to; 3 by default.
        pub max_attempts: u32,
        /// How long a generation continues after its caller has disconnected, so that the caller can resume
        /// it; 10 s by default.
        pub resume_window: Duration,
    }
}

/// Multiple of the engine's 99th percentile event interval within which a silent connection is replaced.
const INTERVAL_FACTOR: u32 = 3;

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

    /// The same options with another rerun window.
    #[must_use]
    pub const fn with_rerun_window(mut self, window: Duration) -> Self {
        self.rerun_window = window;
        self
    }

    /// How long a connection to an engine with these event intervals may be silent before it is replaced.
    ///
    /// Only three quarters of the time that a caller may have to wait are used, so that the first event of
    /// the replacement arrives within it.
    pub fn silence_timeout(&self, intervals: &EventIntervals) -> Duration {
        let slow_engine = intervals
            .p99()
            .map_or(Duration::ZERO, |interval| interval * INTERVAL_FACTOR);
        slow_engine.max(self.silence_limit) * 3 / 4
    }
}

impl Default for Options {
    fn default() -> Self {
        Self::new()
    }
}
