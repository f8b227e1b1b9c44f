//! Recorded traces in a versioned text format; see `docs/TRACES.md`.

use std::time::Duration;

use carob_base::{Name, Time};
use smallvec::SmallVec;

use crate::{engine::Model, expect::Expectation};

/// A recorded trace: a fleet, what happened to it and the outcomes that a replay must reach.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// Title for reports.
    pub title: String,
    /// How signals travel.
    pub signals: Signals,
    /// Services.
    pub services: Vec<carob_config::Service>,
    /// Client accounts.
    pub accounts: Vec<carob_config::Account>,
    /// Upstreams.
    pub upstreams: Vec<Upstream>,
    /// Instances.
    pub instances: Vec<Instance>,
    /// Requests in the order of their times.
    pub requests: Vec<Arrival>,
    /// Faults in the order of their times.
    pub faults: Vec<Fault>,
    /// Outcomes that a replay must reach.
    pub expectations: Vec<Expectation>,
}

/// How signals travel.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Signals {
    /// Time between two load reports of an upstream.
    pub report_interval: Duration,
    /// Time from a load report's making to its arrival.
    pub report_delay: Duration,
    /// Share of load reports that are lost, in percent.
    pub report_loss: u8,
    /// Time between two messages from an instance to its peers.
    pub peer_interval: Duration,
    /// Time from a cache event to its arrival.
    pub cache_delay: Duration,
    /// Share of cache events that are lost, in percent.
    pub cache_loss: u8,
    /// One-way time within a region.
    pub local_latency: Duration,
    /// One-way time between regions.
    pub remote_latency: Duration,
}

/// An upstream with its engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Name.
    pub name: Name,
    /// Its service.
    pub service: Name,
    /// Failure domain.
    pub domain: Name,
    /// Region.
    pub region: Name,
    /// Figures of the engine.
    pub model: Model,
}

/// An instance of the system.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// Name.
    pub name: Name,
    /// Failure domain.
    pub domain: Name,
    /// Region.
    pub region: Name,
}

/// A request.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When it comes.
    pub at: Time,
    /// Position of the instance that it comes to.
    pub instance: usize,
    /// Service.
    pub service: Name,
    /// Client account.
    pub account: Name,
    /// Length of the prompt, in tokens.
    pub prompt: u32,
    /// True length of the answer, in tokens.
    pub output: u32,
    /// Hashes and lengths of the prompt's prefixes, longest last.
    pub prefix: SmallVec<[(u64, u32); 4]>,
}

/// Something that goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// When.
    pub at: Time,
    /// What.
    pub kind: FaultKind,
}

/// What goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// The upstream dies and is back after the time.
    Crash {
        /// The upstream.
        upstream: Name,
        /// Time until it is back.
        duration: Duration,
    },
    /// The upstream answers every request with a failure at once for the time.
    Fail {
        /// The upstream.
        upstream: Name,
        /// How long.
        duration: Duration,
    },
    /// Load reports arrive with this lag from now on.
    ReportDelay(Duration),
    /// The instance restarts and has forgotten everything that it learned.
    Restart {
        /// The instance.
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
    /// When the last request comes.
    pub fn end(&self) -> Time {
        self.requests.last().map_or(Time::ZERO, |request| request.at)
    }
}
