//! Orders to engines under a lease and a fencing number.
//!
//! One instance at a time holds the lease for giving orders. It records its intent in the store before it sends
//! an order, and checks the lease's remaining time on the monotonic clock just before sending. Without the store
//! there are no orders; what is loaded goes on being served.
//!
//! * [`lease`]: the lease and the fencing number that comes with it.
//! * [`limit`]: the rate limit that all loads from the weight store share.
//! * [`options`]: limits and waiting times.
//! * [`order`]: orders and the intents that are recorded for them.
//! * [`orders`]: the orders that one instance gives.
//! * [`plan`]: what upstreams should have loaded.

pub mod lease;
pub mod limit;
pub mod options;
pub mod order;
pub mod orders;
pub mod plan;

mod target;

pub use lease::FencingNumber;
pub use options::Options;
pub use order::{Intent, Order, Outcome};
pub use orders::{Actions, CallId, Orders, OutgoingOrder};
pub use plan::{Observed, Target};
