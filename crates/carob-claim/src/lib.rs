//! At-most-once execution of non-idempotent calls.
//!
//! A claim on the caller's key is durable in the store before the first byte goes upstream. Nobody takes over a
//! claim that may have been sent; its recorded outcome answers repeats on every instance.
//!
//! [`Claims`] is a state machine without input or output. Feed it, then take what it wants done with
//! [`Claims::poll`].
//!
//! * [`claims`]: the claims that one instance works on.
//! * [`key`]: the caller's key, its age, and where its claim is kept.
//! * [`op`]: changes to a value and what they come to.
//! * [`options`]: limits and waiting times.
//! * [`outcome`]: recorded outcomes.
//! * [`record`]: the stored form of claims.
//! * [`value`]: one stored value with the changes that wait for it.
//! * [`verdict`]: what callers are told.

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
