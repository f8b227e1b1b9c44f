//! This instance's copy of the store's content.
//!
//! Content comes from full reads, from watches and from other instances that are further ahead. All of it is
//! merged here: an older item never replaces a newer one, whatever the order in which they arrive.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

/// A value with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// Revision of the store at which the key last changed.
    pub revision: u64,
    /// The value as stored, not decoded.
    pub value: Bytes,
}

/// Effect of an applied item on its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was created or its value changed.
    Set(Versioned),
    /// The key was removed.
    Removed,
}

/// A copy of the store's content under a set of prefixes.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    revision: u64,
    items: BTreeMap<String, Versioned>,
    /// Revisions at which keys were removed, so that a late read of an older item does not bring it back.
    tombstones: BTreeMap<String, u64>,
}

/// Maximum number of tombstones; far more keys than are removed within the history that the store keeps.
const MAX_TOMBSTONES: usize = 2_000;

impl Mirror {
    /// Creates an empty mirror at revision 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// The revision up to which every change is known; 0 before the first read.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Iterates over the items in the order of their keys.
    pub fn items(&self) -> impl Iterator<Item = (&str, &Versioned)> {
        self.items.iter().map(|(key, item)| (key.as_str(), item))
    }

    /// Applies one change; `value` is absent if the key was removed. Returns its effect, or `None` if it is
    /// not newer than what is known or leaves the value as it was.
    pub fn apply(&mut self, key: &str, revision: u64, value: Option<Bytes>) -> Option<Change> {
        let newest = self.items.get(key).map(|item| item.revision);
        let newest = newest.max(self.tombstones.get(key).copied());
        if newest.is_some_and(|newest| newest >= revision) {
            return None;
        }
        let Some(value) = value else {
            self.tombstones.insert(key.to_owned(), revision);
            self.evict_tombstones();
            return self.items.remove(key).map(|_| Change::Removed);
        };
        self.tombstones.remove(key);
        let item = Versioned { revision, value };
        let before = self.items.insert(key.to_owned(), item.clone());
        (before.is_none_or(|before| before.value != item.value)).then_some(Change::Set(item))
    }

    /// Records that every change up to `revision` has been applied; an older revision has no effect.
    pub fn advance_to(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Removes the keys under `prefix` that are not in `present`, the complete list of keys there at
    /// `revision`. Keys that changed after `revision` are kept. Returns the removed keys.
    pub fn retain(&mut self, prefix: &str, revision: u64, present: &BTreeSet<String>) -> Vec<String> {
        let gone: Vec<String> = self
            .items
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, item)| item.revision <= revision && !present.contains(*key))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &gone {
            self.items.remove(key);
            self.tombstones.insert(key.clone(), revision);
        }
        self.evict_tombstones();
        gone
    }

    /// Drops the older half of the tombstones once there are too many.
    fn evict_tombstones(&mut self) {
        if self.tombstones.len() > MAX_TOMBSTONES {
            let mut revisions: Vec<u64> = self.tombstones.values().copied().collect();
            revisions.sort_unstable();
            let oldest = revisions[revisions.len() / 2];
            self.tombstones.retain(|_, revision| *revision >= oldest);
        }
    }
}
