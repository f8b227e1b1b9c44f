//! Accepts connections and limits their number.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use carob_wire::{Code, Problem};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
    time::timeout,
};
use tokio_rustls::TlsAcceptor;

use super::{
    Handler, Options, Phase,
    connection::{self, send_refusal, wait_for_phase},
    request::Context,
    socket::RequestCounter,
};
use crate::pool::Pool;

/// Delay after a failure to accept, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum time to send a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of refusals that are sent at the same time; further connections are closed without one.
const MAX_REFUSALS: usize = 64;
/// `Retry-After` of refused connections.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What all connections share.
pub(super) struct Shared {
    pub(super) options: Options,
    pub(super) pool: Pool,
    pub(super) handler: Handler,
    pub(super) tls: Option<TlsAcceptor>,
}

/// Accepts and serves connections until the listener drains, then waits until every connection has ended.
///
/// Returns the number of aborted connections.
pub(super) async fn run(socket: TcpListener, shared: Shared, phase: watch::Receiver<Phase>) -> usize {
    let mut open = JoinSet::new();
    let mut refused = JoinSet::new();
    let options = Arc::new(shared.options.clone());
    let serve = |open: &mut JoinSet<()>, refused: &mut JoinSet<()>, stream, peer| {
        while open.try_join_next().is_some() {}
        while refused.try_join_next().is_some() {}
        if open.len() < options.max_connections {
            let context = Context {
                options: Arc::clone(&options),
                pool: shared.pool.clone(),
                handler: Arc::clone(&shared.handler),
                peer,
                counter: RequestCounter::default(),
                phase: phase.clone(),
            };
            open.spawn(serve_connection(stream, shared.tls.clone(), context));
        } else if refused.len() < MAX_REFUSALS && shared.tls.is_none() {
            refused.spawn(refuse(stream));
        }
    };
    let mut draining = phase.clone();
    while let Some((stream, peer)) = accept(&socket, &mut draining).await {
        serve(&mut open, &mut refused, stream, peer);
    }
    // Connections that the operating system has already established are served, so that no caller gets a
    // reset.
    while let Ok(Ok((stream, peer))) = timeout(Duration::ZERO, socket.accept()).await {
        serve(&mut open, &mut refused, stream, peer);
    }
    drop(socket);
    wait_for_connections(open, phase).await
}

/// Accepts the next connection; `None` once the listener drains.
async fn accept(socket: &TcpListener, phase: &mut watch::Receiver<Phase>) -> Option<(TcpStream, SocketAddr)> {
    let mut draining = Box::pin(wait_for_phase(phase, Phase::Draining));
    loop {
        let accepted = std::future::poll_fn(|cx| {
            if draining.as_mut().poll(cx).is_ready() {
                return std::task::Poll::Ready(None);
            }
            socket.poll_accept(cx).map(Some)
        });
        match accepted.await? {
            Ok(pair) => return Some(pair),
            Err(error) => {
                log::warn!("http: cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Waits until every connection has ended or the listener is closed. Returns the number of connections that
/// are still open.
async fn wait_for_connections(mut open: JoinSet<()>, mut phase: watch::Receiver<Phase>) -> usize {
    let mut closed = Box::pin(wait_for_phase(&mut phase, Phase::Closed));
    std::future::poll_fn(|cx| {
        if closed.as_mut().poll(cx).is_ready() {
            return std::task::Poll::Ready(());
        }
        while let Some(_ended) = std::task::ready!(open.poll_join_next(cx)) {}
        std::task::Poll::Ready(())
    })
    .await;
    while open.try_join_next().is_some() {}
    open.len()
}

async fn serve_connection(stream: TcpStream, tls: Option<TlsAcceptor>, context: Context) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("http: cannot set options of a connection: {error}");
        return;
    }
    let Some(tls) = tls else {
        return connection::run(stream, context).await;
    };
    match timeout(context.options.head_timeout, tls.accept(stream)).await {
        Ok(Ok(stream)) => connection::run(stream, context).await,
        Ok(Err(error)) => log::debug!("http: TLS handshake with {} failed: {error}", context.peer),
        Err(_elapsed) => log::debug!("http: TLS handshake with {} timed out", context.peer),
    }
}

/// Refuses a connection over the limit, without reading a request from it.
async fn refuse(mut stream: TcpStream) {
    let problem = Problem::not_run(Code::Overloaded, "too many connections").with_retry_after(RETRY_AFTER);
    if let Ok(Err(error)) = timeout(REFUSAL_TIMEOUT, send_refusal(&mut stream, &problem)).await {
        log::debug!("http: refusal not sent: {error}");
    }
}
