//! Limits and waiting times.

use std::time::Duration;

carob_base::plain! {
    /// Limits and waiting times of orders. Every instance must use the same `send_limit` and `load_gap`.
    pub struct Options {
        /// Life of the lease without renewal; 15 s by default.
        pub ttl: Duration,
        /// Time between renewals; 4 s by default.
        pub renewal: Duration,
        /// The longest that sending an order and getting its answer may take; 3 s by default.
        pub send_limit: Duration,
        /// What the lease must have left over and above `send_limit` for an order to be sent; 2 s by default.
        pub margin: Duration,
        /// Least time between the starts of two loads from the weight store, over all instances; 10 s by
        /// default.
        pub load_gap: Duration,
        /// How long an accepted order may take until the upstream shows its effect; 10 min by default.
        pub effect_limit: Duration,
        /// First delay before a failed order or store call is repeated, doubled up to 64 times; 500 ms by
        /// default.
        pub retry: Duration,
    }
}

impl Options {
    /// Options with the documented defaults.
    pub const fn new() -> Self {
        Self {
            ttl: Duration::from_secs(15),
            renewal: Duration::from_secs(4),
            send_limit: Duration::from_secs(3),
            margin: Duration::from_secs(2),
            load_gap: Duration::from_secs(10),
            effect_limit: Duration::from_mins(10),
            retry: Duration::from_millis(500),
        }
    }
}

impl Default for Options {
    fn default() -> Self {
        Self::new()
    }
}
