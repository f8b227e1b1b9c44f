//! The sockets between instances.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use carob_config::short_id;
use carob_link::{Key, Sealer, exchange::Endpoint};

use crate::{
    control::Peers,
    instance::Error,
    io::{datagrams, fetch, list},
    options::Options,
    shared::Shared,
    threads::spawn,
};

/// Number of ports that are tried if any port may be used; the port must be free for both datagrams and
/// connections.
const MAX_ATTEMPTS: usize = 16;
/// Time limit of the connection that wakes the accepting thread.
const WAKE_TIMEOUT: Duration = Duration::from_secs(1);

/// The sockets for other instances: datagrams and connections at the same address.
#[derive(Debug)]
pub struct PeerSockets {
    /// The address of both sockets.
    pub address: SocketAddr,
    /// This instance's identity and key in exchanges with the others.
    pub endpoint: Endpoint,
    socket: Arc<UdpSocket>,
    listener: TcpListener,
}

impl PeerSockets {
    /// Binds the sockets.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Peers`] if the address cannot be bound.
    pub fn bind(options: &Options) -> Result<Self, Error> {
        let wanted = options.peer_address;
        let (socket, listener) = bind(wanted).map_err(|source| Error::Peers {
            address: wanted,
            source,
        })?;
        let address = listener.local_addr().unwrap_or(wanted);
        let id = short_id(&options.name);
        let incarnation = wall_millis();
        let key = Key::new(&options.peer_key);
        Ok(Self {
            address,
            endpoint: Endpoint { key, id, incarnation },
            socket: Arc::new(socket),
            listener,
        })
    }

    /// The control state for the other instances.
    pub fn peer_state(&self, options: &Options) -> Peers {
        let (name, domain, region) = (&options.name, &options.domain, &options.region);
        let member = carob_member::Options::new(name.clone(), domain.clone(), region.clone(), self.address)
            .with_incarnation(self.endpoint.incarnation)
            .with_seed(options.seed);
        let Endpoint { key, id, incarnation } = self.endpoint.clone();
        Peers::new(
            member,
            Arc::clone(&self.socket),
            Sealer::new(key, id, incarnation),
        )
    }

    /// Starts the threads that read from the sockets and poll the instance list. Those that read from the
    /// sockets end when the instance is closed and they are [woken](wake).
    ///
    /// # Errors
    ///
    /// Returns [`Error::Thread`] if a thread cannot be started.
    pub fn serve(self, shared: &Arc<Shared>) -> Result<(), Error> {
        let Self {
            endpoint,
            socket,
            listener,
            ..
        } = self;
        let id = endpoint.id;
        let reader = Arc::clone(shared);
        drop(spawn("datagrams", move || datagrams::run(&reader, id, &socket))?);
        let server = Arc::clone(shared);
        drop(spawn("serve-config", move || {
            fetch::serve(&server, &endpoint, &listener);
        })?);
        if let Some(address) = shared.options.list_address {
            let lister = Arc::clone(shared);
            drop(spawn("list", move || list::run(&lister, address))?);
        }
        Ok(())
    }
}

/// Wakes the threads that read from the sockets at `address`, so that they notice that the instance is
/// closed.
pub fn wake(address: SocketAddr) {
    let datagram =
        UdpSocket::bind(SocketAddr::new(address.ip(), 0)).and_then(|socket| socket.send_to(&[], address));
    let connection = TcpStream::connect_timeout(&address, WAKE_TIMEOUT);
    if let Some(error) = datagram.err().or(connection.err()) {
        log::debug!("entry: the threads at {address} cannot be woken: {error}");
    }
}

fn bind(wanted: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    let attempts = if wanted.port() == 0 { MAX_ATTEMPTS } else { 1 };
    let mut last = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..attempts {
        let listener = TcpListener::bind(wanted)?;
        match UdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => return Ok((socket, listener)),
            Err(error) => last = error,
        }
    }
    Err(last)
}

/// Milliseconds since 1970. Used as the incarnation, which distinguishes later processes of an instance from
/// earlier ones.
fn wall_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    elapsed.as_millis() as u64
}
