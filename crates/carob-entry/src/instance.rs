//! Starting and closing an instance.

use std::{
    net::SocketAddr,
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use carob_http::{admin::AdminListener, listen};
use carob_store::Client;

use crate::{
    admin,
    control::{Control, Event},
    io::cancel,
    link::{self, PeerSockets},
    options::Options,
    shared::{Phase, Shared},
    threads, traffic,
};

/// Interval at which a closing instance checks whether its last calls are settled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time for which a closing instance waits until the store has taken the outcomes of its last calls and
/// engines have confirmed its cancellations.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time for which a closing instance waits for operators' requests in progress.
const ADMIN_GRACE: Duration = Duration::from_secs(10);

/// A failure to start an instance.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The callers' listener could not start.
    #[error("callers' address: {0}")]
    Callers(#[from] listen::Error),
    /// The operators' listener could not start.
    #[error("operators' address {address}: {source}")]
    Admin {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The address for other instances cannot be used.
    #[error("peers' address {address}: {source}")]
    Peers {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// A thread could not be started.
    #[error("a thread could not be started: {0}")]
    Thread(std::io::Error),
}

/// A running entry instance.
#[derive(Debug)]
pub struct Instance {
    shared: Arc<Shared>,
    listener: listen::Listener,
    admin: AdminListener,
    threads: Vec<JoinHandle<()>>,
    peer_address: SocketAddr,
}

impl Instance {
    /// Starts every thread of an instance.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if an address cannot be listened on or a thread cannot be started.
    pub fn start(options: Options) -> Result<Self, Error> {
        admin::metrics::install();
        let (control_tx, control_rx) = flume::unbounded();
        let (cancel_tx, cancel_rx) = flume::unbounded();
        let shared = Arc::new(Shared::new(options, control_tx, cancel_tx));
        let client = Arc::new(new_client(&shared.options));
        let sockets = PeerSockets::bind(&shared.options)?;
        let peer_address = sockets.address;
        let (channels, work) = threads::channels();
        let state = sockets.peer_state(&shared.options);
        let control = Control::new(Arc::clone(&shared), control_rx, channels, state);
        let mut threads = vec![threads::spawn("control", move || control.run())?];
        threads.extend(threads::start(&shared, &client, &sockets, work)?);
        let canceller = Arc::clone(&shared);
        threads.push(threads::spawn("cancel", move || {
            cancel::run(&canceller, &cancel_rx);
        })?);
        sockets.serve(&shared)?;

        let handler = admin::Handler::new(Arc::clone(&shared), client);
        let address = shared.options.admin_address;
        let admin = AdminListener::bind(address, move |request| handler.handle(request))
            .map_err(|source| Error::Admin { address, source })?;
        let server = Arc::clone(&shared);
        let listener = listen::Listener::bind(shared.options.caller_listener.clone(), move |exchange| {
            traffic::serve(&server, exchange);
        })?;
        log::info!(
            "entry: instance={} domain={} region={} callers={} admin={}",
            shared.options.name,
            shared.options.domain,
            shared.options.region,
            listener.local_addr(),
            admin.local_addr()
        );
        Ok(Self {
            shared,
            listener,
            admin,
            threads,
            peer_address,
        })
    }

    /// Bound address of the callers' listener.
    pub const fn caller_address(&self) -> SocketAddr {
        self.listener.local_addr()
    }

    /// Bound address of the operators' interface.
    pub const fn admin_address(&self) -> SocketAddr {
        self.admin.local_addr()
    }

    /// Bound address for other instances.
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Whether the instance has a configuration and is not leaving.
    pub fn is_ready(&self) -> bool {
        self.shared.phase() == Phase::Ready
    }

    /// Shuts down gracefully: reports that it is not ready, serves what the balancer still sends for the
    /// configured delay, finishes every open request however long that takes, and ends.
    pub fn close(self) {
        log::info!("entry: instance={} leaving", self.shared.options.name);
        self.shared.advance(Phase::Leaving);
        self.shared.send_event(Event::Leave);
        self.listener.disable_keep_alive();
        thread::sleep(self.shared.options.leave_delay);
        self.listener.drain();
        self.shared.settle();
        self.shared.advance(Phase::Closed);
        self.shared.send_event(Event::Stop);
        let stalled = self.admin.close(ADMIN_GRACE);
        if stalled > 0 {
            log::warn!("entry: operators' requests are cut off, requests={stalled}");
        }
        for thread in self.threads {
            if thread.join().is_err() {
                log::error!("entry: a thread panicked");
            }
        }
        link::wake(self.peer_address);
        log::info!("entry: instance={} closed", self.shared.options.name);
    }
}

impl Shared {
    /// Waits until the outcomes of the last calls are stored and the cancellations are confirmed, for at most
    /// [`SETTLE_TIMEOUT`].
    fn settle(&self) {
        let end = self.now() + SETTLE_TIMEOUT;
        loop {
            let (reply, status) = flume::bounded(1);
            self.send_event(Event::Status { reply });
            let Ok(status) = status.recv() else {
                return;
            };
            // Read after the status, since the end of a request may start a cancellation.
            let cancellations = self.open_cancellations();
            if status.requests == 0 && status.claims == 0 && cancellations == 0 {
                return;
            }
            if self.now() >= end {
                log::warn!(
                    "entry: not settled within {} s: requests={} claims={} cancellations={cancellations}",
                    SETTLE_TIMEOUT.as_secs(),
                    status.requests,
                    status.claims,
                );
                return;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

fn new_client(options: &Options) -> Client {
    let mut store = carob_store::client::Options::new(options.store_addresses.clone());
    store.timeout = options.store_timeout;
    Client::new(store)
}
