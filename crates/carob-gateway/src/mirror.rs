//! This instance's copy of the store's content.
//!
//! Content comes from full reads, from watches and from other instances that are further ahead. All of it is
//! merged here: an older item never replaces a newer one, whatever the order in which they arrive. Items of a later
//! era are newer than all of an earlier one, also at lower revisions.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

use crate::era::Position;

/// A value with the point of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// Point in the store's history at which the key last changed.
    pub position: Position,
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
    position: Position,
    items: BTreeMap<String, Versioned>,
    /// Points at which keys were removed, so that a late read of an older item does not bring it back.
    tombstones: BTreeMap<String, Position>,
    /// Point of the latest complete list of keys, by prefix. A key that was not in it has no tombstone if it was not known
    /// before either.
    lists: BTreeMap<String, Position>,
}

/// Maximum number of tombstones; far more keys than are removed within the history that the store keeps.
const MAX_TOMBSTONES: usize = 2_000;

impl Mirror {
    /// Creates an empty mirror at the start of the history.
    pub fn new() -> Self {
        Self::default()
    }

    /// The point up to which every change is known; [`Position::START`] before the first read.
    pub const fn position(&self) -> Position {
        self.position
    }

    /// Iterates over the items in the order of their keys.
    pub fn items(&self) -> impl Iterator<Item = (&str, &Versioned)> {
        self.items.iter().map(|(key, item)| (key.as_str(), item))
    }

    /// The item with this key.
    pub fn get(&self, key: &str) -> Option<&Versioned> {
        self.items.get(key)
    }

    /// The latest change of each key after `before` and up to `reached`, with its value unless it was removed.
    pub fn changes(&self, before: Position, reached: Position) -> Vec<(String, Position, Option<Bytes>)> {
        let is_between = |position: Position| before < position && position <= reached;
        let items = self.items.iter();
        let set = items.map(|(key, item)| (key, item.position, Some(item.value.clone())));
        let removed = self
            .tombstones
            .iter()
            .map(|(key, position)| (key, *position, None));
        set.chain(removed)
            .filter(|(_, position, _)| is_between(*position))
            .map(|(key, position, value)| (key.clone(), position, value))
            .collect()
    }

    /// Applies one change; `value` is absent if the key was removed. Returns its effect, or `None` if it is
    /// not newer than what is known or leaves the value as it was.
    pub fn apply(&mut self, key: &str, position: Position, value: Option<Bytes>) -> Option<Change> {
        let newest = match self.items.get(key) {
            Some(item) => Some(item.position),
            None => self.tombstones.get(key).copied().max(self.listed_at(key)),
        };
        if newest.is_some_and(|newest| newest >= position) {
            return None;
        }
        let Some(value) = value else {
            self.tombstones.insert(key.to_owned(), position);
            self.evict_tombstones();
            return self.items.remove(key).map(|_| Change::Removed);
        };
        self.tombstones.remove(key);
        let item = Versioned { position, value };
        let before = self.items.insert(key.to_owned(), item.clone());
        (before.is_none_or(|before| before.value != item.value)).then_some(Change::Set(item))
    }

    /// Records that every change up to `position` has been applied; an earlier point has no effect.
    pub fn advance_to(&mut self, position: Position) {
        self.position = self.position.max(position);
    }

    /// The point of the latest complete list that `key` was in or could have been in.
    fn listed_at(&self, key: &str) -> Option<Position> {
        let lists = self
            .lists
            .iter()
            .filter(|(prefix, _)| key.starts_with(prefix.as_str()));
        lists.map(|(_, position)| *position).max()
    }

    /// Removes the keys under `prefix` that are not in `present`, the complete list of keys there at
    /// `position`. Keys that changed after it are kept. Returns the removed keys.
    ///
    /// The items of the list have to be applied before: later, those that are not known count as removed.
    pub fn retain(&mut self, prefix: &str, position: Position, present: &BTreeSet<String>) -> Vec<String> {
        let gone: Vec<String> = self
            .items
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, item)| item.position <= position && !present.contains(*key))
            .map(|(key, _)| key.clone())
            .collect();
        let list = self.lists.entry(prefix.to_owned()).or_default();
        *list = position.max(*list);
        for key in &gone {
            self.items.remove(key);
            self.tombstones.insert(key.clone(), position);
        }
        self.evict_tombstones();
        gone
    }

    /// Drops the older half of the tombstones once there are too many.
    fn evict_tombstones(&mut self) {
        if self.tombstones.len() > MAX_TOMBSTONES {
            let mut positions: Vec<Position> = self.tombstones.values().copied().collect();
            positions.sort_unstable();
            let oldest = positions[positions.len() / 2];
            self.tombstones.retain(|_, position| *position >= oldest);
        }
    }
}
