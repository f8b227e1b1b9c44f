//! Follows the platform's directory of upstreams.

use std::time::Duration;

use carob_base::Time;

use super::{Entry, Fleet, State, Upstream, UpstreamKey};

/// How long the entry of an upstream that has left is kept for what still runs there.
///
/// Upstreams exit within seconds of leaving the directory; requests hold no reference beyond their deadline.
const FORGET: Duration = Duration::from_mins(1);

impl Fleet {
    /// Takes in an entry as it was written. Returns the upstream if it has begun to leave with this.
    pub fn refresh(&mut self, entry: Entry, now: Time) -> Option<UpstreamKey> {
        let known = self.names.get(&entry.id).copied();
        if let Some(key) = known
            && let Some(found) = self.upstreams.get_mut(key)
            && found.entry.born == entry.born
            && found.entry.address == entry.address
            && found.entry.service == entry.service
        {
            let leaves = entry.state == State::Leaving && found.left.is_none();
            found.left = match entry.state {
                State::Ready => None,
                State::Leaving => found.left.or(Some(now)),
            };
            found.entry = entry;
            return leaves.then_some(key);
        }
        let gone = known.and_then(|key| self.leave(key, now));
        let left = (entry.state == State::Leaving).then_some(now);
        let key = self.upstreams.insert(Upstream {
            left,
            runs: 0,
            tokens: 0,
            unread: 0,
            others: 0,
            foreign: 0,
            foreign_unread: 0,
            observed: None,
            failure: 0.0,
            avoid: Time::ZERO,
            entry,
        });
        let id = self.upstreams[key].entry.id.clone();
        self.names.insert(id, key);
        let mark = self.mark(key);
        self.marks.insert(mark, key);
        self.recount(key);
        gone
    }

    /// Takes in that the entry `id` was removed. Returns the upstream if it has begun to leave with this.
    pub fn remove(&mut self, id: &str, now: Time) -> Option<UpstreamKey> {
        let key = self.names.remove(id)?;
        self.leave(key, now)
    }

    /// Names in the directory.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.names.keys().map(|name| &**name)
    }

    /// Forgets upstreams that left long ago and instances that have been silent.
    pub fn tidy(&mut self, now: Time) {
        self.forget_peers(now);
        self.upstreams
            .retain(|_, found| found.left.is_none_or(|left| now.since(left) < FORGET));
        let upstreams = &self.upstreams;
        self.names.retain(|_, key| upstreams.contains_key(*key));
        self.marks.retain(|_, key| upstreams.contains_key(*key));
    }

    /// Takes in that an upstream leaves. Returns it if that is news.
    pub fn leave(&mut self, key: UpstreamKey, now: Time) -> Option<UpstreamKey> {
        let found = self.upstreams.get_mut(key)?;
        found.entry.state = State::Leaving;
        let first = found.left.is_none();
        found.left.get_or_insert(now);
        first.then_some(key)
    }
}
