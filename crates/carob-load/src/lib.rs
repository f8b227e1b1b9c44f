//! Load generation and experiments with reports and plots.
//!
//! A [`Workload`] defines what callers send, a [`Target`] where they send it. [`run()`] is an open-loop
//! generator: arrivals do not wait for answers. It checks and measures every outcome and returns a
//! [`Report`].
//!
//! * [`workload`]: phases, classes of requests, client accounts, and their text form.
//! * [`arrivals`]: the seeded arrival process.
//! * [`target`]: the addresses that requests go to, request bodies and the upstreams' record of what they ran.
//! * [`body`]: request bodies in the format of the stand-ins (simulated upstreams).
//! * [`caller`]: one caller's exchange.
//! * [`check`]: checks of outcomes.
//! * [`mod@run`]: starts a thread for each caller and collects the results.
//! * [`durations`], [`measure`]: histograms and statistics.
//! * [`report`]: the report as a table and as CSV.
//! * [`plot`]: the report as an SVG image.
//! * [`experiment`]: comparison of variants over several seeds.

pub mod arrivals;
pub mod body;
pub mod caller;
pub mod check;
pub mod durations;
pub mod experiment;
pub mod measure;
pub mod plot;
pub mod report;
pub mod run;
pub mod target;
pub mod workload;

pub use report::Report;
pub use run::{Error, run};
pub use target::{RequestSpec, Target, UpstreamRecord};
pub use workload::Workload;
