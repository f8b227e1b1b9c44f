//! A TCP proxy that simulates the failure of the network between two endpoints.

use std::{
    io::{Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

/// Maximum time to connect to the proxy's target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of the buffer of each direction, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// How the proxy treats connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// Data is forwarded in both directions.
    Forward,
    /// Connections are closed as soon as they are accepted.
    Disconnect,
}

struct State {
    mode: Mode,
    target: SocketAddr,
    /// Both sockets of each connection, kept to be shut down.
    sockets: Vec<TcpStream>,
}

/// A running proxy; it runs until the process ends.
pub struct Proxy {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Proxy {
    /// Starts a proxy that forwards connections to `target`.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((target.ip(), 0)).expect("a port is free");
        let address = listener.local_addr().expect("the socket is bound");
        let state = Arc::new(Mutex::new(State {
            mode: Mode::Forward,
            target,
            sockets: Vec::new(),
        }));
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for inbound in listener.incoming().flatten() {
                connect(&shared, inbound);
            }
        });
        Self { address, state }
    }

    /// Address on which the proxy accepts connections.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes every open connection, and later ones as soon as they are accepted.
    pub fn disconnect(&self) {
        let mut state = lock(&self.state);
        state.mode = Mode::Disconnect;
        for socket in state.sockets.drain(..) {
            // An error means that the socket is already closed.
            drop(socket.shutdown(Shutdown::Both));
        }
    }
}

fn lock(state: &Mutex<State>) -> std::sync::MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn connect(shared: &Arc<Mutex<State>>, inbound: TcpStream) {
    let (mode, address) = {
        let state = lock(shared);
        (state.mode, state.target)
    };
    if mode == Mode::Disconnect {
        return;
    }
    let Ok(outbound) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) else {
        return;
    };
    for socket in [&inbound, &outbound] {
        socket.set_nodelay(true).expect("the socket is open");
    }
    let mut state = lock(shared);
    for (from, to) in [(&inbound, &outbound), (&outbound, &inbound)] {
        let (from, to) = (clone(from), clone(to));
        thread::spawn(move || forward(from, to));
    }
    state.sockets.extend([inbound, outbound]);
}

fn clone(socket: &TcpStream) -> TcpStream {
    socket.try_clone().expect("the process may open more files")
}

/// Copies data until either side is closed, then closes the receiving one.
fn forward(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length) = from.read(&mut buffer) {
        if length == 0 || to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    drop(to.shutdown(Shutdown::Both));
}
