//! Accepts client connections and readiness checks.

use std::{cell::Cell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use carob_base::Time;
use hyper::{
    Request, Response, StatusCode, Version, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
};

use super::{
    answer::ResponseBody,
    client::ClientStream,
    exchange,
    guard::{ActiveRequest, OpenConnection},
    head::{Requests, TimedStream},
    shared::Shared,
    waiting::{self, Unsent},
};
use crate::socket::set_tcp_options;

/// Connections that the kernel queues until they are accepted.
const BACKLOG: i32 = 512;

/// How often a connection is checked for having been idle too long.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Idle timeout of a connection while no configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Idle timeout of a connection while memory is short: its buffers are released with it.
const SHORT_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Minimum size in bytes of the buffer for a request head, also used while no configuration is known.
const MIN_HEAD_BUFFER: usize = 16 << 10;

/// Pause after a connection could not be accepted, which happens when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Listens on `address`.
pub(super) fn bind(address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(address), socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Time for which a connection still takes a request once it is due to close, since one may be on its way.
const CLOSE_DELAY: Duration = Duration::from_millis(250);

/// Time limit of a request's head while no configuration is known.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(3);

/// How long the exit waits until all connections are aborted; well within the margin that is left of the grace.
const ABORT_TIMEOUT: Duration = Duration::from_millis(50);

/// Serves client connections. After the signal to shut down, connections are accepted only for as long as the
/// platform still sends them; one accepted later could be cut off at the end of the grace period.
pub(super) async fn serve_callers(shared: Rc<Shared>, listener: TcpListener) {
    tokio::select! {
        () = accept(&shared, &listener) => {}
        () = shared.wait_closing() => {}
    }
    if let Err(error) = accept_established(&shared, listener) {
        log::warn!(error:% = error; "established client connections not accepted");
    }
    log::info!("no more connections are taken");
    shared.listener_closed();
}

/// Accepts the connections that the kernel has established already, and closes the listener. Clients of
/// connections that are not accepted would be reset.
fn accept_established(shared: &Rc<Shared>, listener: TcpListener) -> std::io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                start_connection(shared, TcpStream::from_std(stream)?);
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionAborted => {}
            Err(error) => return Err(error),
        }
    }
}

async fn accept(shared: &Rc<Shared>, listener: &TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error, open = shared.connections(); "client connection not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        start_connection(shared, stream);
    }
}

/// Serves a connection in a task of its own; closes it if too many are open.
fn start_connection(shared: &Rc<Shared>, stream: TcpStream) {
    if shared.connections() >= shared.settings().max_connections {
        log::warn!(open = shared.connections(); "client connection closed: too many are open");
        return;
    }
    set_tcp_options(&stream);
    let open = OpenConnection::new(shared);
    tokio::task::spawn_local(serve_connection(Rc::clone(shared), stream, open));
}

/// Activity of one client connection.
struct Connection {
    requests: Rc<Requests>,
    accepted: Time,
    /// Whether the end of the connection is the end of the present response, as for HTTP/1.0 clients.
    unframed: Rc<Cell<bool>>,
    /// When its last request ended, or when it was accepted.
    idle_since: Cell<Time>,
    /// Notified when an answer on it is cut off because the client does not read it.
    cut: Rc<Notify>,
    /// Bytes of answers that are not sent yet.
    unsent: Rc<Unsent>,
}

async fn serve_connection(shared: Rc<Shared>, stream: TcpStream, _open: OpenConnection) {
    let activity = Rc::new(Connection {
        requests: Rc::default(),
        accepted: shared.now(),
        unframed: Rc::default(),
        idle_since: Cell::new(shared.now()),
        cut: Rc::default(),
        unsent: Rc::new(Unsent::new(&shared)),
    });
    let counted = Rc::clone(&activity);
    let state = Rc::clone(&shared);
    let service = service_fn(move |request: Request<Incoming>| {
        let (state, counted) = (Rc::clone(&state), Rc::clone(&counted));
        async move { Ok::<_, Infallible>(serve_request(state, counted, request).await) }
    });
    let (head, head_timeout) = shared
        .table()
        .map_or((MIN_HEAD_BUFFER, DEFAULT_HEAD_TIMEOUT), |table| {
            let limits = table.limits();
            (limits.head_bytes.max(MIN_HEAD_BUFFER), limits.head_timeout)
        });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(head * 2).preserve_header_case(true);
    let stream = ClientStream::new(stream, Rc::clone(&activity.unframed), Rc::clone(&activity.unsent));
    let stream = TimedStream::new(stream, Rc::clone(&activity.requests), head_timeout);
    let mut served = builder.serve_connection(TokioIo::new(stream), service);
    let closing = async {
        shared.wait_closing().await;
        tokio::time::sleep(CLOSE_DELAY).await;
    };
    tokio::pin!(closing);
    let mut closes = false;
    let mut check = tokio::time::interval(IDLE_CHECK_INTERVAL);
    let cut = loop {
        tokio::select! {
            biased;
            // First, so that what has arrived is read before it is decided whether the connection closes.
            outcome = &mut served => {
                if let Err(error) = &outcome {
                    log::debug!(error:% = error; "client connection ended with an error");
                }
                break outcome.is_err();
            }
            () = shared.aborted.notified() => break true,
            () = activity.cut.notified() => break true,
            () = closing.as_mut(), if !closes => {
                closes = true;
                // A head that has begun is read to its end or its time limit, and the answer closes the connection.
                if !activity.requests.reading.get() {
                    std::pin::Pin::new(&mut served).graceful_shutdown();
                }
            }
            _ = check.tick() => {
                let mut timeout = shared
                    .table()
                    .map_or(DEFAULT_IDLE_TIMEOUT, |table| table.limits().idle_timeout);
                if waiting::is_short(&shared) {
                    timeout = timeout.min(SHORT_IDLE_TIMEOUT);
                }
                let idle = activity.requests.active.get() == 0
                    && !activity.requests.reading.get()
                    && shared.now().since(activity.idle_since.get()) > timeout;
                if idle {
                    std::pin::Pin::new(&mut served).graceful_shutdown();
                }
            }
        }
    };
    served.into_parts().io.into_inner().close(cut);
}

async fn serve_request(
    shared: Rc<Shared>,
    activity: Rc<Connection>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let requests = &activity.requests;
    let earlier = requests.count.replace(requests.count.get() + 1);
    requests.reading.set(false);
    let active = ActiveRequest::new(&shared, activity.accepted, earlier);
    requests.active.set(requests.active.get() + 1);
    let count = RequestCount(Rc::clone(&activity), Rc::clone(&shared));
    let is_old = request.version() < Version::HTTP_11;
    let mut response = exchange::handle(&shared, request, active, count).await;
    activity.unframed.set(is_old && response.body().is_chunked());
    response.body_mut().attach(&activity.unsent, &activity.cut);
    if shared.shutdown().is_some() {
        let close = hyper::header::HeaderValue::from_static("close");
        response.headers_mut().insert(hyper::header::CONNECTION, close);
    }
    response
}

/// Counts a request as active on its connection until it is dropped.
pub(super) struct RequestCount(Rc<Connection>, Rc<Shared>);

impl Drop for RequestCount {
    fn drop(&mut self) {
        let active = &self.0.requests.active;
        active.set(active.get().saturating_sub(1));
        self.0.idle_since.set(self.1.now());
    }
}

/// Answers readiness checks: 200 if the instance is ready, else 503.
pub(super) async fn serve_readiness(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "connection for a readiness check not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        set_tcp_options(&stream);
        let state = Rc::clone(&shared);
        let service = service_fn(move |_request: Request<Incoming>| {
            let ready = state.is_ready();
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
                .timer(TokioTimer::new())
                .header_read_timeout(DEFAULT_IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                log::debug!(error:% = error; "question whether the instance is ready not answered");
            }
        });
    }
}

/// Waits for the signal to shut down, and then until the process may end: no more requests arrive and all are
/// answered, or the grace period is almost over.
pub(super) async fn wait_until_finished(shared: &Shared) {
    let shutdown = shared.wait_shutdown().await;
    shared.wait_finished(shutdown).await;
    if shared.open() > 0 {
        log_cut_requests(shared);
        shared.aborted.notify_waiters();
        let aborted = async {
            while shared.connections() > 0 {
                tokio::task::yield_now().await;
            }
        };
        let _late = tokio::time::timeout(ABORT_TIMEOUT, aborted).await;
    }
}

/// Logs the requests that end with the process, each with its age.
fn log_cut_requests(shared: &Shared) {
    let now = shared.now();
    let active = shared.active();
    log::warn!(
        requests = active.len(), connections = shared.connections();
        "requests are cut off: the grace is over"
    );
    metrics::counter!("carobhaven_shutdown_cut_total").increment(active.len() as u64);
    for request in active.values() {
        log::warn!(
            request:% = String::from_utf8_lossy(&request.id),
            age_ms = now.since(request.arrival).as_millis() as u64,
            signal_ms = shared.shutdown().map_or(0, |shutdown| now.since(shutdown.signal()).as_millis() as u64),
            connection_ms = now.since(request.connected).as_millis() as u64; "request cut off by the shutdown"
        );
    }
}
