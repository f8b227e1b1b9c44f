//! What a datagram carries.

use bytes::Bytes;

/// A datagram. Any of the parts may be missing.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Packet {
    /// Who the sender is, for a receiver that may not know it.
    #[prost(message, optional, tag = "1")]
    pub hello: Option<Hello>,
    /// Asks for an [`Ack`].
    #[prost(message, optional, tag = "2")]
    pub ping: Option<Ping>,
    /// Answers a ping.
    #[prost(message, optional, tag = "3")]
    pub ack: Option<Ack>,
    /// Asks the receiver to ping a third instance.
    #[prost(message, optional, tag = "4")]
    pub ping_request: Option<PingRequest>,
    /// Tells the receiver that it goes by an incarnation that is too low.
    #[prost(message, optional, tag = "5")]
    pub newer_incarnation: Option<NewerIncarnation>,
    /// Soft state of the sender and of others.
    #[prost(message, repeated, tag = "6")]
    pub bundles: Vec<Bundle>,
    /// State of the sender's failure domain, for another one.
    #[prost(message, optional, tag = "7")]
    pub summary: Option<crate::DomainSummary>,
    /// Tells the receiver that callers have resumed answers at the sender.
    #[prost(message, repeated, tag = "8")]
    pub resumed: Vec<Resumed>,
}

/// An answer that a caller has resumed at the sender.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Resumed {
    /// Name of the upstream that generates it.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// The engine's id of it.
    #[prost(string, tag = "2")]
    pub answer: String,
}

/// Who an instance is.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Hello {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its failure domain.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// Its region.
    #[prost(string, tag = "3")]
    pub region: String,
    /// Its address for datagrams and connections between instances.
    #[prost(string, tag = "4")]
    pub address: String,
}

/// Asks for an [`Ack`].
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Ping {
    /// The sender's number for it.
    #[prost(uint32, tag = "1")]
    pub number: u32,
}

/// Answers a ping.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Ack {
    /// The ping's number.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// Whether the sender does not know who the receiver is and asks for a [`Hello`].
    #[prost(bool, tag = "2")]
    pub needs_hello: bool,
}

/// Asks the receiver to ping a third instance and to pass the answer on.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct PingRequest {
    /// The sender's number of the ping.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// Short id of the instance to ping.
    #[prost(fixed32, tag = "2")]
    pub target: u32,
}

/// Tells the receiver that it goes by an incarnation that is too low.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct NewerIncarnation {
    /// The highest incarnation that the sender knows of the receiver.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
}

/// Soft state of one instance, passed on as it was received.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Bundle {
    /// Short id of the instance.
    #[prost(fixed32, tag = "1")]
    pub origin: u32,
    /// The instance's incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Counts the instance's bundles, from 1 within the incarnation.
    #[prost(uint32, tag = "3")]
    pub version: u32,
    /// Whether it is passed on at once.
    #[prost(bool, tag = "4")]
    pub urgent: bool,
    /// An encoded [`Body`](crate::Body).
    #[prost(bytes = "bytes", tag = "5")]
    pub body: Bytes,
}
