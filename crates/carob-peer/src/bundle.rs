//! The soft state of one instance.
//!
//! Upstreams, services and instances are identified by short ids. The loads of several upstreams are encoded
//! as parallel lists, which are smaller than a list of messages.

use bytes::Bytes;

/// The content of a bundle. Parts that have not changed are left out.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Body {
    /// State of the instance itself.
    #[prost(message, optional, tag = "1")]
    pub state: Option<State>,
    /// Load reports of the upstreams that it polls.
    #[prost(message, optional, tag = "2")]
    pub loads: Option<Loads>,
    /// Load that its own requests put on upstreams.
    #[prost(message, optional, tag = "3")]
    pub own_loads: Option<OwnLoads>,
    /// Upstreams that are leaving, down, or back in service.
    #[prost(message, repeated, tag = "4")]
    pub health_reports: Vec<HealthReport>,
    /// Instances that did not answer its probes.
    #[prost(message, repeated, tag = "5")]
    pub suspicions: Vec<Suspicion>,
    /// Evidence on requests suspected of crashing upstreams, each an encoded
    /// [`CrashEvidence`](crate::CrashEvidence).
    #[prost(bytes = "bytes", repeated, tag = "6")]
    pub suspects: Vec<Bytes>,
    /// Summaries of other failure domains, as received from them.
    #[prost(message, repeated, tag = "7")]
    pub summaries: Vec<DomainSummary>,
}

/// An instance's own state.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct State {
    /// Revision of the configuration in force at the instance.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Digest of that configuration.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// It accepts requests.
    #[prost(bool, tag = "3")]
    pub ready: bool,
    /// It is shutting down.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// This is its last bundle before it exits.
    #[prost(bool, tag = "5")]
    pub left: bool,
}

/// Load reports of upstreams. Entry `n` of every list belongs to the same upstream.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Loads {
    /// Short ids of the upstreams.
    #[prost(fixed32, repeated, tag = "1")]
    pub upstreams: Vec<u32>,
    /// Low 32 bits of the incarnations.
    #[prost(fixed32, repeated, tag = "2")]
    pub incarnations: Vec<u32>,
    /// Numbers of running requests.
    #[prost(uint32, repeated, tag = "3")]
    pub running: Vec<u32>,
    /// Waiting requests.
    #[prost(uint32, repeated, tag = "4")]
    pub waiting: Vec<u32>,
    /// Memory in use, in tokens.
    #[prost(uint32, repeated, tag = "5")]
    pub used: Vec<u32>,
    /// Total memory, in units of 1,024 tokens.
    #[prost(uint32, repeated, tag = "6")]
    pub memory: Vec<u32>,
    /// Low 16 bits of the preemption counter.
    #[prost(uint32, repeated, tag = "7")]
    pub preemptions: Vec<u32>,
    /// 1 for an upstream that is leaving, 0 otherwise.
    #[prost(uint32, repeated, tag = "8")]
    pub leaving: Vec<u32>,
}

/// Load that an instance's own requests put on upstreams. Entry `n` of every list belongs to the same
/// upstream.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OwnLoads {
    /// Short ids of the upstreams.
    #[prost(fixed32, repeated, tag = "1")]
    pub upstreams: Vec<u32>,
    /// Requests of the instance running there.
    #[prost(uint32, repeated, tag = "2")]
    pub running: Vec<u32>,
    /// Prompt and answer tokens of those requests so far.
    #[prost(uint32, repeated, tag = "3")]
    pub tokens: Vec<u32>,
    /// Requests sent there since the upstream's last load report.
    #[prost(uint32, repeated, tag = "4")]
    pub sent: Vec<u32>,
}

/// An observation that an upstream is leaving, is down, or serves again.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct HealthReport {
    /// Short id.
    #[prost(fixed32, tag = "1")]
    pub upstream: u32,
    /// Low 32 bits of the upstream's incarnation; 0 if it is not known.
    #[prost(fixed32, tag = "2")]
    pub incarnation: u32,
    /// 0 for serving, 1 for leaving, 2 for down; readers treat other values as leaving.
    #[prost(uint32, tag = "3")]
    pub kind: u32,
}

/// An instance that did not answer a probe.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Suspicion {
    /// Its short id.
    #[prost(fixed32, tag = "1")]
    pub member: u32,
    /// The incarnation that did not answer.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Version of the latest bundle that the suspecting instance has from it; a later bundle proves that it is
    /// alive.
    #[prost(uint32, tag = "3")]
    pub version: u32,
}

/// The state of a failure domain, sent to other domains.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct DomainSummary {
    /// Name of the failure domain.
    #[prost(string, tag = "1")]
    pub domain: String,
    /// Number of instances that are alive.
    #[prost(uint32, tag = "2")]
    pub alive: u32,
    /// Number of instances that accept requests.
    #[prost(uint32, tag = "3")]
    pub ready: u32,
    /// Lowest revision of the configuration in force at a live instance.
    #[prost(uint64, tag = "4")]
    pub lowest: u64,
    /// Highest revision of the configuration in force at a live instance.
    #[prost(uint64, tag = "5")]
    pub highest: u64,
    /// Short id of an instance that has the highest revision.
    #[prost(fixed32, tag = "6")]
    pub holder: u32,
    /// Names of live instances below the highest revision; at most a few.
    #[prost(string, repeated, tag = "7")]
    pub behind: Vec<String>,
    /// Load by service.
    #[prost(message, repeated, tag = "8")]
    pub services: Vec<ServiceLoad>,
    /// Latest evidence on requests suspected of crashing upstreams, each an encoded
    /// [`CrashEvidence`](crate::CrashEvidence); at most a few.
    #[prost(bytes = "bytes", repeated, tag = "9")]
    pub suspects: Vec<Bytes>,
}

/// Load of a service's upstreams in one failure domain.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ServiceLoad {
    /// Short id of the service.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Number of upstreams whose load report is recent.
    #[prost(uint32, tag = "2")]
    pub upstreams: u32,
    /// Waiting requests.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    /// Memory in use, in thousandths.
    #[prost(uint32, tag = "4")]
    pub usage: u32,
}
