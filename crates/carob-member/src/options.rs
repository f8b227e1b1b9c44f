//! Settings of membership.

use std::{net::SocketAddr, time::Duration};

use carob_base::Name;

/// Who this instance is, and how it probes.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of this instance.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Its region.
    pub region: Name,
    /// Its address for datagrams.
    pub address: SocketAddr,
    /// Start of this process, in milliseconds since 1970.
    pub incarnation: u64,
    /// Seed of the order of probes and of jitter.
    pub seed: u64,
    /// Time between two probes. Default: 1 s.
    pub probe_period: Duration,
    /// How long a direct answer may take before others are asked to probe. Default: 300 ms.
    pub probe_timeout: Duration,
    /// How long an instance is suspected by a single other one before it counts as failed. Default: 12 s.
    pub max_suspicion: Duration,
    /// How long it is suspected by several others before it counts as failed. Default: 3 s.
    pub min_suspicion: Duration,
    /// Time without a tick from which this process takes itself to have been paused. Default: 1 s.
    pub pause_threshold: Duration,
    /// Soft state of the whole domain that reaches this instance, in bytes per second, which the time between
    /// two bundles is set by. Default: 1,200.
    pub gossip_budget: u32,
    /// Shortest time between two bundles of soft state of this instance. Default: 500 ms.
    pub min_interval: Duration,
    /// Longest time between two bundles of soft state of this instance. Default: 5 s.
    pub max_interval: Duration,
    /// Time between two summaries to a failure domain of the same region. Default: 4 s.
    pub near_interval: Duration,
    /// Time between two summaries to a failure domain of another region. Default: 8 s.
    pub far_interval: Duration,
    /// Time without a summary from which a failure domain counts as cut off. Default: 30 s.
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

    /// Sets the seed of the order of probes and of jitter.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
