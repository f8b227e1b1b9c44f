//! Typed messages between instances.
//!
//! * [`packet`]: what a datagram carries: probes, and bundles of soft state.
//! * [`bundle`]: the soft state of one instance.
//! * [`suspect`]: requests suspected of crashing upstreams.
//! * [`config`]: questions about the configuration, over TCP.
//!
//! Messages are encoded as protocol buffers. Instances of older and newer binaries run side by side: a field is
//! never renumbered or given another meaning, a reader skips fields that it does not know, and bundles are passed
//! on as they were received, fields that the one who passes them on does not know included.

pub mod bundle;
pub mod config;
pub mod packet;
pub mod suspect;

pub use bundle::{Body, DomainSummary, HealthReport, Loads, OwnLoads, ServiceLoad, State, Suspicion};
pub use config::{ConfigReply, ConfigRequest};
pub use packet::{Ack, Bundle, Hello, NewerIncarnation, Packet, Ping, PingRequest, Resumed};
pub use suspect::CrashEvidence;

/// Encodes a message.
pub fn encode(message: &impl prost::Message) -> bytes::Bytes {
    message.encode_to_vec().into()
}

/// Decodes a message; unknown fields are skipped.
///
/// # Errors
///
/// Returns an error if the bytes are no message of this type.
pub fn decode<M: prost::Message + Default>(bytes: bytes::Bytes) -> Result<M, prost::DecodeError> {
    M::decode(bytes)
}
