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
    pub period: Duration,
    /// How long a direct answer may take before others are asked to probe. Default: 300 ms.
    pub direct: Duration,
    /// How long an instance is suspected by a single other one before it counts as failed. Default: 12 s.
    pub longest: Duration,
    /// How long it is suspected by several others before it counts as failed. Default: 3 s.
    pub shortest: Duration,
    /// Time without a tick from which this process takes itself to have been paused. Default: 1 s.
    pub pause: Duration,
    /// Soft state of the whole domain that reaches this instance, in bytes per second, which the time between
    /// two bundles is set by. Default: 1,200.
    pub budget: u32,
    /// Shortest time between two bundles of soft state of this instance. Default: 500 ms.
    pub shortest_pace: Duration,
    /// Longest time between two bundles of soft state of this instance. Default: 5 s.
    pub longest_pace: Duration,
    /// Time between two summaries to a failure domain of the same region. Default: 4 s.
    pub near: Duration,
    /// Time between two summaries to a failure domain of another region. Default: 8 s.
    pub far: Duration,
    /// Time without a summary from which a failure domain counts as cut off. Default: 30 s.
    pub cut: Duration,
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
            period: Duration::from_secs(1),
            direct: Duration::from_millis(300),
            longest: Duration::from_secs(12),
            shortest: Duration::from_secs(3),
            pause: Duration::from_secs(1),
            budget: 1_200,
            shortest_pace: Duration::from_millis(500),
            longest_pace: Duration::from_secs(5),
            near: Duration::from_secs(4),
            far: Duration::from_secs(8),
            cut: Duration::from_secs(30),
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
