//! In-process stand-ins for the platform's services, for tests, the demo and benchmarks.
//!
//! Each stand-in runs on threads of this process, listens on a real socket of the loopback interface,
//! supports injection of the faults that the real service shows, and records the calls that it carried out.
//!
//! * [`engine`]: a model engine with continuous batching, preemption and resumable event streams.
//! * [`list`]: the platform's instance list.
//! * [`orders`]: an ordering service whose calls are not idempotent.
//! * [`store`]: the key-value store, with the JSON gateway API of etcd v3.

pub mod engine;
pub mod list;
pub mod orders;
pub mod store;

mod host;

pub use engine::Engine;
pub use list::List;
pub use orders::Orders;
pub use store::Store;

/// Error of a stand-in that could not listen on its address.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {address}: {source}")]
pub struct Error {
    /// The address that was requested.
    pub address: std::net::SocketAddr,
    /// Cause reported by the operating system or the HTTP server.
    pub source: std::io::Error,
}

/// Default address: a free port of the loopback interface, chosen by the system.
pub(crate) const LOOPBACK: std::net::SocketAddr =
    std::net::SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Locks `mutex`, ignoring poisoning: a panic in another thread leaves no state partially updated here.
pub(crate) fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
