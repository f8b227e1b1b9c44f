//! Detection and refusal of requests that crash upstreams.
//!
//! When an upstream crashes, the requests that ran on it become suspects. A suspect runs isolated, on an
//! upstream that runs nothing else, until it has finished once. If the upstream crashes then too, the suspect
//! is refused for a time. The instances of a failure domain merge their reports of crashes, so that all of
//! them come to the same verdict.
//!
//! * [`fingerprint`]: identifies equal requests.
//! * [`options`]: limits and durations.
//! * [`report`]: the evidence that instances exchange.
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
