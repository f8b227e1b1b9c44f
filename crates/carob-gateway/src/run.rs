//! Runs a gateway until it is asked to leave.

use std::{net::SocketAddr, path::Path, sync::Arc, thread};

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder};

use crate::{Errors, Settings, control, traffic};

/// Why a gateway could not run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings file cannot be used.
    #[error("{0}")]
    Settings(#[from] Errors),
    /// An address cannot be listened on.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// A thread, a signal handler or the metrics could not be set up.
    #[error("cannot start {0}: {1}")]
    Start(&'static str, String),
}

/// Messages that a thread may be behind; beyond them the sender waits.
const QUEUE: usize = 4_096;

/// Upper bounds of the histograms' buckets, in seconds: from a plain call within a failure domain to the longest
/// stream, with the users' objectives of 0.15, 0.2, 0.69, 1.5 and 1.8 s and their longest pause of 0.18 s.
const BUCKETS: [f64; 16] = [
    0.005, 0.02, 0.05, 0.1, 0.15, 0.18, 0.2, 0.3, 0.5, 0.69, 1.0, 1.5, 1.8, 3.0, 10.0, 40.0,
];

/// Runs a gateway with the settings at `path` until SIGTERM or SIGINT, and until its requests are answered then.
///
/// # Errors
///
/// Returns an [`Error`] if it cannot start.
pub fn run(path: &Path) -> Result<(), Error> {
    let settings = Arc::new(Settings::load(path)?);
    log::info!(
        instance:% = settings.name, domain:% = settings.domain, callers:% = settings.caller_address,
        store:% = settings.store_address; "starting"
    );
    let (updates, received) = flume::bounded(QUEUE);
    let (reports, reported) = flume::bounded(QUEUE);
    let metrics = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &BUCKETS)
        .and_then(PrometheusBuilder::install_recorder)
        .map_err(|error| Error::Start("metrics", error.to_string()))?;
    let sockets = traffic::Sockets::bind(&settings)?;
    let initial = Arc::clone(&settings);
    let traffic = thread::Builder::new()
        .name("traffic".to_owned())
        .spawn(move || traffic::run(sockets, initial, &received, reports))
        .map_err(|error| Error::Start("a thread", error.to_string()))?;
    let outcome = control::run(path, &settings, updates, &reported, &metrics);
    if traffic.join().is_err() {
        return Err(Error::Start("traffic", "its thread has panicked".to_owned()));
    }
    log::info!(instance:% = settings.name; "stopped");
    outcome
}
