//! Which instances watch the store.
//!
//! Calls to the store are priced and limited, and every change would wake every instance's watch. A few instances
//! watch; the others hear from them in datagrams that there is news, and ask one of them for it. An instance
//! watches itself when fewer than [`ENOUGH`] of those that go before it say that they do.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use tokio::time::Instant;

/// Instances that watch: one may fail, or its news may be lost, and the other still tells. When both are gone, the
/// others watch within [`FRESH`].
pub(super) const ENOUGH: usize = 2;

/// How long an instance is taken to watch after it said so; instances say it once a second.
const FRESH: Duration = Duration::from_millis(1_600);

/// How long after its last word an instance is taken to pass news on; a cut shows after this, and upstreams say
/// 1.5 s before they leave that they do.
const HEARD: Duration = Duration::from_millis(1_200);

/// Instances that said that they watch.
#[derive(Debug, Default)]
pub(super) struct Watchers {
    told: HashMap<SocketAddr, Instant>,
}

impl Watchers {
    /// Takes in whether `peer` watches.
    pub(super) fn told(&mut self, peer: SocketAddr, watching: bool, now: Instant) {
        if watching {
            self.told.insert(peer, now);
        } else {
            self.told.remove(&peer);
        }
    }

    /// Whether any other instance watches, so that its news comes.
    pub(super) fn any(&self, now: Instant) -> bool {
        self.told.values().any(|told| now - *told < HEARD)
    }

    /// Whether the instance at `own` has to watch.
    pub(super) fn needed(&mut self, own: SocketAddr, now: Instant) -> bool {
        self.told.retain(|_, told| now - *told < FRESH);
        let rank = rank(own);
        self.told.keys().filter(|peer| rank_before(**peer, rank)).count() < ENOUGH
    }
}

fn rank_before(peer: SocketAddr, own: u64) -> bool {
    rank(peer) < own
}

/// Spreads the duty over failure domains, whose addresses are close to each other.
fn rank(address: SocketAddr) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    address.hash(&mut hasher);
    hasher.finish()
}
