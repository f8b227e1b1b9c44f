//! Tells other instances what this one runs, and hears it from them.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use prost::Message;
use tokio::net::UdpSocket;

use super::shared::Shared;
use crate::{
    peer::{Announce, Load},
    update::Report,
};

/// Least time between two messages, for each [`FEW`] instances: the bytes of all together stay proportional to
/// the number of instances.
const LEAST: Duration = Duration::from_millis(100);

/// Instances that tell each other their load every [`LEAST`].
const FEW: usize = 10;

/// Most time between two messages; others forget loads that they have not heard of for three of these.
const MOST: Duration = Duration::from_secs(1);

/// The largest datagram: an instance's requests at a thousand upstreams are more than it can have.
const DATAGRAM: usize = 32 << 10;

/// Sends this instance's load when it has changed, and at regular times.
pub(super) async fn send(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    loop {
        let peers = shared.peers();
        let least = LEAST.mul_f64((peers.len() as f64 / FEW as f64).max(1.0)).min(MOST);
        tokio::time::sleep(least).await;
        // A timeout is the usual case: nothing has changed.
        let _changed = tokio::time::timeout(MOST - least, shared.changed.notified()).await;
        let loads = shared.fleet().loads().into_iter().map(Load::from).collect();
        let message = Announce {
            revision: shared.revision(),
            current: shared.current(),
            loads,
        };
        let bytes = message.encode_to_vec();
        for peer in peers {
            if let Err(error) = socket.send_to(&bytes, peer).await {
                log::debug!(peer:% = peer, error:% = error; "load not told");
            }
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
    let message = match Announce::decode(bytes) {
        Ok(message) => message,
        Err(error) => {
            log::warn!(peer:% = peer, error:% = error; "datagram cannot be read");
            return;
        }
    };
    let loads = message.loads.into_iter().map(Into::into).collect();
    let now = shared.now();
    shared.fleet_mut().told(peer, loads, now);
    shared.grant();
    if message.revision != shared.revision() || !shared.current() {
        shared.report(Report::Peer {
            address: peer,
            revision: message.revision,
            current: message.current,
        });
    }
}
