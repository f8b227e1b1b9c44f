//! Routing, admission and queueing decisions for answers of unknown length.
//!
//! A [`Router`] is pure state: requests, ends, load reports and the clock go in, decisions come out. The control
//! thread of an instance and the replay run the same code.
//!
//! * [`submit`]: requests, placements with their reasons, and refusals.
//! * [`finish`]: progress and ends of requests.
//! * [`options`]: tunable figures.
//! * [`cache`]: hints on which upstreams hold which prefixes.
//! * [`peer`]: work of other instances that load reports do not show yet.
//! * [`status`]: a snapshot for operators.
//! * [`length`], [`forecast`], [`queue`], [`breaker`], [`budget`]: the parts that decisions are made of.

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
