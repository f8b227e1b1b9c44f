//! Typed messages between instances.
//!
//! * [`packet`]: the content of a datagram: probes and bundles of soft state.
//! * [`bundle`]: the soft state of one instance.
//! * [`suspect`]: evidence on requests suspected of crashing upstreams.
//! * [`config`]: requests for the configuration, over TCP.
//!
//! Messages are encoded as protocol buffers. Instances of different versions run side by side. Therefore a
//! field is never renumbered or given another meaning, readers skip unknown fields, and bundles are forwarded
//! as received, unknown fields included.

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
/// Returns an error if the bytes are not a valid message of this type.
pub fn decode<M: prost::Message + Default>(bytes: bytes::Bytes) -> Result<M, prost::DecodeError> {
    M::decode(bytes)
}
