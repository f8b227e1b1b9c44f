//! Questions about the configuration, over TCP.

use bytes::Bytes;

/// Asks for what follows the revision that the sender holds.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ConfigRequest {
    /// The revision that the sender holds.
    #[prost(uint64, tag = "1")]
    pub held: u64,
}

/// Answers a [`ConfigRequest`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ConfigReply {
    /// Encoded heads or snapshots of the order of tickets; none if the sender has nothing newer.
    #[prost(bytes = "bytes", repeated, tag = "1")]
    pub values: Vec<Bytes>,
}
