//! The store's keys, revisions and leases.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// A key with its value and revisions, like etcd's `mvccpb.KeyValue`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct KeyValue {
    pub(super) key: Vec<u8>,
    pub(super) value: Vec<u8>,
    /// Revision at which the key was created; 0 if the key does not exist.
    pub(super) create_revision: u64,
    /// Revision of the last modification; 0 if the key does not exist.
    pub(super) mod_revision: u64,
    /// Number of modifications since the key was created, including the creation; 0 if the key does not
    /// exist.
    pub(super) version: u64,
    /// ID of the lease that the key is attached to; 0 for none.
    pub(super) lease: i64,
}

/// Change of one key, kept in the history for watches.
#[derive(Clone, Debug)]
pub(super) struct Change {
    pub(super) revision: u64,
    pub(super) deleted: bool,
    /// State of the key after the change. For a deletion, only the key and the revision are set.
    pub(super) pair: KeyValue,
}

#[derive(Clone, Debug)]
pub(super) struct Lease {
    pub(super) ttl: Duration,
    pub(super) expires_at: Instant,
}

/// Range of keys `[start, end)`, with the conventions of etcd's `key` and `range_end`.
#[derive(Clone, Debug)]
pub(super) struct KeyRange {
    pub(super) start: Vec<u8>,
    /// Empty for the single key `start`; a single zero byte for all keys from `start` on.
    pub(super) end: Vec<u8>,
}

impl KeyRange {
    pub(super) fn contains(&self, key: &[u8]) -> bool {
        match self.end.as_slice() {
            [] => key == self.start,
            [0] => key >= self.start.as_slice(),
            end => key >= self.start.as_slice() && key < end,
        }
    }
}

/// Content of the store with its complete history.
#[derive(Debug)]
pub(super) struct Data {
    revision: u64,
    pairs: BTreeMap<Vec<u8>, KeyValue>,
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

    /// Returns the entry of `key`, or an empty one with zero revisions if the key does not exist.
    pub(super) fn get(&self, key: &[u8]) -> KeyValue {
        self.pairs.get(key).cloned().unwrap_or_default()
    }

    pub(super) fn range(&self, range: &KeyRange) -> Vec<KeyValue> {
        let pairs = self.pairs.range(range.start.clone()..);
        let within = pairs.take_while(|(key, _)| range.contains(key));
        within.map(|(_, pair)| pair.clone()).collect()
    }

    pub(super) fn entries(&self) -> Vec<(Vec<u8>, Vec<u8>)> {
        self.pairs
            .values()
            .map(|pair| (pair.key.clone(), pair.value.clone()))
            .collect()
    }

    /// Returns the changes of keys within `range` since `revision`, inclusive.
    pub(super) fn changes(&self, range: &KeyRange, revision: u64) -> Vec<Change> {
        let start = self.changes.partition_point(|change| change.revision < revision);
        let since = self.changes[start..].iter();
        since
            .filter(|change| range.contains(&change.pair.key))
            .cloned()
            .collect()
    }

    /// Returns the revision for the next change. All operations of a transaction share it.
    pub(super) fn next_revision(&mut self) -> u64 {
        self.revision + 1
    }

    /// Makes `revision` current, after at least one key has changed.
    pub(super) fn commit(&mut self, revision: u64) {
        self.revision = revision;
    }

    pub(super) fn put(&mut self, revision: u64, key: &[u8], value: Vec<u8>, lease: i64) {
        let pair = self.pairs.entry(key.to_vec()).or_insert_with(|| KeyValue {
            key: key.to_vec(),
            create_revision: revision,
            ..KeyValue::default()
        });
        pair.value = value;
        pair.mod_revision = revision;
        pair.version += 1;
        pair.lease = lease;
        let pair = pair.clone();
        self.changes.push(Change {
            revision,
            deleted: false,
            pair,
        });
    }

    /// Deletes the keys within `range`, and returns their number.
    pub(super) fn delete(&mut self, revision: u64, range: &KeyRange) -> u64 {
        let deleted = self.range(range);
        for pair in &deleted {
            self.pairs.remove(&pair.key);
            let pair = KeyValue {
                key: pair.key.clone(),
                mod_revision: revision,
                ..KeyValue::default()
            };
            self.changes.push(Change {
                revision,
                deleted: true,
                pair,
            });
        }
        deleted.len() as u64
    }

    /// Grants a lease under `id`, or under a new ID if `id` is 0, and returns the ID.
    pub(super) fn grant(&mut self, id: i64, ttl: Duration) -> i64 {
        self.next_lease += 1;
        let id = if id == 0 { self.next_lease } else { id };
        let expires_at = Instant::now() + ttl;
        self.leases.insert(id, Lease { ttl, expires_at });
        id
    }

    pub(super) fn lease(&self, id: i64) -> Option<&Lease> {
        self.leases.get(&id)
    }

    pub(super) fn lease_keys(&self, id: i64) -> Vec<Vec<u8>> {
        let held = self.pairs.values().filter(|pair| pair.lease == id);
        held.map(|pair| pair.key.clone()).collect()
    }

    /// Renews a lease and returns its TTL, or `None` if the lease does not exist or has expired.
    pub(super) fn renew(&mut self, id: i64) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires_at = Instant::now() + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease and deletes its keys. Returns whether the lease existed.
    pub(super) fn revoke(&mut self, id: i64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let revision = self.next_revision();
        let keys = self.lease_keys(id);
        for key in &keys {
            let range = KeyRange {
                start: key.clone(),
                end: Vec::new(),
            };
            self.delete(revision, &range);
        }
        if !keys.is_empty() {
            self.commit(revision);
        }
        true
    }

    /// Expires the leases whose TTL has elapsed.
    pub(super) fn expire_due(&mut self) {
        let now = Instant::now();
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires_at <= now);
        for id in expired.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.revoke(id);
        }
    }

    pub(super) fn expire_all(&mut self) {
        for id in self.leases.keys().copied().collect::<Vec<_>>() {
            self.revoke(id);
        }
    }
}
