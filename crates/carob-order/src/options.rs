//! Limits and timeouts.

use std::time::Duration;

carob_base::plain! {
    /// Limits and timeouts of orders. Every instance must use the same `send_timeout` and `load_interval`.
    pub struct Options {
        /// Time after which a lease that is not renewed expires; 15 s by default.
        pub lease_ttl: Duration,
        /// Time between renewals; 4 s by default.
        pub renew_interval: Duration,
        /// Timeout for sending an order and receiving its answer; 3 s by default.
        pub send_timeout: Duration,
        /// Remaining time that the lease must have beyond `send_timeout` for an order to be sent; 2 s by
        /// default.
        pub send_margin: Duration,
        /// Minimum time between the starts of two loads from the weight store, over all instances; 10 s by
        /// default.
        pub load_interval: Duration,
        /// How long to wait for the upstream to show the effect of an order that it may have received; 10 min
        /// by default.
        pub effect_timeout: Duration,
        /// Initial delay before a failed order or store call is repeated. It doubles with every failure, to
        /// at most 64 times this value; 500 ms by default.
        pub retry_delay: Duration,
    }
}

impl Options {
    /// Returns the documented defaults.
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
