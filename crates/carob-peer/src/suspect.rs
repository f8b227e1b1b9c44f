//! Requests suspected of crashing upstreams.

use bytes::Bytes;

/// One piece of evidence. Either part may be missing.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CrashEvidence {
    /// An upstream that died.
    #[prost(message, optional, tag = "1")]
    pub crash: Option<Crash>,
    /// A suspect that finished without harm.
    #[prost(message, optional, tag = "2")]
    pub cleared: Option<Cleared>,
}

/// What one instance had running on an upstream that died.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Crash {
    /// Digest of the upstream's name and incarnation.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// The instance's process.
    #[prost(fixed64, tag = "2")]
    pub reporter: u64,
    /// Fingerprints of the requests.
    #[prost(fixed64, repeated, tag = "3")]
    pub running: Vec<u64>,
    /// Whether the only request was running there because it was a suspect.
    #[prost(bool, tag = "4")]
    pub isolated: bool,
    /// Time since the death, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub age: u64,
}

/// A request that finished without harm.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Cleared {
    /// Its fingerprint.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Time since it finished, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age: u64,
}

impl CrashEvidence {
    /// The encoded message.
    pub fn to_bytes(&self) -> Bytes {
        crate::encode(self)
    }
}
