//! What the store holds, as far as this instance knows.
//!
//! Content comes from reads of the whole, from watches, and from other instances that know more. All of them end
//! up here, where an older item never replaces a newer one, whatever the order in which they come.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

/// A value with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// Revision of its last change.
    pub revision: u64,
    /// The value.
    pub value: Bytes,
}

/// What became of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It has a new value.
    Set(Versioned),
    /// It is no longer there.
    Removed,
}

/// A copy of the store's content under some prefixes.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    revision: u64,
    items: BTreeMap<String, Versioned>,
    /// Revisions of removals, so that an item that is read late does not come back.
    removed: BTreeMap<String, u64>,
}

/// Removals that are remembered; far more than happen within the store's history.
const REMOVED: usize = 2_000;

impl Mirror {
    /// A mirror that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// The revision up to which every change is known; 0 if nothing is.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The items in the order of their keys.
    pub fn items(&self) -> impl Iterator<Item = (&str, &Versioned)> {
        self.items.iter().map(|(key, known)| (key.as_str(), known))
    }

    /// Takes in one change. Returns it if it is news.
    pub fn apply(&mut self, key: &str, revision: u64, value: Option<Bytes>) -> Option<Change> {
        let newest = self.items.get(key).map(|known| known.revision);
        let newest = newest.max(self.removed.get(key).copied());
        if newest.is_some_and(|newest| newest >= revision) {
            return None;
        }
        let Some(value) = value else {
            self.removed.insert(key.to_owned(), revision);
            self.forget();
            return self.items.remove(key).map(|_| Change::Removed);
        };
        self.removed.remove(key);
        let known = Versioned { revision, value };
        let before = self.items.insert(key.to_owned(), known.clone());
        (before.is_none_or(|before| before.value != known.value)).then_some(Change::Set(known))
    }

    /// Notes that every change up to `revision` is known.
    pub fn advance_to(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Takes in that, of the keys under `prefix`, only `present` were there at `revision`. Returns the others.
    pub fn retain(&mut self, prefix: &str, revision: u64, present: &BTreeSet<String>) -> Vec<String> {
        let gone: Vec<String> = self
            .items
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, known)| known.revision <= revision && !present.contains(*key))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &gone {
            self.items.remove(key);
            self.removed.insert(key.clone(), revision);
        }
        self.forget();
        gone
    }

    fn forget(&mut self) {
        if self.removed.len() > REMOVED {
            let mut revisions: Vec<u64> = self.removed.values().copied().collect();
            revisions.sort_unstable();
            let oldest = revisions[revisions.len() / 2];
            self.removed.retain(|_, revision| *revision >= oldest);
        }
    }
}
