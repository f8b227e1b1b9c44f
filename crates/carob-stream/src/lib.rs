//! Exactly-once, in-order and complete delivery of one generation's events to its caller.
//!
//! The state machines of this crate do no I/O: the driver passes in what happened together with the current
//! [`Time`](carob_base::Time) and performs the [`Action`]s that are returned.
//!
//! * [`action`]: connections, why they end, and what the driver has to do.
//! * [`call`]: retries of plain idempotent calls.
//! * [`cancel`]: cancellation, repeated until it is confirmed.
//! * [`delivery`]: delivery of one answer to one caller.
//! * [`generation`]: the identity of one generation, by which events of other generations are detected.
//! * [`link`]: checking and ordering of the events of one connection.
//! * [`options`]: limits and timeouts of a delivery.
//! * [`pace`]: the distribution of the time between an engine's events.

pub mod action;
pub mod call;
pub mod cancel;
pub mod delivery;
pub mod generation;
pub mod link;
pub mod options;
pub mod pace;

mod lost;

pub use action::{Action, Actions, Cause, ConnId, End, Source};
pub use delivery::Delivery;
pub use generation::Generation;
pub use options::{Mode, Options};
pub use pace::EventIntervals;
