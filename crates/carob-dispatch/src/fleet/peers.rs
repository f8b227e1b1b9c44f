//! What other instances run.
//!
//! Loads come in messages that hold only what changed, as absolute figures, and from time to time in messages that
//! hold everything. A message that is lost or late therefore does no lasting harm.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use carob_base::Time;

use super::{Fleet, UpstreamKey};

/// How long an instance's load counts without news of it.
///
/// Instances tell their load at least once a second; one that is silent this long has ended or is cut off, and its
/// requests with it.
const FRESH: Duration = Duration::from_secs(3);

carob_base::plain! {
    /// Requests of one instance at one upstream.
    pub struct PeerLoad {
        /// [`Fleet::upstream_hash`] of the upstream.
        pub upstream_hash: u64,
        /// Requests.
        pub requests: u32,
        /// Tokens that they are expected to hold.
        pub tokens: u64,
        /// Tokens of their prompts that are not read yet.
        pub prefill: u64,
    }

    /// Where a message stands among those of its sender.
    pub struct MessageStamp {
        /// Random number of the sender's process.
        pub boot_id: u64,
        /// Number of the message in that process.
        pub number: u64,
    }
}

/// What an instance told of itself.
#[derive(Debug)]
pub(super) struct Peer {
    last_seen: Time,
    stamp: MessageStamp,
    loads: HashMap<u64, PeerLoad>,
}

impl Fleet {
    /// Names an upstream's incarnation in messages between instances.
    pub fn upstream_hash(&self, key: UpstreamKey) -> u64 {
        self.upstreams.get(key).map_or(0, super::Upstream::hash)
    }

    /// Generations that this instance runs, for messages to others. Plain calls are too short to be worth telling.
    pub fn local_loads(&self) -> Vec<PeerLoad> {
        self.upstreams
            .values()
            .filter(|found| found.local_tokens > 0)
            .map(|found| PeerLoad {
                upstream_hash: found.hash(),
                requests: found.local_requests,
                tokens: found.local_tokens,
                prefill: found.local_prefill,
            })
            .collect()
    }

    /// Takes in what the instance at `peer` runs: everything if `whole`, else what changed.
    pub fn apply_peer_loads(
        &mut self,
        peer: SocketAddr,
        stamp: MessageStamp,
        loads: Vec<PeerLoad>,
        whole: bool,
        now: Time,
    ) {
        let mut known = self.peers.remove(&peer).unwrap_or_else(|| Peer {
            last_seen: now,
            stamp,
            loads: HashMap::new(),
        });
        if known.stamp.boot_id == stamp.boot_id && known.stamp.number > stamp.number {
            self.peers.insert(peer, known);
            return;
        }
        if whole || known.stamp.boot_id != stamp.boot_id {
            self.adjust_loads(known.loads.drain().map(|(_, load)| load), false);
        }
        for load in loads {
            let before = known.loads.insert(load.upstream_hash, load);
            self.adjust_loads(before.into_iter(), false);
            self.adjust_loads(std::iter::once(load), true);
        }
        known.loads.retain(|_, load| load.requests > 0);
        known.stamp = stamp;
        known.last_seen = now;
        self.peers.insert(peer, known);
    }

    /// Instances that were heard of within `time` before `now`.
    pub fn recent_peers(&self, time: Duration, now: Time) -> usize {
        self.peers
            .values()
            .filter(|known| now.since(known.last_seen) < time)
            .count()
    }

    /// Forgets instances that have been silent for long.
    pub(super) fn evict_peers(&mut self, now: Time) {
        let silent: Vec<SocketAddr> = self
            .peers
            .iter()
            .filter(|(_, known)| now.since(known.last_seen) >= FRESH)
            .map(|(peer, _)| *peer)
            .collect();
        for peer in silent {
            if let Some(known) = self.peers.remove(&peer) {
                self.adjust_loads(known.loads.into_values(), false);
            }
        }
    }

    /// Counts what others already told of an upstream that is new here.
    pub(super) fn count_known_loads(&mut self, key: UpstreamKey) {
        let mark = self.upstream_hash(key);
        let loads: Vec<PeerLoad> = self
            .peers
            .values()
            .filter_map(|peer| peer.loads.get(&mark).copied())
            .collect();
        self.adjust_loads(loads.into_iter(), true);
    }

    /// Adds loads to those of their upstreams, or takes them away.
    fn adjust_loads(&mut self, loads: impl Iterator<Item = PeerLoad>, add: bool) {
        for load in loads {
            let Some(found) = self
                .by_hash
                .get(&load.upstream_hash)
                .and_then(|key| self.upstreams.get_mut(*key))
            else {
                continue;
            };
            if add {
                found.peer_requests += load.requests;
                found.peer_tokens += load.tokens;
                found.peer_prefill += load.prefill;
            } else {
                found.peer_requests = found.peer_requests.saturating_sub(load.requests);
                found.peer_tokens = found.peer_tokens.saturating_sub(load.tokens);
                found.peer_prefill = found.peer_prefill.saturating_sub(load.prefill);
            }
        }
    }
}
