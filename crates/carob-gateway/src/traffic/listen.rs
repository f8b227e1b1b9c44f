//! Accepts connections: those of callers, and questions whether the instance is ready.

use std::{cell::Cell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use hyper::{Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use super::{answer::Answer, exchange, guard::Active, shared::Shared};
use crate::socket::set_tcp_options;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 512;

/// How often an idle connection is looked at.
const IDLE_CHECK: Duration = Duration::from_secs(2);

/// The idle time of a connection while no configuration is known.
const IDLE_UNKNOWN: Duration = Duration::from_secs(15);

/// Buffer for a request's head while no configuration is known, and the least one.
const HEAD_LEAST: usize = 16 << 10;

/// Pause after a connection could not be accepted, which is for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long the platform still sends new connections to an instance that says it is not ready: two questions in a
/// row, one a second, and what is on its way.
const STILL_COMING: Duration = Duration::from_millis(2_600);

/// Time before the end of the grace in which the process ends by itself, so that its logs are written.
const BEFORE_KILL: Duration = Duration::from_millis(400);

/// Listens on `address`.
pub(super) fn bind(address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(address), socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Serves callers, until the platform sends no more connections to an instance that leaves: one that is taken
/// later could be cut off at the end of the grace.
pub(super) async fn callers(shared: Rc<Shared>, listener: TcpListener) {
    let closing = async {
        if shared.leaving().is_none() {
            shared.leave.notified().await;
        }
        tokio::time::sleep(STILL_COMING).await;
    };
    tokio::select! {
        () = accept(&shared, &listener) => {}
        () = closing => log::info!("no more connections are taken"),
    }
}

async fn accept(shared: &Rc<Shared>, listener: &TcpListener) {
    let open = Rc::new(Cell::new(0usize));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error, open = open.get(); "caller's connection not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if open.get() >= shared.settings().max_connections {
            log::warn!(open = open.get(); "caller's connection closed: too many are open");
            continue;
        }
        set_tcp_options(&stream);
        tokio::task::spawn_local(connection(Rc::clone(shared), stream, Rc::clone(&open)));
    }
}

/// Requests of one connection.
struct Connection {
    active: Cell<u32>,
    since: Cell<carob_base::Time>,
}

async fn connection(shared: Rc<Shared>, stream: TcpStream, open: Rc<Cell<usize>>) {
    open.set(open.get() + 1);
    let requests = Rc::new(Connection {
        active: Cell::new(0),
        since: Cell::new(shared.now()),
    });
    let counted = Rc::clone(&requests);
    let state = Rc::clone(&shared);
    let service = service_fn(move |request: Request<Incoming>| {
        let (state, counted) = (Rc::clone(&state), Rc::clone(&counted));
        async move { Ok::<_, Infallible>(serve(state, counted, request).await) }
    });
    let head = shared
        .table()
        .map_or(HEAD_LEAST, |table| table.limits().head_bytes.max(HEAD_LEAST));
    let mut builder = http1::Builder::new();
    builder.max_buf_size(head * 2).preserve_header_case(true);
    let served = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    let mut check = tokio::time::interval(IDLE_CHECK);
    loop {
        tokio::select! {
            outcome = served.as_mut() => {
                if let Err(error) = outcome {
                    log::debug!(error:% = error; "caller's connection ended");
                }
                break;
            }
            _ = check.tick() => {
                let idle = shared.table().map_or(IDLE_UNKNOWN, |table| table.limits().idle_timeout);
                let leaving = shared.leaving().is_some_and(|left| shared.now().since(left) > STILL_COMING);
                let unused = requests.active.get() == 0 && shared.now().since(requests.since.get()) > idle;
                if unused || leaving {
                    served.as_mut().graceful_shutdown();
                }
            }
        }
    }
    open.set(open.get() - 1);
}

async fn serve(shared: Rc<Shared>, requests: Rc<Connection>, request: Request<Incoming>) -> Response<Answer> {
    let active = Active::new(&shared);
    requests.active.set(requests.active.get() + 1);
    let count = Count(Rc::clone(&requests), Rc::clone(&shared));
    let mut response = exchange::handle(&shared, request, active, count).await;
    if shared.leaving().is_some() {
        let close = hyper::header::HeaderValue::from_static("close");
        response.headers_mut().insert(hyper::header::CONNECTION, close);
    }
    response
}

/// Counts a request of a connection until it is dropped.
pub(super) struct Count(Rc<Connection>, Rc<Shared>);

impl Drop for Count {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get().saturating_sub(1));
        self.0.since.set(self.1.now());
    }
}

/// Answers whether the instance is ready.
pub(super) async fn ready(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "question whether the instance is ready not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        set_tcp_options(&stream);
        let state = Rc::clone(&shared);
        let service = service_fn(move |_request: Request<Incoming>| {
            let ready = state.ready();
            async move {
                let mut response = Response::new(http_body_util::Empty::<bytes::Bytes>::new());
                if !ready {
                    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                }
                Ok::<_, Infallible>(response)
            }
        });
        tokio::task::spawn_local(async move {
            let served = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                log::debug!(error:% = error; "question whether the instance is ready not answered");
            }
        });
    }
}

/// Returns when the process has been asked to leave and may end: no more requests come and all are answered, or
/// the grace is almost over.
pub(super) async fn stay(shared: &Shared) {
    if shared.leaving().is_none() {
        shared.leave.notified().await;
    }
    let grace = shared.settings().grace.saturating_sub(BEFORE_KILL);
    let finish = async {
        tokio::time::sleep(STILL_COMING.min(grace)).await;
        shared.quiet().await;
    };
    if tokio::time::timeout(grace, finish).await.is_err() {
        log::warn!(requests = shared.active(); "requests are cut off: the grace is over");
    }
}
