//! HTTP listeners and clients with limits and timeouts.
//!
//! * [`listen`]: the callers' listener, with limits on everything that a caller controls.
//! * [`client`]: requests to upstreams and peers, with buffered or streamed responses.
//! * [`admin`]: the operators' listener.
//!
//! Threads: each [`Listener`](listen::Listener) has one network thread and a bounded pool of worker threads;
//! all clients of a process share one network thread.

pub mod admin;
pub mod client;
pub mod listen;

mod header;
mod pool;

pub use header::Headers;
