//! Exchanges the store's content with peers: serves it to instances that cannot get it from the store, and
//! fetches it when this instance cannot.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::state::{Control, PREFIXES};
use crate::{
    peer::{Content, ContentRequest, Item as ContentItem, MAX_FRAME_LENGTH},
    socket::set_tcp_options,
    update::{RelayedConnection, StoreUpdate, Update},
};

/// How long this instance may be behind its peers before it fetches what it missed. Changes reach all
/// instances within milliseconds, so one that is behind for longer has lost a datagram, or its own watch.
const MAX_LAG: Duration = Duration::from_millis(150);

/// Time limit for the whole exchange with a peer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause between rounds of requests to the seeds.
const SEED_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Why an exchange with a peer failed.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("message cannot be read: {0}")]
    Decode(#[from] prost::DecodeError),
    #[error("connection ended early")]
    Ended,
    #[error("timed out")]
    Timeout,
}

/// Listens on `address`.
pub(super) fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    super::admin::bind(address)
}

/// Serves content requests of other instances.
pub(super) async fn serve(control: Rc<Control>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let control = Rc::clone(&control);
                tokio::task::spawn_local(async move {
                    if let Err(error) = with_timeout(serve_content(&control, stream)).await {
                        log::debug!(peer:% = peer, error:% = error; "peer not answered");
                    }
                });
            }
            Err(error) => {
                log::warn!(error:% = error; "peer's connection not accepted");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

/// Handles a peer's report that it knows the store's content up to `revision`: applies the changes that it
/// passed on, and fetches content if this instance stays behind.
pub(super) fn handle_peer_report(
    control: &Rc<Control>,
    peer: SocketAddr,
    revision: u64,
    update: Option<StoreUpdate>,
    watching: bool,
) {
    if let Some(update) = update
        && update.base <= control.revision()
        && update.revision > control.revision()
    {
        control.apply(update.items, update.revision);
    }
    if watching && revision <= control.revision() {
        control.record_confirmation();
    }
    let behind = control.record_peer_revision(revision);
    if behind < MAX_LAG || revision <= control.revision() {
        return;
    }
    if control.watching.get() {
        fetch_from_peer(control, peer);
    } else {
        control.ahead_peer.set(Some(peer));
        control.lagging.notify_one();
    }
}

/// Fetches content from a peer that is ahead, unless a fetch is in progress.
pub(super) fn fetch_from_peer(control: &Rc<Control>, peer: SocketAddr) {
    if control.fetching.replace(true) {
        return;
    }
    let control = Rc::clone(control);
    tokio::task::spawn_local(async move {
        let before = control.revision();
        match with_timeout(fetch_content(&control, peer)).await {
            Ok(()) => log::info!(
                peer:% = peer, before, revision = control.revision(),
                outage_ms = control.outage().as_millis() as u64; "store's content taken from a peer"
            ),
            Err(error) => log::info!(peer:% = peer, error:% = error; "no content from the peer"),
        }
        control.fetching.set(false);
    });
}

/// Fetches content from the seeds until any is known: an unreachable store at the start must not keep the
/// instance from serving.
pub(super) async fn fetch_from_seeds(control: Rc<Control>) {
    while control.revision() == 0 {
        let settings = control.settings();
        for seed in &settings.seeds {
            let peer = SocketAddr::new(*seed, settings.peer_address.port());
            if peer == settings.peer_address || control.revision() > 0 {
                continue;
            }
            match with_timeout(fetch_content(&control, peer)).await {
                Ok(()) => log::info!(peer:% = peer, revision = control.revision(); "seed asked"),
                Err(error) => log::debug!(peer:% = peer, error:% = error; "no content from the seed"),
            }
        }
        tokio::time::sleep(SEED_RETRY_PAUSE).await;
    }
}

async fn with_timeout(exchange: impl Future<Output = Result<(), Error>>) -> Result<(), Error> {
    timeout(EXCHANGE_TIMEOUT, exchange)
        .await
        .map_err(|_elapsed| Error::Timeout)?
}

async fn serve_content(control: &Control, stream: TcpStream) -> Result<(), Error> {
    let mut frames = framed(stream);
    let request = ContentRequest::decode(next_frame(&mut frames).await?)?;
    if let Some(relay) = request.relay {
        let stream = frames.into_inner().into_std()?;
        control.send(Update::Relay(RelayedConnection {
            stream,
            request: relay,
        }));
        return Ok(());
    }
    let (items, keys) = control.content_after(request.after);
    let items = items.into_iter().map(|(key, item)| ContentItem {
        key,
        revision: item.revision,
        value: Some(item.value),
    });
    let content = Content {
        revision: control.revision(),
        items: items.collect(),
        keys,
    };
    frames.send(Bytes::from(content.encode_to_vec())).await?;
    Ok(())
}

async fn fetch_content(control: &Control, peer: SocketAddr) -> Result<(), Error> {
    let mut frames = framed(TcpStream::connect(peer).await?);
    let request = ContentRequest {
        after: control.revision(),
        relay: None,
    };
    frames.send(Bytes::from(request.encode_to_vec())).await?;
    let content = Content::decode(next_frame(&mut frames).await?)?;
    if content.revision < control.revision() {
        return Ok(());
    }
    let present: BTreeSet<String> = content.keys.into_iter().collect();
    for prefix in PREFIXES {
        control.retain(prefix, content.revision, &present);
    }
    control.apply(
        content.items.into_iter().map(Into::into).collect(),
        content.revision,
    );
    Ok(())
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    set_tcp_options(&stream);
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_LENGTH)
        .new_framed(stream)
}

async fn next_frame(frames: &mut Framed<TcpStream, LengthDelimitedCodec>) -> Result<BytesMut, Error> {
    frames.next().await.ok_or(Error::Ended)?.map_err(Error::Io)
}
