//! The configuration model: services, client accounts, routes and upstreams.
//!
//! A [`Config`] is an immutable snapshot at one [`Revision`]; a request keeps the snapshot under which it was
//! admitted. Applying a change ticket (crate `carob-ticket`) produces the next snapshot.
//!
//! * [`canonical`]: the canonical text of objects.
//! * [`object`]: the configured objects.
//! * [`snapshot`]: a complete configuration with its digest and lookups.

pub mod canonical;
pub mod object;
pub mod snapshot;

pub use object::{Account, Fencing, Route, Service, ServiceKind, Upstream, Weights};
pub use snapshot::{Config, Digest, Revision, short_id};
