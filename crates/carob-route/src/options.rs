//! Configuration of a [`Router`](crate::Router).

use std::time::Duration;

use carob_base::Name;

/// Options of a [`Router`](crate::Router).
#[derive(Clone, Debug)]
pub struct Options {
    /// The failure domain of this instance.
    pub domain: Name,
    /// The region of this instance.
    pub region: Name,
    /// Seed of the random number generator; the same seed and calls give the same decisions. Default 1.
    pub seed: u64,
    /// Maximum number of queued requests per service. Default 512.
    pub queue_limit: usize,
    /// Safety margin above the mean of the memory forecast, in standard deviations, for a service that weighs
    /// only stall time. Default 2.25.
    pub stall_margin: f32,
    /// Safety margin above the mean of the memory forecast, in standard deviations, for a service that weighs
    /// only preemptions. Default 4.
    pub preemption_margin: f32,
    /// Cost of an upstream outside the region, as a fraction of its memory. Default 0.15.
    pub region_penalty: f32,
    /// Cost of an upstream in another failure domain of the region, as a fraction of its memory. Default
    /// 0.02.
    pub domain_penalty: f32,
    /// Maximum credit for a cached prefix, as a fraction of an upstream's memory. Default 0.2.
    pub prefix_credit: f32,
    /// How long the unreported load of another instance counts after it was received. Default 15 s.
    pub peer_timeout: Duration,
    /// Mechanisms in use. Default all; ablations switch some off.
    pub mechanisms: Mechanisms,
}

/// Mechanisms that an ablation can switch off one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each mechanism is switched on its own in the ablation"
)]
pub struct Mechanisms {
    /// Learn answer lengths; otherwise the prior distribution applies to every request.
    pub lengths: bool,
    /// Forecast memory; otherwise only the memory at the nearest horizon counts.
    pub forecast: bool,
    /// Raise the safety margin after preemptions.
    pub feedback: bool,
    /// Queue requests that fit nowhere; otherwise they go to the least loaded upstream.
    pub queue: bool,
    /// Share the queue fairly between accounts; otherwise one flow serves all.
    pub fairness: bool,
    /// Serve short expected answers before long ones in the queue.
    pub short_first: bool,
    /// Set engine priorities, so that engines serve short expected answers first, too.
    pub priority: bool,
    /// Prefer upstreams that have the prompt's prefix cached.
    pub prefix: bool,
    /// Count the unreported load of other instances.
    pub peers: bool,
    /// Assume that each other instance has placed as much since its last message as this one has.
    pub extrapolate_peers: bool,
}

impl Mechanisms {
    /// All mechanisms on.
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
    /// Options with defaults, for an instance in `domain` of `region`.
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

    /// Sets the seed of the random number generator.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets which mechanisms are on.
    #[must_use]
    pub fn with_mechanisms(mut self, mechanisms: Mechanisms) -> Self {
        self.mechanisms = mechanisms;
        self
    }
}
