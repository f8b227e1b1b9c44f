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
        /// [`Fleet::mark`] of the upstream.
        pub mark: u64,
        /// Requests.
        pub runs: u32,
        /// Tokens that they are expected to hold.
        pub tokens: u64,
        /// Tokens of their prompts that are not read yet.
        pub unread: u64,
    }

    /// Where a message stands among those of its sender.
    pub struct Stamp {
        /// Random number of the sender's process.
        pub life: u64,
        /// Number of the message in that process.
        pub number: u64,
    }
}

/// What an instance told of itself.
#[derive(Debug)]
pub(super) struct Peer {
    told: Time,
    stamp: Stamp,
    loads: HashMap<u64, PeerLoad>,
}

impl Fleet {
    /// Names an upstream's incarnation in messages between instances.
    pub fn mark(&self, key: UpstreamKey) -> u64 {
        self.upstreams.get(key).map_or(0, super::Upstream::mark)
    }

    /// Generations that this instance runs, for messages to others. Plain calls are too short to be worth telling.
    pub fn loads(&self) -> Vec<PeerLoad> {
        self.upstreams
            .values()
            .filter(|found| found.tokens > 0)
            .map(|found| PeerLoad {
                mark: found.mark(),
                runs: found.runs,
                tokens: found.tokens,
                unread: found.unread,
            })
            .collect()
    }

    /// Takes in what the instance at `peer` runs: everything if `whole`, else what changed.
    pub fn told(&mut self, peer: SocketAddr, stamp: Stamp, loads: Vec<PeerLoad>, whole: bool, now: Time) {
        let mut known = self.peers.remove(&peer).unwrap_or_else(|| Peer {
            told: now,
            stamp,
            loads: HashMap::new(),
        });
        if known.stamp.life == stamp.life && known.stamp.number > stamp.number {
            self.peers.insert(peer, known);
            return;
        }
        if whole || known.stamp.life != stamp.life {
            self.count(known.loads.drain().map(|(_, load)| load), false);
        }
        for load in loads {
            let before = known.loads.insert(load.mark, load);
            self.count(before.into_iter(), false);
            self.count(std::iter::once(load), true);
        }
        known.loads.retain(|_, load| load.runs > 0);
        known.stamp = stamp;
        known.told = now;
        self.peers.insert(peer, known);
    }

    /// Instances that were heard of within `time` before `now`.
    pub fn heard(&self, time: Duration, now: Time) -> usize {
        self.peers
            .values()
            .filter(|known| now.since(known.told) < time)
            .count()
    }

    /// Forgets instances that have been silent for long.
    pub(super) fn forget_peers(&mut self, now: Time) {
        let silent: Vec<SocketAddr> = self
            .peers
            .iter()
            .filter(|(_, known)| now.since(known.told) >= FRESH)
            .map(|(peer, _)| *peer)
            .collect();
        for peer in silent {
            if let Some(known) = self.peers.remove(&peer) {
                self.count(known.loads.into_values(), false);
            }
        }
    }

    /// Counts what others already told of an upstream that is new here.
    pub(super) fn recount(&mut self, key: UpstreamKey) {
        let mark = self.mark(key);
        let loads: Vec<PeerLoad> = self
            .peers
            .values()
            .filter_map(|peer| peer.loads.get(&mark).copied())
            .collect();
        self.count(loads.into_iter(), true);
    }

    /// Adds loads to those of their upstreams, or takes them away.
    fn count(&mut self, loads: impl Iterator<Item = PeerLoad>, add: bool) {
        for load in loads {
            let Some(found) = self
                .marks
                .get(&load.mark)
                .and_then(|key| self.upstreams.get_mut(*key))
            else {
                continue;
            };
            if add {
                found.others += load.runs;
                found.foreign += load.tokens;
                found.foreign_unread += load.unread;
            } else {
                found.others = found.others.saturating_sub(load.runs);
                found.foreign = found.foreign.saturating_sub(load.tokens);
                found.foreign_unread = found.foreign_unread.saturating_sub(load.unread);
            }
        }
    }
}
