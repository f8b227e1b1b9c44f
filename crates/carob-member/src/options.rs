//! Settings of membership.

use std::{net::SocketAddr, time::Duration};

use carob_base::Name;

/// Identity of this instance, and the timing of probes and gossip.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of this instance.
    pub name: Name,
    /// Failure domain of this instance.
    pub domain: Name,
    /// Region of this instance.
    pub region: Name,
    /// UDP address at which this instance receives datagrams.
    pub address: SocketAddr,
    /// Start of this process, in milliseconds since 1970. Default: 1.
    pub incarnation: u64,
    /// Seed of the random order of probes and choice of relays and peers. Default: 0.
    pub seed: u64,
    /// Time between two probes. Default: 1 s.
    pub probe_period: Duration,
    /// Time without an answer to a direct probe after which relays are asked to probe. Default: 300 ms.
    pub probe_timeout: Duration,
    /// Time for which an instance is suspected by a single other one before it counts as failed. Default: 12
    /// s.
    pub max_suspicion: Duration,
    /// Time for which an instance is suspected by several others before it counts as failed. Default: 3 s.
    pub min_suspicion: Duration,
    /// Time without a tick above which this process treats itself as having been paused. Default: 1 s.
    pub pause_threshold: Duration,
    /// Rate of soft state of the whole failure domain that this instance should receive, in bytes per second.
    /// It determines the gossip interval. Default: 1,200.
    pub gossip_budget: u32,
    /// Lower bound of the gossip interval, the time between two bundles of this instance. Default: 500 ms.
    pub min_interval: Duration,
    /// Upper bound of the gossip interval. Default: 5 s.
    pub max_interval: Duration,
    /// Time between two summaries to a failure domain of the same region. Default: 4 s.
    pub near_interval: Duration,
    /// Time between two summaries to a failure domain of another region. Default: 8 s.
    pub far_interval: Duration,
    /// Time without a summary after which a failure domain counts as cut off. Default: 30 s.
    pub domain_timeout: Duration,
}

impl Options {
    /// Defaults for the instance `name` in `domain` of `region`, reached at `address`.
    pub fn new(name: Name, domain: Name, region: Name, address: SocketAddr) -> Self {
        Self {
            name,
            domain,
            region,
            address,
            incarnation: 1,
            seed: 0,
            probe_period: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            max_suspicion: Duration::from_secs(12),
            min_suspicion: Duration::from_secs(3),
            pause_threshold: Duration::from_secs(1),
            gossip_budget: 1_200,
            min_interval: Duration::from_millis(500),
            max_interval: Duration::from_secs(5),
            near_interval: Duration::from_secs(4),
            far_interval: Duration::from_secs(8),
            domain_timeout: Duration::from_secs(30),
        }
    }

    /// Sets the start of this process, in milliseconds since 1970.
    #[must_use]
    pub fn with_incarnation(mut self, incarnation: u64) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Sets the seed of random choices; instances should differ in it.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
