//! The content of a datagram.

use bytes::Bytes;

/// The content of a datagram. Any part may be missing.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Packet {
    /// Identity of the sender, for a receiver that may not know it.
    #[prost(message, optional, tag = "1")]
    pub hello: Option<Hello>,
    /// Asks for an [`Ack`].
    #[prost(message, optional, tag = "2")]
    pub ping: Option<Ping>,
    /// Answers a ping.
    #[prost(message, optional, tag = "3")]
    pub ack: Option<Ack>,
    /// Asks the receiver to ping a third instance on behalf of the sender.
    #[prost(message, optional, tag = "4")]
    pub ping_request: Option<PingRequest>,
    /// Tells the receiver that it uses an incarnation lower than one already known of it.
    #[prost(message, optional, tag = "5")]
    pub newer_incarnation: Option<NewerIncarnation>,
    /// Soft state of the sender and of others.
    #[prost(message, repeated, tag = "6")]
    pub bundles: Vec<Bundle>,
    /// State of the sender's failure domain, for a receiver in another one.
    #[prost(message, optional, tag = "7")]
    pub summary: Option<crate::DomainSummary>,
    /// Answers that callers have resumed at the sender.
    #[prost(message, repeated, tag = "8")]
    pub resumed: Vec<Resumed>,
}

/// An answer that a caller has resumed at the sender.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Resumed {
    /// Name of the upstream that generates it.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Id of the answer at the engine.
    #[prost(string, tag = "2")]
    pub answer: String,
}

/// Identity of an instance.
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
    /// Its address for datagrams and connections from other instances.
    #[prost(string, tag = "4")]
    pub address: String,
}

/// Asks for an [`Ack`].
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Ping {
    /// Number that the sender gave the ping; the ack repeats it.
    #[prost(uint32, tag = "1")]
    pub number: u32,
}

/// Answers a ping.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Ack {
    /// Number of the ping.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// The sender does not know the receiver and asks for a [`Hello`].
    #[prost(bool, tag = "2")]
    pub needs_hello: bool,
}

/// Asks the receiver to ping a third instance and to forward its ack.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct PingRequest {
    /// Number that the sender gave the ping.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// Short id of the instance to ping.
    #[prost(fixed32, tag = "2")]
    pub target: u32,
}

/// Tells the receiver that it uses an incarnation lower than one already known of it.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct NewerIncarnation {
    /// Highest incarnation of the receiver that the sender knows.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
}

/// Soft state of one instance, forwarded as it was received.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Bundle {
    /// Short id of the instance whose state it is.
    #[prost(fixed32, tag = "1")]
    pub origin: u32,
    /// Incarnation of that instance.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number of the bundle within the incarnation, counted from 1.
    #[prost(uint32, tag = "3")]
    pub version: u32,
    /// Receivers forward it at once.
    #[prost(bool, tag = "4")]
    pub urgent: bool,
    /// An encoded [`Body`](crate::Body).
    #[prost(bytes = "bytes", tag = "5")]
    pub body: Bytes,
}
