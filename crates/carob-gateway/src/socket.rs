//! Connections with deadlines: one exchange each.
//!
//! A connection carries a single request. Upstreams close idle connections at any time and may send late answers
//! on them; with a connection of its own, a request that was sent is never confused with another's answer, and a
//! connection that does not come about is known not to have carried it. A new connection within a region takes
//! a few milliseconds.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, StatusCode, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::TcpStream,
    task::AbortHandle,
    time::{Instant, timeout_at},
};

/// Silence after which the system asks whether the other end is there.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Unanswered questions after which a connection counts as broken; with one a second, some three seconds in all.
const KEEPALIVE_PROBES: u32 = 2;

/// Sent data that is not acknowledged for this long breaks a connection: three retransmissions.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// No connection came about, so nothing was sent.
    #[error("no connection: {0}")]
    Connect(String),
    /// The connection broke after the request may have left.
    #[error("connection broke: {0}")]
    Broken(String),
    /// The time was over after the request may have left.
    #[error("no answer in time")]
    Timeout,
}

/// A connection that carries one request; dropping it closes it.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Driver,
}

/// Keeps a connection's exchange going; dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct Driver(AbortHandle);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sets what shows that the other end of a connection has gone silent.
pub(crate) fn watch_over(stream: &TcpStream) {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    let set = socket
        .set_tcp_keepalive(&keepalive)
        .and_then(|()| socket.set_tcp_user_timeout(Some(USER_TIMEOUT)))
        .and_then(|()| stream.set_nodelay(true));
    if let Err(error) = set {
        log::debug!(error:% = error; "connection options could not be set");
    }
}

impl Connection {
    /// Connects to `address` until `deadline`.
    pub(crate) async fn open(address: SocketAddr, deadline: Instant) -> Result<Self, Error> {
        let connect = async {
            let stream = TcpStream::connect(address)
                .await
                .map_err(|error| error.to_string())?;
            watch_over(&stream);
            http1::handshake(TokioIo::new(stream))
                .await
                .map_err(|error| error.to_string())
        };
        let (sender, connection) = timeout_at(deadline, connect)
            .await
            .map_err(|_elapsed| Error::Connect("timed out".to_owned()))?
            .map_err(Error::Connect)?;
        let task = tokio::task::spawn_local(async move {
            // The exchange itself sees why its connection ended.
            let _ended = connection.await;
        });
        Ok(Self {
            sender,
            driver: Driver(task.abort_handle()),
        })
    }

    /// Sends a request and waits until `deadline` for the head of its answer.
    pub(crate) async fn send(
        mut self,
        request: Request<Bytes>,
        deadline: Instant,
    ) -> Result<(Response<Incoming>, Driver), Error> {
        let request = request.map(Full::new);
        match timeout_at(deadline, self.sender.try_send_request(request)).await {
            Ok(Ok(response)) => Ok((response, self.driver)),
            Ok(Err(mut error)) => match error.take_message() {
                Some(_unsent) => Err(Error::Connect("closed before the request was sent".to_owned())),
                None => Err(Error::Broken(error.into_error().to_string())),
            },
            Err(_elapsed) => Err(Error::Timeout),
        }
    }
}

/// The most bytes of an answer to a call: a page of the store's items.
const ANSWER: usize = 4 << 20;

/// Makes a whole call: connects, sends and reads the answer until `deadline`.
pub(crate) async fn call(
    address: SocketAddr,
    mut request: Request<Bytes>,
    deadline: Instant,
) -> Result<(StatusCode, Bytes), Error> {
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().insert(hyper::header::HOST, host);
    }
    let connection = Connection::open(address, deadline).await?;
    let (response, _driver) = connection.send(request, deadline).await?;
    let status = response.status();
    let body = timeout_at(deadline, Limited::new(response.into_body(), ANSWER).collect())
        .await
        .map_err(|_elapsed| Error::Timeout)?
        .map_err(|error| Error::Broken(error.to_string()))?;
    Ok((status, body.to_bytes()))
}
