//! Orders to engines, sent under a lease with fencing numbers.
//!
//! One instance at a time holds the lease for sending orders. Before it sends an order, it records its intent
//! in the store that also holds the lease; just before sending, it checks the lease's remaining time on the
//! monotonic clock. While that store is unavailable, no orders are sent, and engines keep serving what they have
//! loaded.
//!
//! * [`lease`]: the lease for sending orders, and its fencing number.
//! * [`limit`]: the limit, shared by all instances, on how often engines load weights from the weight store.
//! * [`options`]: limits and timeouts.
//! * [`order`]: orders and the intents recorded for them.
//! * [`orders`]: the state machine that issues one instance's orders.
//! * [`plan`]: the desired state of upstreams.

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
