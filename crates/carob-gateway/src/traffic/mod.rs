//! The traffic thread: handles client requests and exchanges loads with the other instances.

mod admission;
mod announce;
mod answer;
mod attempts;
mod body;
mod call;
mod client;
mod cold;
mod crash;
mod departure;
mod evacuation;
mod exchange;
mod framing;
mod guard;
mod head;
mod limit;
mod link;
mod listen;
mod lookup;
mod migrate;
mod outdated;
mod pace;
mod plain;
mod prefixes;
mod probe;
mod question;
mod queue;
mod relay;
mod repeats;
mod resume;
mod shared;
mod shutdown;
mod stop;
mod stream;
mod switch;
mod verdict;
mod waiting;

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use flume::{Receiver, Sender};
use tokio::task::LocalSet;

use crate::{
    Settings,
    run::Error,
    update::{Report, Update},
};
pub(crate) use relay::RelayCount;
use shared::Shared;

/// How often state of upstreams and instances that have gone is removed.
const EVICTION_INTERVAL: Duration = Duration::from_secs(10);

/// Sockets that are bound before the threads start, so that an address already in use is reported as an
/// error.
#[derive(Debug)]
pub(crate) struct Sockets {
    callers: std::net::TcpListener,
    ready: std::net::TcpListener,
    peers: std::net::UdpSocket,
}

impl Sockets {
    /// Binds the caller, readiness and peer addresses of `settings`.
    pub(crate) fn bind(settings: &Settings) -> Result<Self, Error> {
        let listen =
            |address: SocketAddr| listen::bind(address).map_err(|error| Error::Listen(address, error));
        let peers = std::net::UdpSocket::bind(settings.peer_address)
            .and_then(|socket| socket.set_nonblocking(true).map(|()| socket))
            .map_err(|error| Error::Listen(settings.peer_address, error))?;
        Ok(Self {
            callers: listen(settings.caller_address)?,
            ready: listen(settings.ready_address)?,
            peers,
        })
    }
}

/// What the traffic thread leaves behind when it ends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Summary {
    /// When the signal to shut down was read.
    pub(crate) signal: Option<Instant>,
    /// When the requests were finished or cut off.
    pub(crate) finished: Instant,
    /// Longest time by which a timer of the thread fired late.
    pub(crate) longest_stall: Duration,
}

/// Serves requests until a signal to shut down, and then until every request is answered or the grace period
/// is over.
pub(crate) fn run(
    sockets: Sockets,
    settings: Arc<Settings>,
    updates: &Receiver<Update>,
    reports: Sender<Report>,
) -> Summary {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime needs only descriptors, and the process has just started");
    let shared = Rc::new(Shared::new(settings, reports));
    LocalSet::new().block_on(&runtime, async {
        if let Err(error) = start(&shared, sockets) {
            log::error!(error:% = error; "sockets could not be registered with the runtime");
            return;
        }
        let mut eviction = tokio::time::interval(EVICTION_INTERVAL);
        let finished = listen::wait_until_finished(&shared);
        tokio::pin!(finished);
        loop {
            tokio::select! {
                update = updates.recv_async() => match update {
                    Ok(Update::Relay(relayed)) => {
                        tokio::task::spawn_local(relay::serve(Rc::clone(&shared), relayed));
                    }
                    Ok(Update::Question(question)) => question::answer(&shared, question),
                    Ok(update) => shared.apply(update),
                    Err(_closed) => break,
                },
                () = &mut finished => break,
                _ = eviction.tick() => shared.evict_stale(),
            }
        }
        shared.report(Report::Finished);
    });
    Summary {
        signal: shared.signal(),
        finished: Instant::now(),
        longest_stall: shared.longest_stall(),
    }
}

fn start(shared: &Rc<Shared>, sockets: Sockets) -> std::io::Result<()> {
    let callers = tokio::net::TcpListener::from_std(sockets.callers)?;
    let ready = tokio::net::TcpListener::from_std(sockets.ready)?;
    let peers = Rc::new(tokio::net::UdpSocket::from_std(sockets.peers)?);
    tokio::task::spawn_local(listen::serve_callers(Rc::clone(shared), callers));
    tokio::task::spawn_local(listen::serve_readiness(Rc::clone(shared), ready));
    tokio::task::spawn_local(announce::receive(Rc::clone(shared), Rc::clone(&peers)));
    tokio::task::spawn_local(waiting::check_readers(Rc::clone(shared)));
    tokio::task::spawn_local(link::run_probes(Rc::clone(shared)));
    tokio::task::spawn_local(limit::exchange_permits(Rc::clone(shared), Rc::clone(&peers)));
    tokio::task::spawn_local(announce::send(Rc::clone(shared), peers));
    Ok(())
}
