//! HTTP client connections with deadlines, for one request each.
//!
//! Connections are not reused. Upstreams close idle connections at any time and may send late responses on
//! them. With a connection per request, late responses to other requests do not arrive where one is awaited, unless
//! a faulty upstream writes them there, which the id in them tells. A request whose connection could not be established
//! is known not to have been sent. A new connection within a region takes a few milliseconds.

use std::{
    net::{IpAddr, SocketAddr},
    pin::pin,
    time::Duration,
};

use bytes::Bytes;
use carob_dispatch::fleet::Exclusion;
use carob_platform::answer;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{Request, Response, body::Body, client::conn::http1};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpSocket, TcpStream},
    task::AbortHandle,
    time::{Instant, timeout_at},
};

use crate::{
    overhead::{CountedStream, MAX_HEAD, Overhead, ReceivedBody},
    relayed::RelayedStream,
    traffic::RelayCount,
};

/// Idle time before the first TCP keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which a connection counts as broken; with one probe a second, an unresponsive
/// remote end is detected within about three seconds.
const KEEPALIVE_PROBES: u32 = 2;

/// A connection is broken if sent data is not acknowledged for this long, which is time for three
/// retransmissions.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of bytes that the kernel holds unsent for a connection; otherwise it holds megabytes for a slow reader. A
/// link of 200 Mbit/s takes a millisecond for half of it, after which more is written.
const MAX_UNSENT: u32 = 64 << 10;

/// Why a request failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// No connection was established, so nothing was sent.
    #[error("no connection: {0}")]
    Connect(String),
    /// The request may not go to the upstream, so nothing was sent.
    #[error("the upstream is not permitted: {}", .0.name())]
    Excluded(Exclusion),
    /// The connection broke after the request may have been sent.
    #[error("connection broke: {0}")]
    Broken(String),
    /// The response has no status of a final answer.
    #[error("expected a status from 200 to 599, found {0}")]
    Status(String),
    /// The response began and did not arrive whole: it is too long, or the deadline passed.
    #[error("response not received whole: {0}")]
    Unfinished(String),
    /// The deadline passed after the request may have been sent.
    #[error("no answer in time")]
    Timeout,
}

/// A connection for one request; dropping it closes it.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: ConnectionTask,
    overhead: Overhead,
}

/// Handle of the task that performs a connection's I/O; dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct ConnectionTask {
    handle: AbortHandle,
    /// The instance that the connection goes through, if it is not direct.
    relay: Option<(SocketAddr, RelayCount)>,
}

impl ConnectionTask {
    /// The instance that the connection goes through; `None` if it is direct.
    pub(crate) fn relay(&self) -> Option<SocketAddr> {
        self.relay.as_ref().map(|(peer, _)| *peer)
    }

    /// A handle that closes the connection.
    pub(crate) fn abort_handle(&self) -> AbortHandle {
        self.handle.clone()
    }

    /// Closes the connection, as dropping this does.
    pub(crate) fn abort(&self) {
        self.handle.abort();
    }
}

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.handle.abort();
    }
}

/// Connects to `address`, from `source` if there is one.
pub(crate) async fn connect(address: SocketAddr, source: Option<IpAddr>) -> std::io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address).await;
    };
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

/// Sets the TCP options by which a remote end that became unreachable is detected, and disables Nagle's
/// algorithm.
pub(crate) fn set_tcp_options(stream: &TcpStream) {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    let outcome = socket
        .set_tcp_keepalive(&keepalive)
        .and_then(|()| socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)))
        .and_then(|()| stream.set_nodelay(true))
        .and_then(|()| socket.set_tcp_notsent_lowat(MAX_UNSENT));
    if let Err(error) = outcome {
        log::debug!(error:% = error; "TCP options could not be set");
    }
}

impl Connection {
    /// Connects to `address` from `source`, by `deadline` at the latest.
    pub(crate) async fn open(
        address: SocketAddr,
        source: Option<IpAddr>,
        deadline: Instant,
    ) -> Result<Self, Error> {
        let stream = timeout_at(deadline, connect(address, source))
            .await
            .map_err(|_elapsed| Error::Connect("timed out".to_owned()))?
            .map_err(|error| Error::Connect(error.to_string()))?;
        set_tcp_options(&stream);
        Self::start(stream, None).await
    }

    /// Uses a connection through the instance at `peer`; `counted` counts it there.
    pub(crate) async fn relayed(
        stream: TcpStream,
        peer: SocketAddr,
        counted: RelayCount,
    ) -> Result<Self, Error> {
        Self::start(RelayedStream::new(stream), Some((peer, counted))).await
    }

    async fn start<S: AsyncRead + AsyncWrite + Unpin + 'static>(
        stream: S,
        relay: Option<(SocketAddr, RelayCount)>,
    ) -> Result<Self, Error> {
        let overhead = Overhead::default();
        let io = TokioIo::new(CountedStream::new(stream, overhead.clone()));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD)
            .handshake(io)
            .await
            .map_err(|error| Error::Connect(error.to_string()))?;
        let task = tokio::task::spawn_local(async move {
            // The request fails with the reason why its connection ended.
            let _ended = connection.await;
        });
        Ok(Self {
            sender,
            task: ConnectionTask {
                handle: task.abort_handle(),
                relay,
            },
            overhead,
        })
    }

    /// The instance that it goes through; `None` if it is direct.
    pub(crate) fn relay(&self) -> Option<SocketAddr> {
        self.task.relay()
    }

    /// Sends the request and waits until `deadline` for the head of the response.
    pub(crate) async fn send(
        mut self,
        request: Request<Bytes>,
        deadline: Instant,
    ) -> Result<(Response<ReceivedBody>, ConnectionTask), Error> {
        let request = request.map(Full::new);
        match timeout_at(deadline, self.sender.try_send_request(request)).await {
            Ok(Ok(response)) => {
                self.overhead.reset();
                let response = response.map(|body| ReceivedBody::new(body, self.overhead));
                Ok((response, self.task))
            }
            Ok(Err(mut error)) => match error.take_message() {
                Some(_unsent) => Err(Error::Connect("closed before the request was sent".to_owned())),
                None => Err(response_error(&error.into_error())),
            },
            Err(_elapsed) => Err(Error::Timeout),
        }
    }
}

/// Why a request that was sent got no response.
fn response_error(error: &hyper::Error) -> Error {
    if error.is_parse_status() {
        return Error::Status("something else".to_owned());
    }
    Error::Broken(describe(error))
}

/// Describes an error with its causes.
pub(crate) fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}

/// Maximum size of a page of the store's items.
pub(crate) const MAX_PAGE_BYTES: usize = 4 << 20;

/// Maximum size of the response to a control call: the store's to one about a lease is short, and an upstream's report names
/// each of its runs in some 50 bytes. An instance may make hundreds of such calls at a time.
pub(crate) const MAX_CONTROL_BYTES: usize = 64 << 10;

/// Connects to the store, sends the request and reads the whole response of at most `limit` bytes, all by `deadline`.
pub(crate) async fn call(
    address: SocketAddr,
    mut request: Request<Bytes>,
    limit: usize,
    deadline: Instant,
) -> Result<Response<Bytes>, Error> {
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(hyper::header::HOST, host);
    }
    let connection = Connection::open(address, None, deadline).await?;
    call_on(connection, request, limit, deadline).await
}

/// Sends the request on `connection` and reads the whole response of at most `limit` bytes, by `deadline`.
pub(crate) async fn call_on(
    connection: Connection,
    request: Request<Bytes>,
    limit: usize,
    deadline: Instant,
) -> Result<Response<Bytes>, Error> {
    let (response, _task) = connection.send(request, deadline).await?;
    let (head, body) = response.into_parts();
    if !answer::is_final_status(head.status.as_u16()) {
        return Err(Error::Status(head.status.as_str().to_owned()));
    }
    // Nothing of an answer that is known to be too long need be read.
    let length = body.size_hint().lower();
    if length > limit as u64 {
        return Err(Error::Unfinished(format!(
            "expected at most {limit} bytes, found {length}"
        )));
    }
    let body = timeout_at(deadline, read_whole(Limited::new(body, limit)))
        .await
        .map_err(|_elapsed| Error::Unfinished("the deadline passed".to_owned()))?
        .map_err(|error| match error.downcast_ref::<LengthLimitError>() {
            Some(_) => Error::Unfinished(format!("expected at most {limit} bytes, found more")),
            None => Error::Broken(describe(&*error)),
        })?;
    Ok(Response::from_parts(head, body))
}

/// Reads a whole body. Its parts are copied, as each of them keeps the buffer that it was read into, however few of its bytes
/// it has.
async fn read_whole<B: Body<Data = Bytes>>(body: B) -> Result<Bytes, B::Error> {
    let mut body = pin!(body);
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        if let Ok(part) = frame?.into_data() {
            bytes.extend_from_slice(&part);
        }
    }
    Ok(bytes.into())
}
