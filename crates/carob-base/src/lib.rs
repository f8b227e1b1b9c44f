//! Keys, names, time and derive macros for all crates.
//!
//! * [`time`]: points in time that callers pass in, so that replay and fuzz tests run the same code as
//!   production.
//! * [`key`]: small `Copy` keys into arenas.
//! * [`name`]: the names of configured objects.
//! * [`value!`] and [`plain!`]: common sets of derives.

pub mod key;
pub mod name;
pub mod time;

mod macros;

pub use key::{AccountKey, InstanceKey, RequestKey, ServiceKey, UpstreamKey};
pub use name::Name;
pub use time::{Clock, Time};
