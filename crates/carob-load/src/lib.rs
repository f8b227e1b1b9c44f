//! Load generation and experiments with reports and plots.
//!
//! A [`Workload`] says what callers send, a [`Target`] where they send it. [`run()`] sends it as an open loop:
//! arrivals do not wait for answers. Every outcome is checked while it is measured, and a [`Report`] comes out.
//!
//! * [`workload`]: phases, classes of requests, client accounts, and their text form.
//! * [`arrivals`]: the seeded arrival process.
//! * [`target`]: listeners, request bodies and what is known about the upstreams.
//! * [`body`]: request bodies as the stand-ins take them.
//! * [`caller`]: one caller's exchange.
//! * [`check`]: checks of outcomes.
//! * [`mod@run`]: the run itself.
//! * [`durations`], [`measure`]: histograms and measures.
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
