//! Follows the platform's directory of upstreams.

use std::time::Duration;

use carob_base::Time;

use super::{DirectoryEntry, Fleet, Upstream, UpstreamKey, UpstreamState};

/// How long the entry of an upstream that has left is kept for what still runs there.
///
/// Upstreams exit within seconds of leaving the directory; requests hold no reference beyond their deadline.
const FORGET: Duration = Duration::from_mins(1);

impl Fleet {
    /// Takes in an entry as it was written. Returns the upstream if it has begun to leave with this.
    pub fn update_entry(&mut self, entry: DirectoryEntry, now: Time) -> Option<UpstreamKey> {
        let known = self.by_name.get(&entry.id).copied();
        if let Some(key) = known
            && let Some(found) = self.upstreams.get_mut(key)
            && found.entry.started_ms == entry.started_ms
            && found.entry.address == entry.address
            && found.entry.service == entry.service
        {
            let leaves = entry.state == UpstreamState::Leaving && found.leaving_since.is_none();
            found.leaving_since = match entry.state {
                UpstreamState::Ready => None,
                UpstreamState::Leaving => found.leaving_since.or(Some(now)),
            };
            found.entry = entry;
            return leaves.then_some(key);
        }
        let gone = known.and_then(|key| self.mark_leaving(key, now));
        let left = (entry.state == UpstreamState::Leaving).then_some(now);
        let key = self.upstreams.insert(Upstream {
            leaving_since: left,
            local_requests: 0,
            local_tokens: 0,
            local_prefill: 0,
            peer_requests: 0,
            peer_tokens: 0,
            peer_prefill: 0,
            load_report: None,
            failure_rate: 0.0,
            avoid_until: Time::ZERO,
            entry,
        });
        let id = self.upstreams[key].entry.id.clone();
        self.by_name.insert(id, key);
        let mark = self.upstream_hash(key);
        self.by_hash.insert(mark, key);
        self.count_known_loads(key);
        gone
    }

    /// Takes in that the entry `id` was removed. Returns the upstream if it has begun to leave with this.
    pub fn remove_entry(&mut self, id: &str, now: Time) -> Option<UpstreamKey> {
        let key = self.by_name.remove(id)?;
        self.mark_leaving(key, now)
    }

    /// Names in the directory.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.by_name.keys().map(|name| &**name)
    }

    /// Forgets upstreams that left long ago and instances that have been silent.
    pub fn evict_stale(&mut self, now: Time) {
        self.evict_peers(now);
        self.upstreams
            .retain(|_, found| found.leaving_since.is_none_or(|left| now.since(left) < FORGET));
        let upstreams = &self.upstreams;
        self.by_name.retain(|_, key| upstreams.contains_key(*key));
        self.by_hash.retain(|_, key| upstreams.contains_key(*key));
    }

    /// Takes in that an upstream leaves. Returns it if that is news.
    pub fn mark_leaving(&mut self, key: UpstreamKey, now: Time) -> Option<UpstreamKey> {
        let found = self.upstreams.get_mut(key)?;
        found.entry.state = UpstreamState::Leaving;
        let first = found.leaving_since.is_none();
        found.leaving_since.get_or_insert(now);
        first.then_some(key)
    }
}
