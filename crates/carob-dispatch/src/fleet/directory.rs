//! Applies changes of the platform's directory of upstreams.

use std::time::Duration;

use carob_base::Time;

use super::{DirectoryEntry, Fleet, Upstream, UpstreamKey, UpstreamState, incarnation_hash};

/// How long an upstream that leaves is kept for the requests that still run on it.
///
/// Upstreams exit within seconds of leaving the directory, and no request refers to one beyond the request's
/// deadline.
const LEFT_RETENTION: Duration = Duration::from_mins(1);

impl Fleet {
    /// Applies an entry that was added or changed. Returns the upstream that starts to leave by it, if any.
    ///
    /// A new incarnation, address or service makes it another upstream; the previous one then counts as
    /// leaving. An upstream that leaves is ready again only by an entry that it has written since, not by an older one
    /// that has come back.
    pub fn update_entry(&mut self, mut entry: DirectoryEntry, now: Time) -> Option<UpstreamKey> {
        let listed = self.by_name.get(&entry.id).copied();
        self.record_cold(&entry, now);
        let known = if entry.started_ms > 0 {
            self.find_incarnation(&entry)
        } else {
            // Without its start, a removed entry may be that of an earlier incarnation.
            listed.filter(|key| self.is_same(*key, &entry))
        };
        if let Some(key) = known
            && let Some(upstream) = self.upstreams.get_mut(key)
        {
            let is_outdated =
                entry.started_ms > 0 && entry.sequence > 0 && entry.sequence <= upstream.entry.sequence;
            let is_replaced = listed.is_some_and(|listed| listed != key);
            if is_replaced && is_outdated {
                return None;
            }
            let stays_leaving = upstream.said_leaving || (upstream.leaving_since.is_some() && is_outdated);
            if stays_leaving {
                entry.state = UpstreamState::Leaving;
            }
            let starts_leaving = entry.state == UpstreamState::Leaving && upstream.leaving_since.is_none();
            upstream.leaving_since = match entry.state {
                UpstreamState::Ready => None,
                UpstreamState::Leaving => upstream.leaving_since.or(Some(now)),
            };
            if !stays_leaving {
                upstream.announced = entry.state == UpstreamState::Leaving;
            }
            let is_written = entry.sequence == 0 || entry.sequence > upstream.entry.sequence;
            entry.sequence = entry.sequence.max(upstream.entry.sequence);
            self.by_name.insert(entry.id.clone(), key);
            upstream.entry = entry;
            let replaced = listed
                .filter(|_| is_replaced)
                .and_then(|other| self.unlist(other, now));
            if listed != Some(key) {
                self.mark_taken(key);
            }
            if is_written && self.upstreams[key].address_taken {
                self.upstreams[key].address_taken = self.has_successor(key, true);
            }
            return starts_leaving.then_some(key).or(replaced);
        }
        let replaced = listed.and_then(|key| self.unlist(key, now));
        self.add_upstream(entry, now);
        replaced
    }

    /// Adds an upstream that was not known.
    fn add_upstream(&mut self, entry: DirectoryEntry, now: Time) {
        let leaving_since = (entry.state == UpstreamState::Leaving).then_some(now);
        let key = self.upstreams.insert(Upstream {
            leaving_since,
            announced: leaving_since.is_some(),
            said_leaving: false,
            address_taken: false,
            local_requests: 0,
            local_tokens: 0,
            local_prefill: 0,
            peer_requests: 0,
            peer_tokens: 0,
            peer_prefill: 0,
            load_report: None,
            failure_rate: 0.0,
            avoid_until: Time::ZERO,
            paused_until: Time::ZERO,
            prefilled_at: None,
            link: super::links::Link::default(),
            pace: super::pace::Pace::default(),
            entry,
        });
        let id = self.upstreams[key].entry.id.clone();
        self.by_name.insert(id, key);
        let hash = self.upstream_hash(key);
        self.by_hash.insert(hash, key);
        self.mark_taken(key);
        self.upstreams[key].address_taken = self.has_successor(key, false);
        self.count_known_loads(key);
        self.inherit_brittle(key, now);
        self.refresh_paces(now);
    }

    /// The upstream whose incarnation, address and service an entry names, also if its entry was removed since.
    fn find_incarnation(&self, entry: &DirectoryEntry) -> Option<UpstreamKey> {
        let key = self.find_hash(incarnation_hash(&entry.id, entry.started_ms))?;
        self.is_same(key, entry).then_some(key)
    }

    /// Whether an entry names the incarnation, address and service of an upstream.
    fn is_same(&self, key: UpstreamKey, entry: &DirectoryEntry) -> bool {
        self.upstreams.get(key).is_some_and(|known| {
            let known = &known.entry;
            known.started_ms == entry.started_ms
                && known.address == entry.address
                && known.service == entry.service
        })
    }

    /// Marks the upstreams that were at the address of `key` before it.
    fn mark_taken(&mut self, key: UpstreamKey) {
        let later = &self.upstreams[key].entry;
        let (address, started_ms) = (later.address, later.started_ms);
        for upstream in self.upstreams.values_mut() {
            let former = &upstream.entry;
            upstream.address_taken |=
                former.address == address && former.started_ms > 0 && former.started_ms < started_ms;
        }
    }

    /// Whether an upstream that started later is known at the address of `key`. With `listed`, only one that is in the
    /// directory counts.
    fn has_successor(&self, key: UpstreamKey, listed: bool) -> bool {
        let former = &self.upstreams[key].entry;
        former.started_ms > 0
            && self.upstreams.iter().any(|(other, found)| {
                let found = &found.entry;
                found.address == former.address
                    && found.started_ms > former.started_ms
                    && (!listed || self.by_name.get(&found.id) == Some(&other))
            })
    }

    /// Takes a new upstream for brittle if others of its service are: it has not answered yet.
    fn inherit_brittle(&mut self, key: UpstreamKey, now: Time) {
        let service = &self.upstreams[key].entry.service;
        let others = self
            .upstreams
            .values()
            .filter(|other| other.entry.service == *service);
        let brittle = others
            .map(Upstream::hash)
            .find(|hash| self.limits.brittle(*hash).is_some());
        if let Some(other) = brittle {
            let hash = self.upstream_hash(key);
            self.limits.inherit_brittle(hash, other, now);
        }
    }

    /// Applies the removal of the entry `id`. Returns the upstream if it starts to leave by this.
    pub fn remove_entry(&mut self, id: &str, now: Time) -> Option<UpstreamKey> {
        let key = self.by_name.remove(id)?;
        self.unlist(key, now)
    }

    /// Whether the process of an upstream is known to have ended: a later one has its name or its address. That its entry is
    /// removed does not tell, since upstreams serve on after that.
    pub fn has_ended(&self, key: UpstreamKey) -> bool {
        let Some(upstream) = self.upstreams.get(key) else {
            return false;
        };
        let entry = &upstream.entry;
        let mut others = self.upstreams.values().map(|found| &found.entry);
        upstream.address_taken
            || (entry.started_ms > 0
                && others.any(|other| other.id == entry.id && other.started_ms > entry.started_ms))
    }

    /// Names of the upstreams in the directory.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.by_name.keys().map(|name| &**name)
    }

    /// Evicts upstreams that have left and are not retained any more, and the loads of unresponsive
    /// instances.
    pub fn evict_stale(&mut self, now: Time) {
        self.evict_peers(now);
        self.refresh_paces(now);
        let by_name = &self.by_name;
        self.upstreams.retain(|key, upstream| {
            // It must not come back as another upstream while its entry still says that it is ready.
            let is_listed = by_name.get(&upstream.entry.id) == Some(&key);
            (upstream.said_leaving && is_listed)
                || upstream
                    .leaving_since
                    .is_none_or(|left| now.since(left) < LEFT_RETENTION)
        });
        let upstreams = &self.upstreams;
        self.by_name.retain(|_, key| upstreams.contains_key(*key));
        self.by_hash.retain(|_, key| upstreams.contains_key(*key));
        self.prefixes
            .evict_stale(|key| self.upstreams.contains_key(key), now);
        let by_hash = &self.by_hash;
        self.limits.evict_stale(|hash| by_hash.contains_key(&hash), now);
        self.cold.evict_stale(|hash| by_hash.contains_key(&hash));
    }

    /// Records that an upstream has said itself that it leaves, whatever its entry says. Returns it unless it was known
    /// to leave already.
    pub fn mark_leaving(&mut self, key: UpstreamKey, now: Time) -> Option<UpstreamKey> {
        let upstream = self.upstreams.get_mut(key)?;
        upstream.announced = true;
        upstream.said_leaving = true;
        self.unlist(key, now)
    }

    /// Whether the upstream has said itself that it leaves.
    pub fn said_leaving(&self, key: UpstreamKey) -> bool {
        self.upstreams
            .get(key)
            .is_some_and(|upstream| upstream.said_leaving)
    }

    /// [`Fleet::upstream_hash`]es of the upstreams that have said themselves that they leave.
    pub fn leaving_hashes(&self) -> Vec<u64> {
        let leaving = self.upstreams.values().filter(|upstream| upstream.said_leaving);
        leaving.map(super::Upstream::hash).collect()
    }

    /// The upstream with this [`Fleet::upstream_hash`].
    pub fn find_hash(&self, hash: u64) -> Option<UpstreamKey> {
        self.by_hash.get(&hash).copied()
    }

    /// Records that an upstream accepts no new requests. Returns it unless that was known already.
    fn unlist(&mut self, key: UpstreamKey, now: Time) -> Option<UpstreamKey> {
        let upstream = self.upstreams.get_mut(key)?;
        upstream.entry.state = UpstreamState::Leaving;
        let first = upstream.leaving_since.is_none();
        upstream.leaving_since.get_or_insert(now);
        first.then_some(key)
    }
}
