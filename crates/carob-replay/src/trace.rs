//! Data model of a recorded trace; `docs/TRACES.md` describes the text format.

use std::time::Duration;

use carob_base::{Name, Time};
use smallvec::SmallVec;

use crate::{engine::Model, expect::Expectation};

/// A recorded trace: the fleet, its requests and faults, and the expected outcomes of a replay.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// Title printed in reports.
    pub title: String,
    /// Intervals, delays and losses of the messages between upstreams and instances.
    pub signals: Signals,
    /// Configured services.
    pub services: Vec<carob_config::Service>,
    /// Configured client accounts.
    pub accounts: Vec<carob_config::Account>,
    /// Upstreams; other types refer to them by their position here.
    pub upstreams: Vec<Upstream>,
    /// Instances; other types refer to them by their position here.
    pub instances: Vec<Instance>,
    /// Requests, sorted by arrival time.
    pub requests: Vec<Arrival>,
    /// Injected faults, in the order of their start times.
    pub faults: Vec<Fault>,
    /// Bounds that the measurements of a replay must stay within.
    pub expectations: Vec<Expectation>,
}

/// Intervals, delays and losses of load reports, cache events and messages between peers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Signals {
    /// Interval between two load reports of an upstream.
    pub report_interval: Duration,
    /// Delay of a load report from sampling to delivery, besides the network latency.
    pub report_delay: Duration,
    /// Loss rate of load reports, in percent.
    pub report_loss: u8,
    /// Interval between two load messages of an instance to its peers.
    pub peer_interval: Duration,
    /// Delay of a cache event from publication to delivery, besides the network latency.
    pub cache_delay: Duration,
    /// Loss rate of batches of cache events, in percent.
    pub cache_loss: u8,
    /// One-way network latency within a region.
    pub local_latency: Duration,
    /// One-way network latency between regions.
    pub remote_latency: Duration,
}

/// An upstream and the parameters of its engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Unique name, by which faults refer to the upstream.
    pub name: Name,
    /// Name of the service that it runs.
    pub service: Name,
    /// Failure domain, as the router sees it.
    pub domain: Name,
    /// Region; with that of the other end it sets the network latency.
    pub region: Name,
    /// Parameters of the simulated engine.
    pub model: Model,
}

/// An instance that accepts and routes requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// Unique name, by which requests in the text format and faults refer to the instance.
    pub name: Name,
    /// Failure domain, as the router sees it.
    pub domain: Name,
    /// Region; with that of the other end it sets the network latency.
    pub region: Name,
}

/// A request that arrives at an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Arrival time.
    pub at: Time,
    /// Position in [`Trace::instances`] of the instance that accepts it.
    pub instance: usize,
    /// Name of the requested service.
    pub service: Name,
    /// Name of the client account that sends it.
    pub account: Name,
    /// Length of the prompt, in tokens.
    pub prompt: u32,
    /// Actual length of the answer, in tokens; only [`Policy::KnownLengths`](crate::Policy::KnownLengths)
    /// sees it.
    pub output: u32,
    /// Hash and length in tokens of each cacheable prefix of the prompt, longest last.
    pub prefix: SmallVec<[(u64, u32); 4]>,
}

/// A fault injected into the replay.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Start time.
    pub at: Time,
    /// Kind of fault, with its target.
    pub kind: FaultKind,
}

/// Kinds of injected faults.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// The upstream crashes, loses its requests and restarts after `duration`.
    Crash {
        /// Name of the affected upstream.
        upstream: Name,
        /// Time until the upstream accepts requests again.
        duration: Duration,
    },
    /// The upstream rejects every new request with an immediate failure for `duration`.
    Fail {
        /// Name of the affected upstream.
        upstream: Name,
        /// Time until the upstream accepts requests again.
        duration: Duration,
    },
    /// Load reports are delivered with this delay from now on, in place of [`Signals::report_delay`].
    ReportDelay(Duration),
    /// The instance restarts and loses its learned state and its queue.
    Restart {
        /// Name of the restarting instance.
        instance: Name,
    },
}

impl Default for Signals {
    fn default() -> Self {
        Self {
            report_interval: Duration::from_millis(500),
            report_delay: Duration::from_millis(500),
            report_loss: 2,
            peer_interval: Duration::from_millis(500),
            cache_delay: Duration::from_secs(1),
            cache_loss: 5,
            local_latency: Duration::from_micros(300),
            remote_latency: Duration::from_millis(11),
        }
    }
}

impl Trace {
    /// Arrival time of the last request, or zero without requests.
    pub fn end(&self) -> Time {
        self.requests.last().map_or(Time::ZERO, |request| request.at)
    }
}
