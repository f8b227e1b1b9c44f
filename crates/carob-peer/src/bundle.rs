//! The soft state of one instance.
//!
//! Upstreams, services and instances go by their short ids. The load of several upstreams travels as parallel
//! lists, which take less room than a list of messages.

use bytes::Bytes;

/// The content of a bundle; parts that have not changed are left out.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Body {
    /// The instance itself.
    #[prost(message, optional, tag = "1")]
    pub state: Option<State>,
    /// Reports of the upstreams that it polls.
    #[prost(message, optional, tag = "2")]
    pub loads: Option<Loads>,
    /// Its own load on upstreams.
    #[prost(message, optional, tag = "3")]
    pub own_loads: Option<OwnLoads>,
    /// Signs that upstreams are leaving or down.
    #[prost(message, repeated, tag = "4")]
    pub health_reports: Vec<HealthReport>,
    /// Instances that did not answer it.
    #[prost(message, repeated, tag = "5")]
    pub suspicions: Vec<Suspicion>,
    /// Requests suspected of crashing upstreams, in the encoding of the part that keeps them.
    #[prost(bytes = "bytes", repeated, tag = "6")]
    pub suspects: Vec<Bytes>,
    /// Summaries of other failure domains that it received from them.
    #[prost(message, repeated, tag = "7")]
    pub summaries: Vec<DomainSummary>,
}

/// An instance's own state.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct State {
    /// Revision of the configuration in force there.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Digest of that configuration.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// Whether it serves.
    #[prost(bool, tag = "3")]
    pub ready: bool,
    /// Whether it is shutting down.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// Whether this is its last bundle.
    #[prost(bool, tag = "5")]
    pub left: bool,
}

/// Load reports of upstreams; entry `n` of every list belongs to the same upstream.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Loads {
    /// Short ids.
    #[prost(fixed32, repeated, tag = "1")]
    pub upstreams: Vec<u32>,
    /// Low 32 bits of the incarnations.
    #[prost(fixed32, repeated, tag = "2")]
    pub incarnations: Vec<u32>,
    /// Running requests.
    #[prost(uint32, repeated, tag = "3")]
    pub running: Vec<u32>,
    /// Waiting requests.
    #[prost(uint32, repeated, tag = "4")]
    pub waiting: Vec<u32>,
    /// Tokens of memory in use.
    #[prost(uint32, repeated, tag = "5")]
    pub used: Vec<u32>,
    /// Tokens of memory in all, in units of 1,024.
    #[prost(uint32, repeated, tag = "6")]
    pub memory: Vec<u32>,
    /// Low 16 bits of the count of preemptions.
    #[prost(uint32, repeated, tag = "7")]
    pub preemptions: Vec<u32>,
    /// 1 for an upstream that is leaving, 0 otherwise.
    #[prost(uint32, repeated, tag = "8")]
    pub leaving: Vec<u32>,
}

/// An instance's own load on upstreams; entry `n` of every list belongs to the same upstream.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OwnLoads {
    /// Short ids.
    #[prost(fixed32, repeated, tag = "1")]
    pub upstreams: Vec<u32>,
    /// Its running requests there.
    #[prost(uint32, repeated, tag = "2")]
    pub running: Vec<u32>,
    /// Tokens of prompts and answers of those requests so far.
    #[prost(uint32, repeated, tag = "3")]
    pub tokens: Vec<u32>,
    /// Requests sent there since the last report of the upstream.
    #[prost(uint32, repeated, tag = "4")]
    pub sent: Vec<u32>,
}

/// A sign that an upstream is leaving or down, or no longer.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct HealthReport {
    /// Short id.
    #[prost(fixed32, tag = "1")]
    pub upstream: u32,
    /// Low 32 bits of the upstream's incarnation; 0 if it is not known.
    #[prost(fixed32, tag = "2")]
    pub incarnation: u32,
    /// 0 for serving, 1 for leaving, 2 for down; a reader takes other values for leaving.
    #[prost(uint32, tag = "3")]
    pub kind: u32,
}

/// An instance that did not answer.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Suspicion {
    /// Its short id.
    #[prost(fixed32, tag = "1")]
    pub member: u32,
    /// The incarnation that did not answer.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The last of its bundles that the one who suspects it has seen; a later one is evidence of life.
    #[prost(uint32, tag = "3")]
    pub version: u32,
}

/// The state of a failure domain, for other domains.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct DomainSummary {
    /// The failure domain.
    #[prost(string, tag = "1")]
    pub domain: String,
    /// Instances alive.
    #[prost(uint32, tag = "2")]
    pub alive: u32,
    /// Instances that serve.
    #[prost(uint32, tag = "3")]
    pub ready: u32,
    /// Lowest revision of the configuration in force at an instance alive.
    #[prost(uint64, tag = "4")]
    pub lowest: u64,
    /// Highest revision in force at an instance alive.
    #[prost(uint64, tag = "5")]
    pub highest: u64,
    /// Short id of an instance that holds the highest revision.
    #[prost(fixed32, tag = "6")]
    pub holder: u32,
    /// Names of instances alive that are below the highest revision; at most a few.
    #[prost(string, repeated, tag = "7")]
    pub behind: Vec<String>,
    /// Load by service.
    #[prost(message, repeated, tag = "8")]
    pub services: Vec<ServiceLoad>,
    /// Requests suspected of crashing upstreams; at most a few of the latest.
    #[prost(bytes = "bytes", repeated, tag = "9")]
    pub suspects: Vec<Bytes>,
}

/// The load of a service's upstreams in one failure domain.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ServiceLoad {
    /// Short id of the service.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Upstreams with a fresh report.
    #[prost(uint32, tag = "2")]
    pub upstreams: u32,
    /// Waiting requests.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    /// Memory in use, in thousandths.
    #[prost(uint32, tag = "4")]
    pub usage: u32,
}
