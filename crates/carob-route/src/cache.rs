//! Index of the prompt prefixes that upstreams probably have cached.
//!
//! Engines publish cache events late and with gaps, so the index is only a hint: a wrong entry costs a
//! prefill and nothing else. Gaps in the sequence numbers are ignored; events that arrive out of order are
//! dropped.

use std::collections::HashMap;

use carob_base::UpstreamKey;
use smallvec::SmallVec;

/// Maximum number of prefixes in the index; a further one clears it.
const ENTRY_LIMIT: usize = 65_536;
/// Maximum number of upstreams per prefix; a further one replaces the oldest.
const HOLDER_LIMIT: usize = 8;

carob_base::value! {
    /// A change of an upstream's prefix cache.
    pub struct Event {
        /// Sequence number among the upstream's events, starting at 1; a gap means that events were lost.
        pub sequence: u64,
        /// What changed.
        pub change: Change,
    }

    /// Kind of a change of a prefix cache.
    pub enum Change {
        /// Prefixes with these hashes were stored.
        Stored(SmallVec<[u64; 4]>),
        /// Prefixes with these hashes were removed.
        Removed(SmallVec<[u64; 4]>),
        /// The cache was cleared.
        Cleared,
    }
}

/// Upstreams that probably have a prefix cached, by the prefix's hash.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    holders: HashMap<u64, SmallVec<[UpstreamKey; 4]>>,
    /// Highest sequence number applied, by upstream.
    sequences: HashMap<UpstreamKey, u64>,
}

impl PrefixIndex {
    /// Applies the events of one upstream, except those that are not newer than the last one applied.
    pub fn apply_events(&mut self, upstream: UpstreamKey, events: &[Event]) {
        for event in events {
            let last = self.sequences.entry(upstream).or_default();
            if event.sequence <= *last {
                continue;
            }
            *last = event.sequence;
            match &event.change {
                Change::Stored(hashes) => self.insert(upstream, hashes),
                Change::Removed(hashes) => self.remove(upstream, hashes),
                Change::Cleared => self.remove_upstream(upstream),
            }
        }
    }

    /// Records that `upstream` has cached these prefixes, or will because a request with them is sent there.
    pub fn insert(&mut self, upstream: UpstreamKey, hashes: &[u64]) {
        for &hash in hashes {
            if self.holders.len() >= ENTRY_LIMIT && !self.holders.contains_key(&hash) {
                // Clearing the whole index is rare and costs some prefills; it is refilled from traffic.
                self.holders.clear();
            }
            let holders = self.holders.entry(hash).or_default();
            if holders.contains(&upstream) {
                continue;
            }
            if holders.len() >= HOLDER_LIMIT {
                holders.remove(0);
            }
            holders.push(upstream);
        }
    }

    fn remove(&mut self, upstream: UpstreamKey, hashes: &[u64]) {
        for hash in hashes {
            let Some(holders) = self.holders.get_mut(hash) else {
                continue;
            };
            holders.retain(|&mut holder| holder != upstream);
            if holders.is_empty() {
                self.holders.remove(hash);
            }
        }
    }

    /// Removes all entries of `upstream`, whose process was restarted or has ended.
    pub fn remove_upstream(&mut self, upstream: UpstreamKey) {
        self.sequences.remove(&upstream);
        self.holders.retain(|_, holders| {
            holders.retain(|&mut holder| holder != upstream);
            !holders.is_empty()
        });
    }

    /// Upstreams that probably have the prefix with this hash cached.
    pub fn holders(&self, hash: u64) -> &[UpstreamKey] {
        self.holders.get(&hash).map_or(&[], |holders| holders)
    }

    /// Share of the prompt that `upstream` probably has cached, 0 to 1, by its longest cached prefix. Assumes
    /// that the prefixes grow in equal steps.
    pub fn cached_share(&self, upstream: UpstreamKey, hashes: &[u64]) -> f32 {
        let held = hashes
            .iter()
            .rposition(|&hash| self.holders(hash).contains(&upstream));
        held.map_or(0.0, |longest| (longest + 1) as f32 / hashes.len() as f32)
    }
}
