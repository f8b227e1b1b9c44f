//! Explains a request, an upstream or an instance from the gateways' log lines.
//!
//! * [`Record`]: one line, with the instance that wrote it.
//! * [`parse`]: the records in a text, and the number of lines that are not records.
//! * [`align()`]: puts the records of several instances in one order, although their clocks differ.
//! * [`conclude()`]: explains in a sentence the outcome of a request and the decision that led to it.

mod align;
mod conclude;
mod record;

pub use align::align;
pub use conclude::conclude;
pub use record::{ParsedLog, Record, parse};
