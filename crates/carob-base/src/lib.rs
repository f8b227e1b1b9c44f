//! Keys, time and small macros shared by every crate.
//!
//! * [`time`]: points in time on a clock that is always passed in, so that replay, fuzzing and the product run
//!   the same code.
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
