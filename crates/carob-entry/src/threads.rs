//! Starts the threads that do I/O for the control thread.

use std::{
    sync::Arc,
    thread::{self, JoinHandle},
};

use carob_store::Client;
use flume::Receiver;

use crate::{
    control::Channels,
    instance::Error,
    io::{cache, fetch, order, poll, store, watch},
    link::PeerSockets,
    shared::Shared,
};

/// Receiving ends of the channels over which the control thread hands out work.
#[derive(Debug)]
pub struct Work {
    store: Receiver<store::Job>,
    watch: Receiver<watch::Job>,
    order: Receiver<order::Job>,
    fetch: Receiver<fetch::Job>,
    probe: Receiver<poll::Probe>,
}

/// Creates the channels from the control thread to its I/O threads.
pub fn channels() -> (Channels, Work) {
    let (store, store_rx) = flume::unbounded();
    let (watch, watch_rx) = flume::unbounded();
    let (order, order_rx) = flume::unbounded();
    let (fetch, fetch_rx) = flume::unbounded();
    let (probe, probe_rx) = flume::unbounded();
    let channels = Channels {
        store,
        watch,
        order,
        fetch,
        probe,
    };
    let work = Work {
        store: store_rx,
        watch: watch_rx,
        order: order_rx,
        fetch: fetch_rx,
        probe: probe_rx,
    };
    (channels, work)
}

/// Starts the I/O threads. They end when the control thread has ended or the instance is closed.
///
/// # Errors
///
/// Returns [`Error::Thread`] if a thread cannot be started.
pub fn start(
    shared: &Arc<Shared>,
    client: &Arc<Client>,
    sockets: &PeerSockets,
    work: Work,
) -> Result<Vec<JoinHandle<()>>, Error> {
    let mut threads = Vec::new();
    for _ in 0..store::THREADS {
        let (shared, client, jobs) = (Arc::clone(shared), Arc::clone(client), work.store.clone());
        threads.push(spawn("store", move || store::run(&shared, &client, &jobs))?);
    }
    let (watcher, watch_client, jobs) = (Arc::clone(shared), Arc::clone(client), work.watch);
    // This thread is not joined: it ends with its present watch, for which closing need not wait.
    drop(spawn("watch", move || {
        watch::run(&watcher, &watch_client, &jobs);
    })?);
    let poller = Arc::clone(shared);
    threads.push(spawn("poll", move || poll::run(&poller))?);
    let (prober, probes) = (Arc::clone(shared), work.probe);
    threads.push(spawn("probe", move || poll::run_probes(&prober, &probes))?);
    let reader = Arc::clone(shared);
    threads.push(spawn("cache", move || cache::run(&reader))?);
    let (orderer, jobs) = (Arc::clone(shared), work.order);
    threads.push(spawn("order", move || order::run(&orderer, &jobs))?);
    let (fetcher, endpoint, jobs) = (Arc::clone(shared), sockets.endpoint.clone(), work.fetch);
    threads.push(spawn("fetch", move || fetch::run(&fetcher, &endpoint, &jobs))?);
    Ok(threads)
}

/// Starts a thread with this name.
///
/// # Errors
///
/// Returns [`Error::Thread`] if the system permits no further thread.
pub fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>, Error> {
    let builder = thread::Builder::new().name(name.to_owned());
    builder.spawn(run).map_err(Error::Thread)
}
