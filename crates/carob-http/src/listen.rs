//! The callers' listener, with limits on everything that a caller controls.
//!
//! One network thread reads heads and bodies, with limits and timeouts. Each complete request is then passed
//! to a worker thread of a bounded pool. The worker's response goes back through the network thread, which
//! sends every piece immediately.
//!
//! * [`Options`]: the limits, with their defaults.
//! * [`Exchange`]: a request that waits for its response.
//! * [`Writer`]: a response that is sent piece by piece.

use std::{fmt, io, net::SocketAddr, sync::Arc, thread::JoinHandle, time::Duration};

use tokio::{net::TcpListener, runtime::Builder, sync::watch};

use crate::pool::Pool;

mod accept;
mod connection;
mod exchange;
mod options;
mod outgoing;
mod request;
mod socket;
mod tls;

pub use exchange::Exchange;
pub use options::{Options, Tls};
pub use outgoing::{SendError, Writer};

/// Why the listener could not be started.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The certificate or its key cannot be used.
    #[error("cannot use the certificate: {0}")]
    Tls(String),
    /// The network thread could not be started.
    #[error("cannot start the network thread: {0}")]
    Thread(io::Error),
}

/// Serves one request, on a worker thread.
type Handler = Arc<dyn Fn(Exchange) + Send + Sync>;

/// State of the listener, in order; it only moves forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// Accepts connections and serves requests.
    Serving,
    /// Accepts connections and serves requests, but closes each connection after its next response.
    NoKeepAlive,
    /// Accepts no connections; open ones end after their requests.
    Draining,
    /// Aborts open connections.
    Closed,
}

/// A listener for callers; serves requests until it is drained or closed.
pub struct Listener {
    address: SocketAddr,
    phase: watch::Sender<Phase>,
    pool: Pool,
    thread: JoinHandle<usize>,
}

impl Listener {
    /// Binds the address and serves each request with `handler`, on a worker thread.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the address cannot be bound, the certificate cannot be used or the network thread
    /// cannot be started.
    pub fn bind(options: Options, handler: impl Fn(Exchange) + Send + Sync + 'static) -> Result<Self, Error> {
        let tls = options.tls.as_ref().map(tls::acceptor).transpose()?;
        let address = options.address;
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(Error::Thread)?;
        let socket = {
            let _context = runtime.enter();
            bind_socket(&options).map_err(|source| Error::Bind { address, source })?
        };
        let address = socket
            .local_addr()
            .map_err(|source| Error::Bind { address, source })?;
        let (phase, phases) = watch::channel(Phase::Serving);
        let pool = Pool::new(options.max_requests);
        let shared = accept::Shared {
            options,
            pool: pool.clone(),
            handler: Arc::new(handler),
            tls,
        };
        let thread = std::thread::Builder::new()
            .name("http-listen".to_owned())
            .spawn(move || runtime.block_on(accept::run(socket, shared, phases)))
            .map_err(Error::Thread)?;
        Ok(Self {
            address,
            phase,
            pool,
            thread,
        })
    }

    /// The address that the listener is bound to.
    pub const fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Number of requests in progress on workers. A request counts until its handler has returned.
    pub fn open_requests(&self) -> usize {
        self.pool.in_progress()
    }

    /// Closes each connection after its next response, while requests are still accepted.
    ///
    /// Callers that keep connections open thereby move to other instances before [`drain`](Self::drain) is
    /// called.
    pub fn disable_keep_alive(&self) {
        self.advance(Phase::NoKeepAlive);
    }

    /// Stops accepting connections and returns when every open one has ended and every handler has returned,
    /// however long that takes.
    ///
    /// A handler may run on after its caller has disconnected.
    pub fn drain(self) {
        self.advance(Phase::Draining);
        let pool = self.pool.clone();
        self.join();
        while pool.in_progress() > 0 {
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Stops accepting connections, waits up to `grace` for open ones to end, then aborts the rest.
    ///
    /// Returns the number of aborted connections.
    pub fn close(self, grace: Duration) -> usize {
        self.advance(Phase::Draining);
        let end = std::time::Instant::now() + grace;
        while !self.thread.is_finished() && std::time::Instant::now() < end {
            std::thread::sleep(POLL_INTERVAL);
        }
        self.advance(Phase::Closed);
        self.join()
    }

    fn advance(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let is_later = phase > *current;
            if is_later {
                *current = phase;
            }
            is_later
        });
    }

    fn join(self) -> usize {
        let Ok(aborted) = self.thread.join() else {
            panic!("the network thread panicked");
        };
        aborted
    }
}

impl fmt::Debug for Listener {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Listener")
            .field("address", &self.address)
            .field("open_requests", &self.open_requests())
            .finish_non_exhaustive()
    }
}

/// Interval at which [`Listener::close`] checks whether the network thread has ended, and [`Listener::drain`]
/// whether the handlers have returned.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of established connections that wait in the operating system to be accepted.
const BACKLOG: u32 = 1024;

fn bind_socket(options: &Options) -> io::Result<TcpListener> {
    let socket = match options.address {
        SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted sockets inherit the size. It limits the memory in the operating system that a caller occupies
    // when it stops reading.
    socket.set_send_buffer_size(options.socket_buffer)?;
    socket.bind(options.address)?;
    socket.listen(BACKLOG)
}
