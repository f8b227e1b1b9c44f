//! Detection and refusal of requests that crash upstreams.
//!
//! When an upstream dies, the requests that ran on it become suspects. A suspect runs alone until it has finished
//! once; a suspect that dies alone is refused for a time. Reports of deaths are merged between the instances of
//! a failure domain, so that all of them come to the same verdict.
//!
//! * [`fingerprint`]: what makes two requests the same.
//! * [`options`]: limits and waiting times.
//! * [`report`]: what instances tell each other.
//! * [`suspects`]: the verdicts of one instance.

pub mod fingerprint;
pub mod options;
pub mod report;
pub mod suspects;

mod index;

pub use fingerprint::Fingerprint;
pub use options::Options;
pub use report::{Cleared, Crash, Report};
pub use suspects::{Suspects, Verdict};
