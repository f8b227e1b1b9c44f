//! Gossip membership and the soft state that instances share.
//!
//! A pure state machine without I/O: its inputs are datagrams, the platform's instance list and the clock,
//! its outputs are datagrams and membership changes. The state is neither durable nor agreed on by consensus;
//! state that needs either is kept in the platform's store.
//!
//! * [`members`]: the state machine.
//! * [`event`]: its inputs and outputs.
//! * [`options`]: its settings.
//! * [`member`]: the state kept for each other instance.
//! * [`home`]: assignment of keys to instances by rendezvous hashing.
//! * [`load`]: the load and health of upstreams that instances share.
//!
//! Within a failure domain, failure detection follows SWIM: every instance probes one other per period, first
//! directly and then through relays (`probe`), and an instance that does not answer is suspected before it
//! counts as failed (`suspicion`). Soft state is multicast along a tree per origin (`spread`). Between
//! failure domains, a few instances of each exchange summaries (`bridge`).

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
