//! What instances tell each other.
//!
//! Reports are sets that only grow until they expire, so that merging them in any order, and more than once,
//! gives the same result. Ages stand in for times, because instances share no clock.

use std::time::Duration;

use carob_base::Time;

use crate::Fingerprint;

carob_base::value! {
    /// What one instance had running on an upstream that died.
    pub struct Crash {
        /// Digest of the upstream's name and incarnation.
        pub id: u64,
        /// The instance's process.
        pub reporter: u64,
        /// Requests of this instance on the upstream, sorted.
        pub running: Vec<Fingerprint>,
        /// Whether the only request was running there because it was a suspect.
        pub isolated: bool,
        /// Time since the death.
        pub age: Duration,
    }

    /// A request that finished without harm.
    pub struct Cleared {
        /// The request.
        pub fingerprint: Fingerprint,
        /// Time since it finished.
        pub age: Duration,
    }

    /// Everything that an instance knows.
    #[derive(Default)]
    pub struct Report {
        /// Deaths, its own and those learned from others.
        pub crashes: Vec<Crash>,
        /// Requests that were suspects and then finished.
        pub cleared: Vec<Cleared>,
    }
}

carob_base::value! {
    /// A death with its time on this instance's clock.
    pub(crate) struct TimedCrash {
        pub(crate) crash: Crash,
        pub(crate) at: Time,
    }
}
