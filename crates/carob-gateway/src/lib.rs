//! The gateway: forwards callers' requests unchanged to upstreams of the platform.
//!
//! Two threads: *control* follows the platform's store and other instances, and *traffic* handles requests. They
//! talk in typed messages ([`update`]); decisions are made by [`carob_dispatch`], and every name and format of the
//! platform is [`carob_platform`]'s.
//!
//! * [`run`]: runs a gateway until it is asked to leave.
//! * [`Settings`]: the settings file.
//! * [`Mirror`]: what the store holds, as far as this instance knows.
//! * [`reach`]: whether the store can be reached.
//! * [`Lag`]: how far that is behind what other instances know.
//! * [`events`]: whole events out of a stream's bytes.

mod control;
pub mod events;
mod lag;
mod mirror;
mod peer;
pub mod reach;
mod run;
mod settings;
mod socket;
mod traffic;
mod update;

pub use carob_ini::Errors;
pub use lag::Lag;
pub use mirror::{Change, Mirror, Versioned};
pub use run::{Error, run};
pub use settings::Settings;
