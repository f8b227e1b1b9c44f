//! The gateway: forwards callers' requests unchanged to upstreams of the platform.
//!
//! The gateway runs two main threads: *control* follows the platform's store and the other instances, and
//! *traffic* handles requests. They exchange typed messages ([`update`]). Placement and retry decisions are
//! made by [`carob_dispatch`]; the names and formats of the platform's interfaces are defined in
//! [`carob_platform`].
//!
//! * [`run()`]: runs a gateway until it is asked to shut down.
//! * [`force_exit()`]: ends a process that does not end by itself in time.
//! * [`Settings`]: the settings file.
//! * [`Mirror`]: this instance's copy of the store's content.
//! * [`reach`]: whether the store can be reached.
//! * [`era`]: which history of the store is followed.
//! * [`evacuations`]: failure domains that are out of service.
//! * [`former`]: values that a key had lately.
//! * [`Lag`]: how long the copy has been behind those of other instances.
//! * [`memory`]: how much of answers waits for clients, and which slow readers are cut off.
//! * [`relaying`]: how an instance asks another one for a connection to an upstream.
//! * [`events`]: splits a byte stream into complete server-sent events.

mod control;
pub mod delta;
pub mod era;
pub mod evacuations;
pub mod events;
pub mod former;
mod lag;
pub mod memory;
mod mirror;
mod overhead;
mod peer;
mod question;
pub mod reach;
mod relayed;
pub mod relaying;
mod run;
mod settings;
mod signals;
mod socket;
mod traffic;
mod update;
pub mod watchers;

pub use carob_ini::Errors;
pub use lag::Lag;
pub use mirror::{Change, Mirror, Versioned};
pub use run::{Error, run};
pub use settings::Settings;
pub use signals::force_exit;
