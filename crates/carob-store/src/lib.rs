//! Client of the platform's key-value service.
//!
//! * [`call`]: the calls and their outcomes, as values that pure state machines emit and take in.

pub mod call;

pub use call::{Call, Entry, Expect, Failure, Lease, Reply};
