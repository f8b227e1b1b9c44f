//! What other instances run.

use std::{net::SocketAddr, time::Duration};

use carob_base::Time;

use super::{Fleet, UpstreamKey};

/// How long an instance's load counts without news of it.
///
/// Instances tell their load several times a second; one that is silent this long has ended or is cut off, and its
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
    }
}

/// An instance's last message.
#[derive(Debug)]
pub(super) struct Peer {
    told: Time,
    loads: Vec<PeerLoad>,
}

impl Fleet {
    /// Names an upstream's incarnation in messages between instances.
    pub fn mark(&self, key: UpstreamKey) -> u64 {
        let Some(found) = self.upstreams.get(key) else {
            return 0;
        };
        xxhash_rust::xxh3::xxh3_64_with_seed(found.entry.id.as_bytes(), found.entry.born)
    }

    /// What this instance runs, for messages to others.
    pub fn loads(&self) -> Vec<PeerLoad> {
        self.upstreams
            .iter()
            .filter(|(_, found)| found.runs > 0)
            .map(|(key, found)| PeerLoad {
                mark: self.mark(key),
                runs: found.runs,
                tokens: found.tokens,
            })
            .collect()
    }

    /// Takes in what the instance at `peer` runs.
    pub fn told(&mut self, peer: SocketAddr, loads: Vec<PeerLoad>, now: Time) {
        self.peers.insert(peer, Peer { told: now, loads });
        self.peers.retain(|_, known| now.since(known.told) < FRESH);
        self.retell();
    }

    /// Adds the loads of other instances up again.
    pub(super) fn retell(&mut self) {
        let marks: std::collections::HashMap<u64, UpstreamKey> =
            self.upstreams.keys().map(|key| (self.mark(key), key)).collect();
        for found in self.upstreams.values_mut() {
            (found.others, found.foreign) = (0, 0);
        }
        for load in self.peers.values().flat_map(|peer| &peer.loads) {
            if let Some(found) = marks.get(&load.mark).and_then(|key| self.upstreams.get_mut(*key)) {
                found.others += load.runs;
                found.foreign += load.tokens;
            }
        }
    }
}
