//! Which upstreams probably hold which prefixes.
//!
//! Engines publish cache events late and with gaps, so the index is a hint: a wrong entry costs a prefill and nothing
//! else. A gap in the sequence numbers is passed over; late events that arrive out of order are dropped.

use std::collections::HashMap;

use carob_base::UpstreamKey;
use smallvec::SmallVec;

/// Most prefixes per index; further ones replace old ones.
const ENTRY_LIMIT: usize = 65_536;
/// Most upstreams remembered per prefix.
const HOLDER_LIMIT: usize = 8;

carob_base::value! {
    /// A change of an upstream's prefix cache.
    pub struct Event {
        /// Position among the upstream's events; a gap means that events were lost.
        pub sequence: u64,
        /// What changed.
        pub change: Change,
    }

    /// What changed in a prefix cache.
    pub enum Change {
        /// The prefixes with these hashes are cached now.
        Stored(SmallVec<[u64; 4]>),
        /// The prefixes with these hashes are cached no more.
        Removed(SmallVec<[u64; 4]>),
        /// The whole cache is empty.
        Cleared,
    }
}

/// The upstreams that probably hold each prefix.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    holders: HashMap<u64, SmallVec<[UpstreamKey; 4]>>,
    last: HashMap<UpstreamKey, u64>,
}

impl PrefixIndex {
    /// Takes in the events of one upstream; those that are older than the newest one seen are dropped.
    pub fn apply_events(&mut self, upstream: UpstreamKey, events: &[Event]) {
        for event in events {
            let last = self.last.entry(upstream).or_default();
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

    /// Notes that `upstream` has, or is about to have, these prefixes.
    pub fn insert(&mut self, upstream: UpstreamKey, hashes: &[u64]) {
        for &hash in hashes {
            if self.holders.len() >= ENTRY_LIMIT && !self.holders.contains_key(&hash) {
                // Dropping everything is rare and costs some prefills; the index refills from traffic.
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

    /// Forgets everything about `upstream`, whose process is new or gone.
    pub fn remove_upstream(&mut self, upstream: UpstreamKey) {
        self.last.remove(&upstream);
        self.holders.retain(|_, holders| {
            holders.retain(|&mut holder| holder != upstream);
            !holders.is_empty()
        });
    }

    /// The upstreams that probably hold the prefix with this hash.
    pub fn holders(&self, hash: u64) -> &[UpstreamKey] {
        self.holders.get(&hash).map_or(&[], |holders| holders)
    }

    /// The share of the prompt that `upstream` probably holds, 0 to 1, if the hashes cover it evenly.
    pub fn cached_share(&self, upstream: UpstreamKey, hashes: &[u64]) -> f32 {
        let held = hashes
            .iter()
            .rposition(|&hash| self.holders(hash).contains(&upstream));
        held.map_or(0.0, |last| (last + 1) as f32 / hashes.len() as f32)
    }
}
