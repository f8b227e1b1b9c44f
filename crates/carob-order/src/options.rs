//! Limits and waiting times.

use std::time::Duration;

carob_base::plain! {
    /// Limits and waiting times of orders. Every instance must use the same `send_timeout` and `load_interval`.
    pub struct Options {
        /// Life of the lease without renewal; 15 s by default.
        pub lease_ttl: Duration,
        /// Time between renewals; 4 s by default.
        pub renew_interval: Duration,
        /// The longest that sending an order and getting its answer may take; 3 s by default.
        pub send_timeout: Duration,
        /// What the lease must have left over and above `send_timeout` for an order to be sent; 2 s by default.
        pub send_margin: Duration,
        /// Least time between the starts of two loads from the weight store, over all instances; 10 s by
        /// default.
        pub load_interval: Duration,
        /// How long an accepted order may take until the upstream shows its effect; 10 min by default.
        pub effect_timeout: Duration,
        /// First delay before a failed order or store call is repeated, doubled up to 64 times; 500 ms by
        /// default.
        pub retry_delay: Duration,
    }
}

impl Options {
    /// Options with the documented defaults.
    pub const fn new() -> Self {
        Self {
            lease_ttl: Duration::from_secs(15),
            renew_interval: Duration::from_secs(4),
            send_timeout: Duration::from_secs(3),
            send_margin: Duration::from_secs(2),
            load_interval: Duration::from_secs(10),
            effect_timeout: Duration::from_mins(10),
            retry_delay: Duration::from_millis(500),
        }
    }
}

impl Default for Options {
    fn default() -> Self {
        Self::new()
    }
}
