//! Keys, revisions and leases.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// A key's value with its revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Pair {
    pub(super) key: Vec<u8>,
    pub(super) value: Vec<u8>,
    /// Revision at which the key came into being; 0 if it does not exist.
    pub(super) created: u64,
    /// Revision of the last change; 0 if the key does not exist.
    pub(super) changed: u64,
    /// Changes since the key came into being; 0 if it does not exist.
    pub(super) version: u64,
    /// Lease under which the key lives; 0 for none.
    pub(super) lease: i64,
}

/// A change, kept for watches.
#[derive(Clone, Debug)]
pub(super) struct Change {
    pub(super) revision: u64,
    pub(super) deleted: bool,
    /// The pair after the change; without a value if it was deleted.
    pub(super) pair: Pair,
}

#[derive(Clone, Debug)]
pub(super) struct Lease {
    pub(super) ttl: Duration,
    pub(super) end: Instant,
}

/// Keys from the first on, up to the second, exclusively.
#[derive(Clone, Debug)]
pub(super) struct Span {
    pub(super) from: Vec<u8>,
    /// Empty for the one key `from`, a single zero byte for no end.
    pub(super) to: Vec<u8>,
}

impl Span {
    pub(super) fn contains(&self, key: &[u8]) -> bool {
        match self.to.as_slice() {
            [] => key == self.from,
            [0] => key >= self.from.as_slice(),
            to => key >= self.from.as_slice() && key < to,
        }
    }
}

/// The store's content.
#[derive(Debug)]
pub(super) struct Data {
    revision: u64,
    pairs: BTreeMap<Vec<u8>, Pair>,
    changes: Vec<Change>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
}

impl Default for Data {
    fn default() -> Self {
        Self {
            revision: 1,
            pairs: BTreeMap::new(),
            changes: Vec::new(),
            leases: BTreeMap::new(),
            next_lease: 7_587_000,
        }
    }
}

impl Data {
    pub(super) const fn revision(&self) -> u64 {
        self.revision
    }

    /// The pair of `key`; one with zero revisions if the key does not exist.
    pub(super) fn get(&self, key: &[u8]) -> Pair {
        self.pairs.get(key).cloned().unwrap_or_default()
    }

    pub(super) fn range(&self, span: &Span) -> Vec<Pair> {
        let pairs = self.pairs.range(span.from.clone()..);
        let within = pairs.take_while(|(key, _)| span.contains(key));
        within.map(|(_, pair)| pair.clone()).collect()
    }

    pub(super) fn entries(&self) -> Vec<(Vec<u8>, Vec<u8>)> {
        self.pairs
            .values()
            .map(|pair| (pair.key.clone(), pair.value.clone()))
            .collect()
    }

    /// The changes of keys within `span` from `revision` on.
    pub(super) fn changes(&self, span: &Span, revision: u64) -> Vec<Change> {
        let start = self.changes.partition_point(|change| change.revision < revision);
        let later = self.changes[start..].iter();
        later
            .filter(|change| span.contains(&change.pair.key))
            .cloned()
            .collect()
    }

    /// Begins a change; its parts share one revision.
    pub(super) fn begin(&mut self) -> u64 {
        self.revision + 1
    }

    /// Ends a change that had an effect.
    pub(super) fn commit(&mut self, revision: u64) {
        self.revision = revision;
    }

    pub(super) fn put(&mut self, revision: u64, key: &[u8], value: Vec<u8>, lease: i64) {
        let pair = self.pairs.entry(key.to_vec()).or_insert_with(|| Pair {
            key: key.to_vec(),
            created: revision,
            ..Pair::default()
        });
        pair.value = value;
        pair.changed = revision;
        pair.version += 1;
        pair.lease = lease;
        let pair = pair.clone();
        self.changes.push(Change {
            revision,
            deleted: false,
            pair,
        });
    }

    /// Deletes the keys within `span`; returns how many.
    pub(super) fn delete(&mut self, revision: u64, span: &Span) -> u64 {
        let gone = self.range(span);
        for pair in &gone {
            self.pairs.remove(&pair.key);
            let pair = Pair {
                key: pair.key.clone(),
                changed: revision,
                ..Pair::default()
            };
            self.changes.push(Change {
                revision,
                deleted: true,
                pair,
            });
        }
        gone.len() as u64
    }

    pub(super) fn grant(&mut self, id: i64, ttl: Duration) -> i64 {
        self.next_lease += 1;
        let id = if id == 0 { self.next_lease } else { id };
        let end = Instant::now() + ttl;
        self.leases.insert(id, Lease { ttl, end });
        id
    }

    pub(super) fn lease(&self, id: i64) -> Option<&Lease> {
        self.leases.get(&id)
    }

    pub(super) fn lease_keys(&self, id: i64) -> Vec<Vec<u8>> {
        let held = self.pairs.values().filter(|pair| pair.lease == id);
        held.map(|pair| pair.key.clone()).collect()
    }

    /// Renews a lease; `None` if it has lapsed.
    pub(super) fn renew(&mut self, id: i64) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.end = Instant::now() + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease with its keys; whether it existed.
    pub(super) fn revoke(&mut self, id: i64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let revision = self.begin();
        let keys = self.lease_keys(id);
        for key in &keys {
            let span = Span {
                from: key.clone(),
                to: Vec::new(),
            };
            self.delete(revision, &span);
        }
        if !keys.is_empty() {
            self.commit(revision);
        }
        true
    }

    /// Ends the leases whose time is over.
    pub(super) fn sweep(&mut self) {
        let now = Instant::now();
        let over = self.leases.iter().filter(|(_, lease)| lease.end <= now);
        for id in over.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.revoke(id);
        }
    }

    pub(super) fn expire_all(&mut self) {
        for id in self.leases.keys().copied().collect::<Vec<_>>() {
            self.revoke(id);
        }
    }
}
