//! Gives the store's content to instances that the store turns away, and asks for it when this one is.

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
    peer::{Ask, Content, FRAME, Item as Row},
    socket::watch_over,
    update::News,
};

/// How long a peer must have known more before it is asked: news comes to all within milliseconds, so that an
/// instance which is behind for longer has lost a message, or its own watch.
const BEHIND: Duration = Duration::from_millis(150);

/// Time for a whole exchange with a peer.
const EXCHANGE: Duration = Duration::from_secs(1);

/// Pause between rounds of questions to the seeds.
const SEEDS_PAUSE: Duration = Duration::from_millis(500);

/// Why a peer gave nothing.
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

/// Answers what other instances ask.
pub(super) async fn serve(control: Rc<Control>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let control = Rc::clone(&control);
                tokio::task::spawn_local(async move {
                    if let Err(error) = within(answer(&control, stream)).await {
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

/// Takes in that a peer knows the store's content up to `revision`, and asks it if this instance stays behind.
pub(super) fn peer_knows(
    control: &Rc<Control>,
    peer: SocketAddr,
    revision: u64,
    news: Option<News>,
    watching: bool,
) {
    if let Some(news) = news
        && news.before <= control.revision()
        && news.revision > control.revision()
    {
        control.apply(news.items, news.revision);
    }
    if watching && revision <= control.revision() {
        control.confirm();
    }
    let behind = control.behind(revision);
    if behind < BEHIND || revision <= control.revision() {
        return;
    }
    if control.watching.get() {
        ask_peer(control, peer);
    } else {
        control.ahead.set(Some(peer));
        control.lag.notify_one();
    }
}

/// Asks a peer that knows more, unless one is being asked.
pub(super) fn ask_peer(control: &Rc<Control>, peer: SocketAddr) {
    if control.asking.replace(true) {
        return;
    }
    let control = Rc::clone(control);
    tokio::task::spawn_local(async move {
        let before = control.revision();
        match within(ask(&control, peer)).await {
            Ok(()) => log::info!(
                peer:% = peer, before, revision = control.revision(),
                outage_ms = control.outage().as_millis() as u64; "store's content taken from a peer"
            ),
            Err(error) => log::info!(peer:% = peer, error:% = error; "peer could not be asked"),
        }
        control.asking.set(false);
    });
}

/// Asks the seeds until anything is known: a store that is away at the start must not keep the instance from serving.
pub(super) async fn ask_seeds(control: Rc<Control>) {
    while control.revision() == 0 {
        let settings = control.settings();
        for seed in &settings.seeds {
            let peer = SocketAddr::new(*seed, settings.peer_address.port());
            if peer == settings.peer_address || control.revision() > 0 {
                continue;
            }
            match within(ask(&control, peer)).await {
                Ok(()) => log::info!(peer:% = peer, revision = control.revision(); "seed asked"),
                Err(error) => log::debug!(peer:% = peer, error:% = error; "seed could not be asked"),
            }
        }
        tokio::time::sleep(SEEDS_PAUSE).await;
    }
}

async fn within(exchange: impl Future<Output = Result<(), Error>>) -> Result<(), Error> {
    timeout(EXCHANGE, exchange)
        .await
        .map_err(|_elapsed| Error::Timeout)?
}

async fn answer(control: &Control, stream: TcpStream) -> Result<(), Error> {
    let mut frames = framed(stream);
    let ask = Ask::decode(next(&mut frames).await?)?;
    let (items, keys) = control.content(ask.after);
    let items = items.into_iter().map(|(key, known)| Row {
        key,
        revision: known.revision,
        value: Some(known.value),
    });
    let content = Content {
        revision: control.revision(),
        items: items.collect(),
        keys,
    };
    frames.send(Bytes::from(content.encode_to_vec())).await?;
    Ok(())
}

async fn ask(control: &Control, peer: SocketAddr) -> Result<(), Error> {
    let mut frames = framed(TcpStream::connect(peer).await?);
    let ask = Ask {
        after: control.revision(),
    };
    frames.send(Bytes::from(ask.encode_to_vec())).await?;
    let content = Content::decode(next(&mut frames).await?)?;
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
    watch_over(&stream);
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME)
        .new_framed(stream)
}

async fn next(frames: &mut Framed<TcpStream, LengthDelimitedCodec>) -> Result<BytesMut, Error> {
    frames.next().await.ok_or(Error::Ended)?.map_err(Error::Io)
}
