//! Limits and waiting times.

use std::time::Duration;

carob_base::plain! {
    /// Limits and waiting times of claims. Every instance must use the same `shards`, `span`, `window` and
    /// `ahead`.
    pub struct Options {
        /// Stored values that share one span of key times; 16 by default.
        pub shards: u16,
        /// Key times that share one value; 10 s by default.
        pub span: Duration,
        /// Age up to which a key is accepted; 10 min by default.
        pub max_age: Duration,
        /// How far a key's time may lie ahead of this instance's clock; 1 min by default.
        pub max_ahead: Duration,
        /// Greatest difference between the clocks of two instances that is harmless; 5 min by default.
        pub clock_skew: Duration,
        /// Least time between two swaps of the same value, in which changes gather; 100 ms by default. It grows
        /// up to 16 times while other instances write the value too.
        pub batch_interval: Duration,
        /// How long the store may take to confirm a claim before the call is refused; 2 s by default.
        pub confirm_timeout: Duration,
        /// How long after its confirmation a claim may be used to send; 2 s by default.
        pub send_window: Duration,
        /// How long a repeat waits for the outcome of a call in progress; 10 s by default.
        pub wait_timeout: Duration,
        /// Time between two reads while a repeat waits; 250 ms by default.
        pub poll_interval: Duration,
        /// How long recording an outcome is tried; 10 min by default.
        pub record_timeout: Duration,
        /// Largest body that is kept with an outcome, in bytes; 1 KiB by default.
        pub body_limit: usize,
        /// Size up to which a value takes more claims, in bytes; 512 KiB by default.
        pub value_limit: usize,
        /// How long an unused value is remembered; 5 s by default.
        pub idle_timeout: Duration,
    }
}

impl Options {
    /// Options with the documented defaults.
    pub const fn new() -> Self {
        Self {
            shards: 16,
            span: Duration::from_secs(10),
            max_age: Duration::from_mins(10),
            max_ahead: Duration::from_mins(1),
            clock_skew: Duration::from_mins(5),
            batch_interval: Duration::from_millis(100),
            confirm_timeout: Duration::from_secs(2),
            send_window: Duration::from_secs(2),
            wait_timeout: Duration::from_secs(10),
            poll_interval: Duration::from_millis(250),
            record_timeout: Duration::from_mins(10),
            body_limit: 1 << 10,
            value_limit: 512 << 10,
            idle_timeout: Duration::from_secs(5),
        }
    }

    /// How long a value must last after its lease was granted.
    ///
    /// The value is granted no earlier than its keys' span less `ahead` and a clock's error; its last key is
    /// accepted no later than `window` and a clock's error after the span. In between nothing may forget a claim.
    pub fn retention(&self) -> Duration {
        self.max_age + self.max_ahead + self.span + self.clock_skew * 2
    }
}

impl Default for Options {
    fn default() -> Self {
        Self::new()
    }
}
