//! Tells other instances what this one runs, and hears it from them.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use carob_dispatch::fleet::{MessageStamp, PeerLoad};
use prost::Message;
use tokio::{net::UdpSocket, time::Instant};

use super::shared::Shared;
use crate::{
    peer::{Announcement, Item, Load},
    update::{Report, StoreUpdate},
};

/// Least time between two messages. Placements of other instances within the time that a message takes cannot be
/// seen anyway, and that is up to 12 ms between regions.
const LEAST: Duration = Duration::from_millis(15);

/// Time between two messages that hold everything; others forget loads that they have not heard of for three of
/// these.
const WHOLE: Duration = Duration::from_secs(1);

/// The largest datagram: an instance's requests at a thousand upstreams are more than it can have.
const DATAGRAM: usize = 32 << 10;

/// Sends this instance's load: what changed at once, everything at regular times.
pub(super) async fn send(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let life = rand::random();
    let mut sent: HashMap<u64, PeerLoad> = HashMap::new();
    let mut number = 0;
    let mut due = Instant::now();
    let mut told = (false, 0);
    loop {
        let watching = shared.watching();
        // Those that rest learn from those that watch that there is more to know.
        let word = (watching, if watching { shared.revision() } else { 0 });
        let news = shared.take_news();
        let whole = Instant::now() >= due;
        let loads: HashMap<u64, PeerLoad> = shared
            .fleet()
            .local_loads()
            .into_iter()
            .map(|load| (load.upstream_hash, load))
            .collect();
        let changed = if whole {
            loads.values().copied().collect()
        } else {
            changes(&sent, &loads)
        };
        if whole || !changed.is_empty() || news.is_some() || word != told {
            number += 1;
            let message = Announcement {
                boot_id: life,
                sequence: number,
                revision: news.as_ref().map_or(shared.revision(), |news| news.revision),
                base: news.as_ref().map_or(0, |news| news.base),
                watching,
                complete: whole,
                loads: changed.into_iter().map(Load::from).collect(),
                updates: news.map_or_else(Vec::new, |news| news.items.into_iter().map(Item::from).collect()),
            };
            tell(&shared, &socket, &message).await;
            (sent, told) = (loads, word);
        }
        if whole {
            due = Instant::now() + WHOLE;
        }
        tokio::time::sleep(LEAST).await;
        // A timeout is the usual case: nothing has changed.
        let _changed = tokio::time::timeout_at(due, shared.changed.notified()).await;
    }
}

/// Loads that differ from those that were sent, with zeros for those that are over.
fn changes(sent: &HashMap<u64, PeerLoad>, loads: &HashMap<u64, PeerLoad>) -> Vec<PeerLoad> {
    let over = sent
        .keys()
        .filter(|mark| !loads.contains_key(mark))
        .map(|mark| PeerLoad {
            upstream_hash: *mark,
            requests: 0,
            tokens: 0,
            prefill: 0,
        });
    let changed = loads
        .values()
        .filter(|load| sent.get(&load.upstream_hash) != Some(load))
        .copied();
    over.chain(changed).collect()
}

async fn tell(shared: &Shared, socket: &UdpSocket, message: &Announcement) {
    let bytes = message.encode_to_vec();
    for peer in shared.peers() {
        if let Err(error) = socket.send_to(&bytes, peer).await {
            log::debug!(peer:% = peer, error:% = error; "load not told");
        }
    }
}

/// Takes in other instances' loads.
pub(super) async fn receive(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, peer)) => take(&shared, peer, &buffer[..length]),
            Err(error) => {
                log::debug!(error:% = error; "datagram not received");
                tokio::time::sleep(LEAST).await;
            }
        }
    }
}

fn take(shared: &Shared, peer: SocketAddr, bytes: &[u8]) {
    let message = match Announcement::decode(bytes) {
        Ok(message) => message,
        Err(error) => {
            log::warn!(peer:% = peer, error:% = error; "datagram cannot be read");
            return;
        }
    };
    let stamp = MessageStamp {
        boot_id: message.boot_id,
        number: message.sequence,
    };
    let loads = message.loads.into_iter().map(Into::into).collect();
    let now = shared.now();
    shared
        .fleet_mut()
        .apply_peer_loads(peer, stamp, loads, message.complete, now);
    shared.grant();
    let news = (message.base > 0).then(|| StoreUpdate {
        base: message.base,
        revision: message.revision,
        items: message.updates.into_iter().map(Into::into).collect(),
    });
    if message.complete || news.is_some() || message.revision != shared.revision() {
        shared.report(Report::Peer {
            address: peer,
            revision: message.revision,
            update: news,
            watching: message.watching,
        });
    }
}
