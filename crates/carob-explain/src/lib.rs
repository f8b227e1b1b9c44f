//! Explains a request, an upstream, an instance or a service's repeats from the gateways' log lines.
//!
//! * [`Record`]: one line, with the instance that wrote it.
//! * [`parse`]: the records in a text, and the number of lines that are not records.
//! * [`align()`]: puts the records of several instances in one order, although their clocks differ.
//! * [`conclude()`]: explains in a sentence the outcome of a request and the decision that led to it.
//! * [`windows()`]: counts what was sent to a service's upstreams more than once.

mod align;
mod conclude;
mod placement;
mod record;
mod service;

pub use align::align;
pub use conclude::conclude;
pub use record::{ParsedLog, Record, parse};
pub use service::{Window, dropped_lines, windows};
