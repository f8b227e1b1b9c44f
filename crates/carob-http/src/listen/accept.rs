//! Accepts connections and keeps count of them.

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
    connection::{self, send_refusal, until},
    request::Context,
    socket::Open,
};
use crate::pool::Pool;

/// Pause after an error of the system, such as too many open files.
const ERROR_PAUSE: Duration = Duration::from_millis(50);
/// Time for a refused caller to take the refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Refusals of connections that may be on their way at the same time.
const MAX_REFUSALS: usize = 64;
/// When a refused connection is worth another try.
const BUSY_RETRY: Duration = Duration::from_secs(1);

/// What every connection needs.
pub(super) struct Shared {
    pub(super) options: Options,
    pub(super) pool: Pool,
    pub(super) handler: Handler,
    pub(super) tls: Option<TlsAcceptor>,
}

/// Serves until told to drain, then until every connection has ended.
///
/// Returns the number of connections that were cut off.
pub(super) async fn run(sockets: TcpListener, shared: Shared, phase: watch::Receiver<Phase>) -> usize {
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
                open: Open::default(),
                phase: phase.clone(),
            };
            open.spawn(one(stream, shared.tls.clone(), context));
        } else if refused.len() < MAX_REFUSALS && shared.tls.is_none() {
            refused.spawn(refuse(stream));
        }
    };
    let mut draining = phase.clone();
    while let Some((stream, peer)) = accept(&sockets, &mut draining).await {
        serve(&mut open, &mut refused, stream, peer);
    }
    // What the system has accepted already is served, so that no caller is reset.
    while let Ok(Ok((stream, peer))) = timeout(Duration::ZERO, sockets.accept()).await {
        serve(&mut open, &mut refused, stream, peer);
    }
    drop(sockets);
    finish(open, phase).await
}

/// The next connection, or `None` once the listener drains.
async fn accept(
    sockets: &TcpListener,
    phase: &mut watch::Receiver<Phase>,
) -> Option<(TcpStream, SocketAddr)> {
    let mut draining = Box::pin(until(phase, Phase::Draining));
    loop {
        let accepted = std::future::poll_fn(|cx| {
            if draining.as_mut().poll(cx).is_ready() {
                return std::task::Poll::Ready(None);
            }
            sockets.poll_accept(cx).map(Some)
        });
        match accepted.await? {
            Ok(pair) => return Some(pair),
            Err(error) => {
                log::warn!("http: cannot accept a connection: {error}");
                tokio::time::sleep(ERROR_PAUSE).await;
            }
        }
    }
}

/// Waits for every connection, or until the listener is closed; returns how many were still open.
async fn finish(mut open: JoinSet<()>, mut phase: watch::Receiver<Phase>) -> usize {
    let mut closed = Box::pin(until(&mut phase, Phase::Closed));
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

async fn one(stream: TcpStream, tls: Option<TlsAcceptor>, context: Context) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("http: a connection ended before it began: {error}");
        return;
    }
    let Some(tls) = tls else {
        return connection::run(stream, context).await;
    };
    match timeout(context.options.head_timeout, tls.accept(stream)).await {
        Ok(Ok(stream)) => connection::run(stream, context).await,
        Ok(Err(error)) => log::debug!("http: TLS with {} failed: {error}", context.peer),
        Err(_elapsed) => log::debug!("http: TLS with {} took too long", context.peer),
    }
}

/// Refuses a connection over the limit, without reading from it.
async fn refuse(mut stream: TcpStream) {
    let problem = Problem::not_run(Code::Overloaded, "too many connections").with_retry_after(BUSY_RETRY);
    if let Ok(Err(error)) = timeout(REFUSAL_TIMEOUT, send_refusal(&mut stream, &problem)).await {
        log::debug!("http: a refusal was not taken: {error}");
    }
}
