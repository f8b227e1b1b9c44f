//! The requests that other instances run.
//!
//! Instances report their loads as absolute figures, in messages that hold only what changed and from time to
//! time in complete ones. A lost or late message is therefore corrected by a later one.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use carob_base::Time;

use super::{Fleet, UpstreamKey};

/// How long an instance's load counts after its last message.
///
/// Instances report their load at least once a second. One that has not done so for this long has ended or is
/// cut off, and its requests have ended with it.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

carob_base::plain! {
    /// Load that one instance puts on one upstream.
    pub struct PeerLoad {
        /// [`Fleet::upstream_hash`] of the upstream.
        pub upstream_hash: u64,
        /// Number of running requests; zero if there are none any more.
        pub requests: u32,
        /// Tokens that the requests are expected to hold when they end.
        pub tokens: u64,
        /// Prompt tokens of the requests that are not prefilled yet.
        pub prefill: u64,
    }

    /// Orders the messages of one sender.
    pub struct MessageStamp {
        /// Random number that the sender's process draws when it starts.
        pub boot_id: u64,
        /// Sequence number of the message within that process.
        pub number: u64,
    }
}

/// The latest report of another instance.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) last_seen: Time,
    pub(super) stamp: MessageStamp,
    /// Loads by upstream hash.
    loads: HashMap<u64, PeerLoad>,
    /// What it says about relaying connections; `None` if it relays nothing.
    pub(super) offer: Option<super::RelayOffer>,
    /// Until when it is not asked to relay.
    pub(super) relay_after: Time,
}

impl Fleet {
    /// Identifies an upstream's incarnation in messages between instances; zero if the upstream has been
    /// evicted.
    pub fn upstream_hash(&self, key: UpstreamKey) -> u64 {
        self.upstreams.get(key).map_or(0, super::Upstream::hash)
    }

    /// Loads of the generations that this instance runs, to be reported to other instances. Plain calls are
    /// left out, since they end too soon to matter to others.
    pub fn local_loads(&self) -> Vec<PeerLoad> {
        self.upstreams
            .values()
            .filter(|upstream| upstream.local_tokens > 0)
            .map(|upstream| PeerLoad {
                upstream_hash: upstream.hash(),
                requests: upstream.local_requests,
                tokens: upstream.local_tokens,
                prefill: upstream.local_prefill,
            })
            .collect()
    }

    /// Applies a report of the instance at `peer`, which holds all its loads if `complete`, else those that
    /// changed.
    ///
    /// A message older than the last one applied is ignored. A new process of the peer replaces all loads of
    /// the old one.
    pub fn apply_peer_loads(
        &mut self,
        peer: SocketAddr,
        stamp: MessageStamp,
        loads: Vec<PeerLoad>,
        complete: bool,
        now: Time,
    ) {
        let mut known = self.peers.remove(&peer).unwrap_or_else(|| Peer {
            last_seen: now,
            stamp,
            loads: HashMap::new(),
            offer: None,
            relay_after: Time::ZERO,
        });
        if known.stamp.boot_id == stamp.boot_id && known.stamp.number > stamp.number {
            self.peers.insert(peer, known);
            return;
        }
        let mut replaced = HashMap::new();
        if complete || known.stamp.boot_id != stamp.boot_id {
            replaced = std::mem::take(&mut known.loads);
            self.adjust_loads(replaced.values().copied(), false);
        }
        for load in loads {
            let before = known.loads.insert(load.upstream_hash, load);
            self.adjust_loads(before.into_iter(), false);
            if let Some(before) = before.as_ref().or_else(|| replaced.get(&load.upstream_hash)) {
                self.record_peer_prefilled(before, &load, now);
            }
            self.adjust_loads(std::iter::once(load), true);
        }
        known.loads.retain(|_, load| load.requests > 0);
        known.stamp = stamp;
        known.last_seen = now;
        self.peers.insert(peer, known);
        self.refresh_paces(now);
    }

    /// Whether no message of this process of the instance at `peer` has been applied yet.
    pub fn is_new_peer(&self, peer: SocketAddr, boot_id: u64) -> bool {
        self.peers
            .get(&peer)
            .is_none_or(|known| known.stamp.boot_id != boot_id)
    }

    /// Whether the instance at `peer` is known to be in another region than this one.
    pub fn is_remote(&self, peer: SocketAddr) -> bool {
        let Some(own) = self.region(&self.topology.domain) else {
            return false;
        };
        let offer = self.peers.get(&peer).and_then(|known| known.offer.as_ref());
        offer
            .and_then(|offer| self.region(&offer.domain))
            .is_some_and(|region| region != own)
    }

    /// Number of instances whose last message came less than `time` ago.
    pub fn recent_peers(&self, time: Duration, now: Time) -> usize {
        self.peers
            .values()
            .filter(|known| now.since(known.last_seen) < time)
            .count()
    }

    /// Instances whose last message came less than `time` ago.
    pub fn heard_within(&self, time: Duration, now: Time) -> impl Iterator<Item = SocketAddr> {
        let peers = self.peers.iter();
        peers
            .filter(move |(_, known)| now.since(known.last_seen) < time)
            .map(|(peer, _)| *peer)
    }

    /// Time since the oldest message that the loads of other instances on each upstream rest on, by its hash.
    pub(super) fn load_ages(&self, now: Time) -> HashMap<u64, Duration> {
        let mut ages: HashMap<u64, Duration> = HashMap::new();
        for known in self.peers.values() {
            let age = now.since(known.last_seen);
            for hash in known.loads.keys() {
                let oldest = ages.entry(*hash).or_default();
                *oldest = age.max(*oldest);
            }
        }
        ages
    }

    /// Evicts instances that have sent nothing for [`PEER_TIMEOUT`], with their loads.
    pub(super) fn evict_peers(&mut self, now: Time) {
        let unresponsive: Vec<SocketAddr> = self
            .peers
            .iter()
            .filter(|(_, known)| now.since(known.last_seen) >= PEER_TIMEOUT)
            .map(|(peer, _)| *peer)
            .collect();
        for peer in unresponsive {
            if let Some(known) = self.peers.remove(&peer) {
                self.adjust_loads(known.loads.into_values(), false);
            }
        }
    }

    /// Adds the loads that other instances reported on an upstream before it was known here.
    pub(super) fn count_known_loads(&mut self, key: UpstreamKey) {
        let hash = self.upstream_hash(key);
        let loads: Vec<PeerLoad> = self
            .peers
            .values()
            .filter_map(|peer| peer.loads.get(&hash).copied())
            .collect();
        self.adjust_loads(loads.into_iter(), true);
    }

    /// Adds loads to their upstreams if `add`, else subtracts them. Loads on unknown upstreams are skipped.
    fn adjust_loads(&mut self, loads: impl Iterator<Item = PeerLoad>, add: bool) {
        for load in loads {
            let Some(upstream) = self
                .by_hash
                .get(&load.upstream_hash)
                .and_then(|key| self.upstreams.get_mut(*key))
            else {
                continue;
            };
            if add {
                upstream.peer_requests += load.requests;
                upstream.peer_tokens += load.tokens;
                upstream.peer_prefill += load.prefill;
            } else {
                upstream.peer_requests = upstream.peer_requests.saturating_sub(load.requests);
                upstream.peer_tokens = upstream.peer_tokens.saturating_sub(load.tokens);
                upstream.peer_prefill = upstream.peer_prefill.saturating_sub(load.prefill);
            }
        }
    }
}
