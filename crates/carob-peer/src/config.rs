//! Requests for the configuration, over TCP.

use bytes::Bytes;

/// Asks for configurations later than the one that the sender has.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ConfigRequest {
    /// Revision of the configuration that the sender has.
    #[prost(uint64, tag = "1")]
    pub held: u64,
}

/// Answers a [`ConfigRequest`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ConfigReply {
    /// Encoded heads or snapshots of the sequence of change tickets; empty if the sender has nothing newer.
    #[prost(bytes = "bytes", repeated, tag = "1")]
    pub values: Vec<Bytes>,
}
