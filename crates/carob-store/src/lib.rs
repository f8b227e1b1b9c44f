//! Client of the platform's key-value service.
//!
//! * [`call`]: the calls and their outcomes, as values that pure state machines emit and take in.
//! * [`client`]: carries calls out over etcd v3's JSON gateway.
//! * [`watch`]: changes of keys, as they happen, over a call of bounded lifetime.
//! * [`lease`]: a lease whose holder never acts past it.
//! * [`backoff`]: exponential back-off with full jitter.
//!
//! The platform may differ from one deployment to the next: only `client`, `watch` and the private `gateway`
//! know the protocol.

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
