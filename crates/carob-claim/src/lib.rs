//! At-most-once execution of non-idempotent calls.
//!
//! A claim on the caller's key is durable in the store before the first byte is sent upstream. A claim whose
//! call may have been sent is never taken over; its recorded outcome answers repeats of the call on every
//! instance.
//!
//! [`Claims`] is a state machine that does no I/O: pass in what happened, then perform what [`Claims::poll`]
//! returns.
//!
//! * [`claims`]: the claims in progress on one instance.
//! * [`key`]: the caller's key, its age, and where its claim is stored.
//! * [`op`]: changes to a stored value, and their effects.
//! * [`options`]: limits and timeouts.
//! * [`outcome`]: recorded outcomes.
//! * [`record`]: the stored form of claims.
//! * [`value`]: one stored value, with the changes to be made to it.
//! * [`verdict`]: decisions on calls, and the problems reported to callers.

pub mod claims;
pub mod key;
pub mod op;
pub mod options;
pub mod outcome;
pub mod record;
pub mod value;
pub mod verdict;

pub use claims::{CallId, Claims, Step, Ticket};
pub use key::Key;
pub use options::Options;
pub use outcome::Outcome;
pub use verdict::Verdict;
