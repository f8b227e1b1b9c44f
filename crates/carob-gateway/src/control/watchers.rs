//! Which instances watch the store.
//!
//! Calls to the store are priced and limited, and every change would complete the watch of every instance.
//! Only a few instances therefore watch. They pass changes on in datagrams, by which the others also notice
//! when they are behind and have to fetch what they missed. An instance watches if fewer than
//! [`MIN_WATCHERS`] of the instances ranked before it report that they watch.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use tokio::time::Instant;

/// Number of instances that watch. If one fails or its datagrams are lost, the other still passes changes on.
/// If both fail, others start to watch within [`WATCHER_TTL`].
pub(super) const MIN_WATCHERS: usize = 2;

/// How long an instance counts as watching after its last report; instances report once a second.
const WATCHER_TTL: Duration = Duration::from_millis(1_600);

/// How long an instance is relied on to pass changes on after its last report. A network partition is noticed
/// after this time, which has to be less than the 1.5 s by which upstreams announce that they leave.
const RELAY_TTL: Duration = Duration::from_millis(1_200);

/// Instances that report that they watch the store.
#[derive(Debug, Default)]
pub(super) struct Watchers {
    /// Time of the last report by the instance's address.
    last_seen: HashMap<SocketAddr, Instant>,
}

impl Watchers {
    /// Records whether `peer` reports that it watches.
    pub(super) fn record(&mut self, peer: SocketAddr, watching: bool, now: Instant) {
        if watching {
            self.last_seen.insert(peer, now);
        } else {
            self.last_seen.remove(&peer);
        }
    }

    /// Whether any other instance watches and passes changes on.
    pub(super) fn any_active(&self, now: Instant) -> bool {
        self.last_seen.values().any(|seen| now - *seen < RELAY_TTL)
    }

    /// Whether the instance at `own` has to watch.
    pub(super) fn must_watch(&mut self, own: SocketAddr, now: Instant) -> bool {
        self.last_seen.retain(|_, seen| now - *seen < WATCHER_TTL);
        let rank = rank(own);
        self.last_seen
            .keys()
            .filter(|peer| ranks_before(**peer, rank))
            .count()
            < MIN_WATCHERS
    }
}

fn ranks_before(peer: SocketAddr, own: u64) -> bool {
    rank(peer) < own
}

/// Rank of an instance. It is a hash of the address, so that the watching instances are spread over failure
/// domains, within which addresses are close to each other.
fn rank(address: SocketAddr) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    address.hash(&mut hasher);
    hasher.finish()
}
