//! Delivery of one generation exactly once, in order and whole.
//!
//! Everything here is a state machine without input or output: the driver feeds in what happened together with
//! the present [`Time`](carob_base::Time) and carries out the [`Action`]s that come back.
//!
//! * [`action`]: connections, causes of their end, and what the driver has to do.
//! * [`call`]: retries of plain idempotent calls.
//! * [`cancel`]: cancellation that is repeated until it is certain.
//! * [`delivery`]: one answer from its caller's point of view.
//! * [`generation`]: the identity of one generation, by which foreign events are recognised.
//! * [`link`]: the events of one connection, checked and ordered.
//! * [`options`]: limits and waiting times of a delivery.
//! * [`pace`]: an engine's usual time between events.

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
