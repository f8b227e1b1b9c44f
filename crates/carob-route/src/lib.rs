//! Routing, admission and queueing decisions for answers of unknown length.
//!
//! A [`Router`] is a state machine without I/O: requests, their completions, load reports and the current
//! time go in, decisions come out. The control thread of an instance and the trace replay run the same code.
//!
//! * [`submit`]: requests, placements with their reasons, and refusals.
//! * [`finish`]: progress and completion of requests.
//! * [`options`]: configuration of the router.
//! * [`cache`]: hints about which upstreams have which prompt prefixes cached.
//! * [`peer`]: load of other instances that load reports do not cover yet.
//! * [`status`]: a snapshot for operators.
//! * [`length`], [`forecast`], [`queue`], [`breaker`], [`budget`]: the building blocks of the decisions:
//!   answer length model, memory forecast, fair queue, circuit breaker and retry budget.

pub mod breaker;
pub mod budget;
pub mod cache;
pub mod finish;
pub mod forecast;
pub mod length;
pub mod options;
pub mod peer;
pub mod queue;
pub mod status;
pub mod submit;

mod admit;
mod apply;
mod choose;
mod denial;
mod drain;
mod place;
mod retry;
mod router;
mod signal;
mod state;
mod upstream;

pub use finish::End;
pub use options::Options;
pub use peer::UnreportedLoad;
pub use router::Router;
pub use submit::{Event, Outcome, Placement, Reason, Refusal, Request};
