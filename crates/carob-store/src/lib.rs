//! Client of the platform's key-value service.
//!
//! * [`call`]: calls and their results, as values that state machines without I/O return and accept.
//! * [`client`]: carries out calls over the JSON gateway of etcd v3.
//! * [`watch`]: a stream of changes to keys, with a limited lifetime.
//! * [`lease`]: acquires and renews a lease, and determines whether it is still safe to act under it.
//! * [`backoff`]: exponential backoff with full jitter.
//!
//! The key-value service may differ between deployments, so only `client`, `watch` and the private module
//! `gateway` depend on its protocol.

pub mod backoff;
pub mod call;
pub mod client;
pub mod lease;
pub mod watch;

mod gateway;

pub use backoff::Backoff;
pub use call::{Call, Entry, Expect, Failure, Lease, Reply};
pub use client::Client;
pub use lease::LeaseRenewer;
pub use watch::{Change, Watch, WatchEvent};
