//! The configuration model: services, client accounts, routes and upstreams.
//!
//! A [`Config`] is an immutable snapshot at one [`Revision`]; a request keeps the snapshot that it was admitted
//! under. Change tickets, in their own crate, turn one snapshot into the next.
//!
//! * [`canonical`]: the canonical text of objects.
//! * [`object`]: the configured objects.
//! * [`snapshot`]: a whole configuration with its digest and its look-ups.

pub mod canonical;
pub mod object;
pub mod snapshot;

pub use object::{Account, Fencing, Route, Service, ServiceKind, Upstream, Weights};
pub use snapshot::{Config, Digest, Revision, short_id};
