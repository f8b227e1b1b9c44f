//! The callers' listener, with limits on all that a caller controls.
//!
//! One network thread reads heads and bodies under limits and timeouts; each whole request is then handed to a
//! worker thread of a bounded pool. What the worker answers goes back through the network thread, which sends
//! every piece at once.
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

/// Why the listener could not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The certificate or its key cannot be used.
    #[error("cannot use the certificate: {0}")]
    Tls(String),
    /// The network thread could not be started.
    #[error("cannot start the network thread: {0}")]
    Thread(io::Error),
}

/// Answers one request, on a worker thread.
type Handler = Arc<dyn Fn(Exchange) + Send + Sync>;

/// What the network thread should do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// Accept and serve.
    Serving,
    /// Accept and serve, but close each connection after its next response.
    Retiring,
    /// Accept nothing, finish what is open.
    Draining,
    /// Cut off what is open.
    Closed,
}

/// A listener for callers; answers until it is closed.
pub struct Listener {
    address: SocketAddr,
    phase: watch::Sender<Phase>,
    pool: Pool,
    thread: JoinHandle<usize>,
}

impl Listener {
    /// Listens and answers each request with `handler`, on a worker thread.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the address cannot be bound or the certificate cannot be used.
    pub fn bind(options: Options, handler: impl Fn(Exchange) + Send + Sync + 'static) -> Result<Self, Error> {
        let tls = options.tls.as_ref().map(tls::acceptor).transpose()?;
        let address = options.address;
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(Error::Thread)?;
        let sockets = {
            let _context = runtime.enter();
            listen(&options).map_err(|source| Error::Bind { address, source })?
        };
        let address = sockets
            .local_addr()
            .map_err(|source| Error::Bind { address, source })?;
        let (phase, changes) = watch::channel(Phase::Serving);
        let pool = Pool::new(options.max_requests);
        let shared = accept::Shared {
            options,
            pool: pool.clone(),
            handler: Arc::new(handler),
            tls,
        };
        let thread = std::thread::Builder::new()
            .name("http-listen".to_owned())
            .spawn(move || runtime.block_on(accept::run(sockets, shared, changes)))
            .map_err(Error::Thread)?;
        Ok(Self {
            address,
            phase,
            pool,
            thread,
        })
    }

    /// The address that is listened on.
    pub const fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Requests in progress on workers.
    pub fn open_requests(&self) -> usize {
        self.pool.busy()
    }

    /// Closes each connection after its next response, while requests are still accepted.
    ///
    /// Callers that keep connections open are so moved to other instances before [`drain`](Self::drain).
    pub fn disable_keep_alive(&self) {
        self.advance(Phase::Retiring);
    }

    /// Stops accepting, and returns when every open exchange has ended, however long that takes.
    pub fn drain(self) {
        self.advance(Phase::Draining);
        self.join();
    }

    /// Stops accepting, lets open exchanges go on for `grace`, then cuts them off.
    ///
    /// Returns the number of connections that were cut off.
    pub fn close(self, grace: Duration) -> usize {
        self.advance(Phase::Draining);
        let end = std::time::Instant::now() + grace;
        while !self.thread.is_finished() && std::time::Instant::now() < end {
            std::thread::sleep(POLL);
        }
        self.advance(Phase::Closed);
        self.join()
    }

    fn advance(&self, phase: Phase) {
        self.phase.send_if_modified(|present| {
            let forward = phase > *present;
            if forward {
                *present = phase;
            }
            forward
        });
    }

    fn join(self) -> usize {
        let Ok(cut) = self.thread.join() else {
            panic!("the network thread panicked");
        };
        cut
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

/// How often the end of the network thread is looked for.
const POLL: Duration = Duration::from_millis(5);
/// Connections that the system holds until they are accepted.
const BACKLOG: u32 = 1024;

fn listen(options: &Options) -> io::Result<TcpListener> {
    let socket = match options.address {
        SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted sockets inherit the size, which bounds what a caller that stops reading holds in the system.
    socket.set_send_buffer_size(options.socket_buffer)?;
    socket.bind(options.address)?;
    socket.listen(BACKLOG)
}
