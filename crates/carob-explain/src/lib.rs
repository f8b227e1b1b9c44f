//! Explains a request, an upstream or an instance from the gateways' log lines.
//!
//! * [`Record`]: one line, with the instance that wrote it.
//! * [`parse`]: the records in a text, with a count of lines that are none.
//! * [`align`]: one order for the records of several instances, although their clocks differ.
//! * [`conclude`]: the outcome of a request and the decision that led to it, in a sentence.

mod align;
mod conclude;
mod record;

pub use align::align;
pub use conclude::conclude;
pub use record::{ParsedLog, Record, parse};
