//! Tunable figures of a [`Router`](crate::Router).

use std::time::Duration;

use carob_base::Name;

/// Options of a [`Router`](crate::Router).
#[derive(Clone, Debug)]
pub struct Options {
    /// The failure domain of this instance.
    pub domain: Name,
    /// The region of this instance.
    pub region: Name,
    /// Seed of the random choices; the same seed and calls give the same decisions. Default 1.
    pub seed: u64,
    /// Most requests that wait per service. Default 512.
    pub queue_limit: usize,
    /// Deviations of predicted memory kept free by a service that weighs only stall time. Default 2.25.
    pub stall_margin: f32,
    /// Deviations of predicted memory kept free by a service that weighs only preemptions. Default 4.
    pub preemption_margin: f32,
    /// Price of leaving the region, as a fraction of an upstream's memory. Default 0.15.
    pub region_penalty: f32,
    /// Price of leaving the failure domain within the region, as a fraction of an upstream's memory. Default 0.02.
    pub domain_penalty: f32,
    /// Most credit for a cached prefix, as a fraction of an upstream's memory. Default 0.2.
    pub prefix_credit: f32,
    /// How long other instances' shares and load reports count after they were received. Default 15 s.
    pub peer_timeout: Duration,
    /// Which mechanisms are in use. Default all; the others serve measurements.
    pub mechanisms: Mechanisms,
}

/// Mechanisms that measurements switch off one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each mechanism is switched on its own in the ablation"
)]
pub struct Mechanisms {
    /// Learned answer lengths; otherwise the prior for every request.
    pub lengths: bool,
    /// Memory predicted ahead; otherwise only the memory in use counts.
    pub forecast: bool,
    /// Caution that follows the preemptions seen.
    pub feedback: bool,
    /// The queue at the entry; otherwise a request that fits nowhere goes to the least loaded upstream.
    pub queue: bool,
    /// Fair shares between accounts in the queue; otherwise first come, first served.
    pub fairness: bool,
    /// Short expected answers before long ones in the queue.
    pub short_first: bool,
    /// Engine priorities: short expected answers before long ones there, too.
    pub priority: bool,
    /// Preference for upstreams that hold the prompt's prefix.
    pub prefix: bool,
    /// Other instances' unreported dispatches are counted in.
    pub peers: bool,
    /// Other instances are taken to have done since they last told as this one has.
    pub extrapolate_peers: bool,
}

impl Mechanisms {
    /// Every mechanism in use.
    pub const ALL: Self = Self {
        lengths: true,
        forecast: true,
        feedback: true,
        queue: true,
        fairness: true,
        short_first: true,
        priority: true,
        prefix: true,
        peers: true,
        extrapolate_peers: true,
    };
}

impl Options {
    /// Options of an instance in `domain` of `region`, with the defaults for the rest.
    pub fn new(domain: Name, region: Name) -> Self {
        Self {
            domain,
            region,
            seed: 1,
            queue_limit: 512,
            stall_margin: 2.25,
            preemption_margin: 4.0,
            region_penalty: 0.15,
            domain_penalty: 0.02,
            prefix_credit: 0.2,
            peer_timeout: Duration::from_secs(15),
            mechanisms: Mechanisms::ALL,
        }
    }

    /// Sets the seed of the random choices.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the mechanisms in use.
    #[must_use]
    pub fn with_mechanisms(mut self, mechanisms: Mechanisms) -> Self {
        self.mechanisms = mechanisms;
        self
    }
}
