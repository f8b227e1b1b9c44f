//! Runs a gateway until it is asked to shut down.

use std::{net::SocketAddr, path::Path, sync::Arc, thread};

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder};

use crate::{
    Errors, Settings, control,
    signals::{self, Grace},
    traffic,
};

/// Why a gateway could not start or has failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings file cannot be used.
    #[error("{0}")]
    Settings(#[from] Errors),
    /// A socket could not be bound to an address.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// A thread, a signal handler or the metrics could not be set up.
    #[error("cannot start {0}: {1}")]
    Start(&'static str, String),
}

/// Capacity of each queue of messages between the threads. The control thread waits when its queue is full;
/// reports of the traffic thread are dropped.
const QUEUE_CAPACITY: usize = 4_096;

/// Upper bounds of the histogram buckets, in seconds: from a plain call within a failure domain to the
/// longest stream. They include the users' latency objectives of 0.15, 0.2, 0.69, 1.5 and 1.8 s, and 0.18 s,
/// the longest pause within a stream that they accept.
const HISTOGRAM_BUCKETS: [f64; 16] = [
    0.005, 0.02, 0.05, 0.1, 0.15, 0.18, 0.2, 0.3, 0.5, 0.69, 1.0, 1.5, 1.8, 3.0, 10.0, 40.0,
];

/// Runs a gateway with the settings file at `path` until SIGTERM or SIGINT; returns once the requests in
/// progress are answered or the grace period is over. Ends the process if that does not succeed in time.
///
/// # Errors
///
/// Returns an [`Error`] if the gateway cannot start or its traffic thread has panicked.
pub fn run(path: &Path) -> Result<(), Error> {
    let settings = Arc::new(Settings::load(path)?);
    let signals = signals::catch()?;
    log::info!(
        instance:% = settings.name, domain:% = settings.domain, callers:% = settings.caller_address,
        store:% = settings.store_address; "starting"
    );
    let (updates, received) = flume::bounded(QUEUE_CAPACITY);
    let (reports, reported) = flume::bounded(QUEUE_CAPACITY);
    let metrics = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &HISTOGRAM_BUCKETS)
        .and_then(PrometheusBuilder::install_recorder)
        .map_err(|error| Error::Start("metrics", error.to_string()))?;
    let sockets = traffic::Sockets::bind(&settings)?;
    let initial = Arc::clone(&settings);
    let traffic = thread::Builder::new()
        .name("traffic".to_owned())
        .spawn(move || traffic::run(sockets, initial, &received, reports))
        .map_err(|error| Error::Start("a thread", error.to_string()))?;
    let grace = Arc::new(Grace::default());
    grace.set(settings.grace);
    signals.spawn(Arc::clone(&grace), updates.clone())?;
    // The traffic thread ends only after a signal.
    control::run(path, &settings, updates, grace, &reported, &metrics)?;
    let Ok(summary) = traffic.join() else {
        return Err(Error::Start("traffic", "its thread has panicked".to_owned()));
    };
    log::info!(
        instance:% = settings.name,
        signal_ms = summary.signal.map_or(0, |signal| signal.elapsed().as_millis() as u64),
        finished_ms = summary.finished.elapsed().as_millis() as u64,
        stall_ms = summary.longest_stall.as_millis() as u64; "stopped"
    );
    Ok(())
}
