//! A forwarder that stands for the network between two ends, and can fail as a network does.

use std::{
    io::{Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

/// Longest wait for a connection to the far end.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Largest piece that is forwarded at once, in bytes.
const PIECE: usize = 16 * 1024;

/// What becomes of bytes and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// They are forwarded.
    Open,
    /// Connections are closed as soon as they are made.
    Cut,
}

struct State {
    mode: Mode,
    far: SocketAddr,
    sockets: Vec<TcpStream>,
}

/// The running forwarder. It lives until the end of the process.
pub struct Line {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Line {
    /// Forwards connections to `far`.
    pub fn start(far: SocketAddr) -> Self {
        let listener = TcpListener::bind((far.ip(), 0)).expect("a port is free");
        let address = listener.local_addr().expect("the socket is bound");
        let state = Arc::new(Mutex::new(State {
            mode: Mode::Open,
            far,
            sockets: Vec::new(),
        }));
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                connect(&shared, near);
            }
        });
        Self { address, state }
    }

    /// Where connections are taken.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Breaks every connection and every later one.
    pub fn cut(&self) {
        let mut state = lock(&self.state);
        state.mode = Mode::Cut;
        for socket in state.sockets.drain(..) {
            // A socket that is closed already is broken all the same.
            drop(socket.shutdown(Shutdown::Both));
        }
    }
}

fn lock(state: &Mutex<State>) -> std::sync::MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn connect(shared: &Arc<Mutex<State>>, near: TcpStream) {
    let (mode, address) = {
        let state = lock(shared);
        (state.mode, state.far)
    };
    if mode == Mode::Cut {
        return;
    }
    let Ok(far) = TcpStream::connect_timeout(&address, CONNECT_LIMIT) else {
        return;
    };
    for socket in [&near, &far] {
        socket.set_nodelay(true).expect("the socket is open");
    }
    let mut state = lock(shared);
    for (from, to) in [(&near, &far), (&far, &near)] {
        let (from, to) = (clone(from), clone(to));
        thread::spawn(move || forward(from, to));
    }
    state.sockets.extend([near, far]);
}

fn clone(socket: &TcpStream) -> TcpStream {
    socket.try_clone().expect("the process may open more files")
}

/// Copies until either end closes.
fn forward(mut from: TcpStream, mut to: TcpStream) {
    let mut piece = vec![0; PIECE];
    while let Ok(length) = from.read(&mut piece) {
        if length == 0 || to.write_all(&piece[..length]).is_err() {
            break;
        }
    }
    drop(to.shutdown(Shutdown::Both));
}
