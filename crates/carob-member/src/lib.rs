//! Membership of instances and the soft state they share.
//!
//! A pure state machine: datagrams, the platform's instance list and the clock go in, datagrams and changes come
//! out. Nothing here has to survive or to be agreed on; what has to be goes through the platform's store.
//!
//! * [`members`]: the state machine.
//! * [`event`]: what goes in and what comes out.
//! * [`options`]: its settings.
//! * [`member`]: what is known of one instance.
//! * [`home`]: which instance looks after a key, by rendezvous hashing.
//! * [`load`]: load of upstreams as the instances share it.
//!
//! Within a failure domain every instance probes one other each period, directly and then through others
//! (`probe`); instances that do not answer are suspected before they count as failed (`suspicion`); soft state
//! travels along a tree for each origin (`spread`). Between failure domains a few instances exchange summaries
//! (`bridge`).

pub mod event;
pub mod home;
pub mod load;
pub mod member;
pub mod members;
pub mod options;

mod bridge;
mod outbox;
mod probe;
mod publish;
mod receive;
mod roster;
mod send;
mod spread;
mod suspicion;
mod tick;
mod view;

pub use event::{Action, Actions, Change, Datagram, Event, ListEntry, Target};
pub use load::{InFlight, Load, UpstreamHealth};
pub use member::{Member, Status};
pub use members::Members;
pub use options::Options;
pub use send::{DATAGRAM_OVERHEAD, Traffic};
