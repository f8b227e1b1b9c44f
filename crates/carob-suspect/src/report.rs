//! The evidence that instances exchange.
//!
//! Reports are sets whose elements are only added until they expire, so that merging is commutative and
//! idempotent. They carry ages instead of times, because instances do not share a clock.

use std::time::Duration;

use carob_base::Time;

use crate::Fingerprint;

carob_base::value! {
    /// One instance's report of an upstream's crash.
    pub struct Crash {
        /// Digest of the upstream's name and incarnation; the same in the reports of all instances.
        pub id: u64,
        /// Random number of the reporting instance's process.
        pub reporter: u64,
        /// Requests that the instance had running on the upstream, sorted.
        pub running: Vec<Fingerprint>,
        /// The only request was an isolated suspect.
        pub isolated: bool,
        /// Time since the crash.
        pub age: Duration,
    }

    /// A suspect that finished without crashing its upstream.
    pub struct Cleared {
        /// Fingerprint of the request.
        pub fingerprint: Fingerprint,
        /// Time since it finished.
        pub age: Duration,
    }

    /// All evidence that an instance has.
    #[derive(Default)]
    pub struct Report {
        /// Crashes that it saw itself or learned from others.
        pub crashes: Vec<Crash>,
        /// Suspects that finished without crashing their upstreams.
        pub cleared: Vec<Cleared>,
    }
}

carob_base::value! {
    /// A crash with its time on this instance's clock, shifted by the retention.
    pub(crate) struct TimedCrash {
        pub(crate) crash: Crash,
        pub(crate) at: Time,
    }
}
