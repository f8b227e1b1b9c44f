//! HTTP listeners and clients with deadlines, limits and idle timeouts.
//!
//! * [`listen`]: the callers' listener, with limits on all that a caller controls.
//! * [`client`]: calls to upstreams and peers, whole or streamed.
//! * [`admin`]: the operators' listener.
//!
//! Threads: each [`Listener`](listen::Listener) has one network thread and a bounded pool of worker threads; all
//! clients of a process share one network thread.

pub mod admin;
pub mod client;
pub mod listen;

mod header;
mod pool;

pub use header::Headers;
