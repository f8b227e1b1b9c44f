//! Exchanges the store's content with peers: serves it to instances that cannot get it from the store, and
//! fetches it when this instance cannot.

use std::{
    collections::{BTreeSet, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use carob_platform::{config, store::Item as StoreItem};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::{
    net::{TcpListener, TcpStream},
    time::{Instant, timeout},
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use xxhash_rust::xxh3::Xxh3;

use super::{
    changes::Way,
    state::{Control, PREFIXES, UNCHANGED},
};
use crate::{
    delta,
    era::Position,
    peer::{Content, ContentRequest, Item as ContentItem, MAX_FRAME_LENGTH, Signed},
    socket::set_tcp_options,
    update::{PeerPosition, RelayedConnection, StoreUpdate, Update},
};

/// How long this instance may be behind its peers before it fetches what it missed. Changes reach all
/// instances within milliseconds, so one that is behind for longer has lost a datagram, or its own watch.
const MAX_LAG: Duration = Duration::from_millis(150);

/// Time limit for the whole exchange with a peer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of peers that are served content at the same time. Others ask again, and then other instances have it as well.
const MAX_SERVED: usize = 6;

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
    #[error("{MAX_SERVED} others are served")]
    Busy,
    #[error("expected content that is not older than the known one, found {0:?}")]
    Older(PeerPosition),
    #[error("expected content with evacuated failure domains, found that of a build that knows none")]
    NoEvacuations,
    #[error("expected the value of {0}, which is not known any more")]
    NotHeld(String),
    #[error("{0}")]
    Delta(#[from] delta::Error),
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

/// Handles a peer's report that it knows the store's content up to `reached`: applies the changes that it
/// passed on, and fetches content if this instance stays behind.
///
/// Peers that name no era, or an earlier one, are not relied on, unless this instance knows of no era either.
pub(super) fn handle_peer_report(
    control: &Rc<Control>,
    peer: SocketAddr,
    reached: PeerPosition,
    update: Option<StoreUpdate>,
    watching: bool,
) {
    let own = control.position();
    let reached = reached.known(own.era).filter(|reached| reached.era >= own.era);
    control.record_watcher(peer, watching && reached.is_some());
    let Some(reached) = reached else {
        return;
    };
    // Some of the latest changes may be later than the sender's position.
    let is_later = |update: &StoreUpdate| update.base == update.revision || update.revision > own.revision;
    if let Some(update) = update.filter(|update| update.era == own.era && is_later(update)) {
        apply_update(control, peer, update);
    }
    let own = control.position();
    if watching && reached <= own {
        control.record_confirmation();
    }
    if reached.era > own.era {
        if !control.see_peer_era(peer, reached.era) {
            return;
        }
        control.ahead_peer.set(Some(peer));
    }
    let behind = control.record_peer_position(reached);
    if reached <= own {
        return;
    }
    if behind >= MAX_LAG {
        fetch_missed(control, peer);
    } else if behind.is_zero()
        && (control.is_turned_away() || (control.must_watch() && !control.is_answering()))
    {
        // The next report may only come a second later. While the store answers, that is awaited: each read is charged.
        let control = Rc::clone(control);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(MAX_LAG).await;
            if control.is_behind() {
                fetch_missed(&control, peer);
            }
        });
    }
}

/// Applies changes that a peer has passed on. Of those that are not all since the known position, each key counts by itself.
fn apply_update(control: &Control, peer: SocketAddr, update: StoreUpdate) {
    let own = control.position();
    let StoreUpdate {
        era,
        base,
        revision,
        items,
    } = update;
    let decoded = delta::decode(items, |key| control.known_values(key));
    if let Some(error) = &decoded.error {
        // What is missing is fetched.
        metrics::counter!("carobhaven_changes_total", "outcome" => "difference").increment(1);
        log::info!(peer:% = peer, error:% = error; "changes not taken from the message");
    }
    if base > own.revision {
        metrics::counter!("carobhaven_changes_total", "outcome" => "gap").increment(1);
        log::debug!(
            peer:% = peer, base, revision = own.revision, changes = decoded.items.len();
            "earlier changes than those in the message are missing"
        );
    }
    if base <= own.revision && revision > own.revision && decoded.error.is_none() {
        return control.apply_changes(decoded.items, Position::new(era, revision), Way::Message);
    }
    let is_later = |item: &StoreItem| item.revision > own.revision;
    let later = decoded.items.into_iter().filter(is_later).collect();
    control.apply(later, Position::new(era, UNCHANGED), Way::Message);
}

/// Fetches what this instance has missed and `peer` has.
fn fetch_missed(control: &Rc<Control>, peer: SocketAddr) {
    if control.watching.get() {
        fetch_from_peer(control, peer);
    } else {
        control.ahead_peer.set(Some(peer));
        control.lagging.notify_one();
    }
}

/// Fetches content from a peer that is ahead, unless a fetch is in progress.
pub(super) fn fetch_from_peer(control: &Rc<Control>, peer: SocketAddr) {
    let control = Rc::clone(control);
    tokio::task::spawn_local(async move {
        fetch_awaiting(&control, peer).await;
    });
}

/// Fetches content from a peer that is ahead and waits for it, unless a fetch is in progress. Returns whether it was sent.
pub(super) async fn fetch_awaiting(control: &Control, peer: SocketAddr) -> bool {
    if control.fetching.replace(true) {
        return false;
    }
    let (before, started) = (control.revision(), Instant::now());
    let outcome = with_timeout(fetch_content(control, peer)).await;
    let took_ms = started.elapsed().as_millis() as u64;
    let is_sent = outcome.is_ok();
    match outcome {
        Ok(bytes) => {
            let Position { era, revision } = control.position();
            log::info!(
                peer:% = peer, before, era, revision, bytes, took_ms,
                outage_ms = control.outage().as_millis() as u64; "store's content taken from a peer"
            );
        }
        Err(error) => log::info!(peer:% = peer, error:% = error, before, took_ms; "no content from the peer"),
    }
    control.fetching.set(false);
    is_sent
}

/// Fetches content from the seeds until any is known: an unreachable store at the start must not keep the
/// instance from serving.
pub(super) async fn fetch_from_seeds(control: Rc<Control>) {
    while control.position() == Position::START {
        let settings = control.settings();
        for seed in &settings.seeds {
            let peer = SocketAddr::new(*seed, settings.peer_address.port());
            if peer == settings.peer_address || control.position() > Position::START {
                continue;
            }
            match with_timeout(fetch_content(&control, peer)).await {
                Ok(_bytes) => log::info!(peer:% = peer, revision = control.revision(); "seed asked"),
                Err(error) => log::debug!(peer:% = peer, error:% = error; "no content from the seed"),
            }
        }
        tokio::time::sleep(SEED_RETRY_PAUSE).await;
    }
}

async fn with_timeout<T>(exchange: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
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
    let served = Rc::clone(&control.served);
    if Rc::strong_count(&served) > MAX_SERVED + 1 {
        return Err(Error::Busy);
    }
    let Position { era, revision } = control.position();
    let after = Position::new(request.era.unwrap_or(era), request.after);
    let held: HashSet<u64> = request.held.into_iter().collect();
    let (items, keys) = control.content_after(after);
    let items = items.into_iter().map(|(key, item)| {
        let is_held = held.contains(&item_hash(&key, &item.value));
        let signed = request.signed.iter().find(|signed| signed.key == key);
        let item = ContentItem {
            revision: item.position.revision,
            value: (!is_held).then_some(item.value),
            key,
            is_held,
            ..ContentItem::default()
        };
        match signed {
            Some(signed) => delta::encode_signed(item, &signed.signature, signed.hash),
            None => item,
        }
    });
    let content = Content {
        revision,
        items: items.collect(),
        keys,
        era: Some(era),
        keeps_evacuations: !control.lacks_evacuations.get(),
    };
    frames.send(Bytes::from(content.encode_to_vec())).await?;
    // The peer closes the connection once it has all of it.
    let _closed = frames.next().await;
    drop(served);
    Ok(())
}

/// Fetches content from a peer. Returns the size of its answer in bytes.
async fn fetch_content(control: &Control, peer: SocketAddr) -> Result<usize, Error> {
    let mut frames = framed(TcpStream::connect(peer).await?);
    let own = control.position();
    let held = if control.pending_era().is_some() {
        let (items, _) = control.content_after(Position::START);
        items
            .iter()
            .map(|(key, item)| item_hash(key, &item.value))
            .collect()
    } else {
        Vec::new()
    };
    let config = control.large_config();
    let request = ContentRequest {
        after: own.revision,
        relay: None,
        era: Some(own.era),
        held,
        signed: config.iter().map(sign).collect(),
    };
    frames.send(Bytes::from(request.encode_to_vec())).await?;
    // Decoded from a slice, as values that are kept would each keep the whole frame.
    let frame = next_frame(&mut frames).await?;
    let bytes = frame.len();
    let content = Content::decode(&frame[..])?;
    drop(frame);
    let own = control.position();
    let reached = PeerPosition {
        era: content.era,
        revision: content.revision,
    };
    let Some(reached) = reached.known(own.era).filter(|reached| *reached >= own) else {
        return Err(Error::Older(reached));
    };
    if !content.keeps_evacuations {
        // Old content is better than none, but does not replace what is known of evacuations.
        if own > Position::START {
            return Err(Error::NoEvacuations);
        }
        control.lacks_evacuations.set(true);
    }
    let items = content
        .items
        .into_iter()
        .map(|item| fill_in(control, item, config.as_ref()));
    let items = items.collect::<Result<Vec<_>, _>>()?;
    control.follow_era(reached.era);
    let present: BTreeSet<String> = content.keys.into_iter().collect();
    control.apply(items, reached, Way::Peer);
    for prefix in PREFIXES {
        control.retain(prefix, reached, &present);
    }
    control.send_peers();
    Ok(bytes)
}

/// What another instance makes a patch from that leads from `config`, the large configuration here, to its own.
fn sign(config: &Bytes) -> Signed {
    Signed {
        key: config::KEY.to_owned(),
        signature: delta::signature(config),
        hash: delta::hash(config),
    }
}

/// Adds the value that the sender has left out, since this instance has it, or has `signed` the one before.
fn fill_in(control: &Control, mut item: ContentItem, signed: Option<&Bytes>) -> Result<StoreItem, Error> {
    if item.is_held {
        item.value = control.value(&item.key);
        if item.value.is_none() {
            return Err(Error::NotHeld(item.key));
        }
    }
    Ok(delta::decode_item(item, &signed.into_iter().cloned().collect())?)
}

/// Identifies an item's key and value.
fn item_hash(key: &str, value: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(value);
    hasher.digest()
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
