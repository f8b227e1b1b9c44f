//! Evidence on requests suspected of crashing upstreams.

use bytes::Bytes;

/// One piece of evidence. Either part may be missing.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CrashEvidence {
    /// The crash of an upstream.
    #[prost(message, optional, tag = "1")]
    pub crash: Option<Crash>,
    /// A suspect that finished without crashing its upstream.
    #[prost(message, optional, tag = "2")]
    pub cleared: Option<Cleared>,
}

/// One instance's report of an upstream's crash.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Crash {
    /// Digest of the upstream's name and incarnation.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Random number of the reporting instance's process.
    #[prost(fixed64, tag = "2")]
    pub reporter: u64,
    /// Fingerprints of the requests that the instance had running on the upstream.
    #[prost(fixed64, repeated, tag = "3")]
    pub running: Vec<u64>,
    /// The only request was an isolated suspect.
    #[prost(bool, tag = "4")]
    pub isolated: bool,
    /// Time since the crash, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub age: u64,
}

/// A suspect that finished without crashing its upstream.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Cleared {
    /// Fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Time since it finished, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age: u64,
}

impl CrashEvidence {
    /// Encodes the message.
    pub fn to_bytes(&self) -> Bytes {
        crate::encode(self)
    }
}
