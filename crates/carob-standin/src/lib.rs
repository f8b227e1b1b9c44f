//! Small stand-ins for what the platform gives, for tests, the demo and measurements.
//!
//! Each runs on threads of this process behind a real socket of the loopback interface, can be told to fail in
//! the ways in which the real one fails, and records what it did.
//!
//! * [`engine`]: a model engine with continuous batching, preemption and resumable streams.
//! * [`list`]: the instance list.
//! * [`orders`]: a plain ordering service.
//! * [`store`]: the key-value store, by the JSON gateway of etcd v3.

pub mod engine;
pub mod list;
pub mod orders;
pub mod store;

mod host;

pub use engine::Engine;
pub use list::List;
pub use orders::Orders;
pub use store::Store;

/// The stand-in could not start.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {address}: {source}")]
pub struct Error {
    /// The address.
    pub address: std::net::SocketAddr,
    /// The system's error.
    pub source: std::io::Error,
}

/// Any free port of the loopback interface.
pub(crate) const LOOPBACK: std::net::SocketAddr =
    std::net::SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Locks `mutex`; a panic elsewhere leaves no state half changed here.
pub(crate) fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
