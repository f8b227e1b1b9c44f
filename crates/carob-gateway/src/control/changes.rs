//! Applies changes of the store's content that are all since the known position, or some of the latest, and passes them on.

use std::collections::HashSet;

use carob_platform::{config, store::Item};
use prost::Message;

use super::state::{Control, UNCHANGED, keep};
use crate::{
    delta::{self, Known},
    era::Position,
    update::{StoreUpdate, Update},
};

/// Maximum size of changes, in bytes, that are passed on in a datagram; instances that do not watch fetch larger ones from
/// the store or from a peer.
const MAX_UPDATE_BYTES: usize = 8 << 10;

/// The same for all instances together, to which the datagram is sent at once. A link of 10 Mbit/s takes 0.3 s for it.
const MAX_BURST_BYTES: usize = 400 << 10;

/// Part of the log lines of this module, which operators match.
const PART: &str = "carob_gateway::control::state";

carob_base::plain! {
    /// How content reaches this instance; in log lines.
    pub(super) enum Way {
        /// A read of all content of the store, or of a key.
        Read,
        /// A watch of the store, or a look at what has changed there.
        Watch,
        /// A message of another instance.
        Message,
        /// Content that another instance was asked for.
        Peer,
        /// A complete list of keys, in which others are missing.
        List,
    }
}

impl Way {
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Watch => "watch",
            Self::Message => "message",
            Self::Peer => "peer",
            Self::List => "list",
        }
    }
}

impl Control {
    /// Applies `changes`, which are all those from the known position to `reached`. If they were seen by watching, they are
    /// passed on to the other instances, as far as they fit into a datagram.
    pub(super) fn apply_changes(&self, changes: Vec<Item>, reached: Position, way: Way) {
        // Changes that no instance reads bring the others to the same position, too.
        let has_changes = !changes.is_empty();
        let items: Vec<Item> = changes.into_iter().filter_map(keep).collect();
        let before = self.position();
        let is_next = before.revision > 0 && before.era == reached.era && before < reached;
        if is_next && self.watching.get() && has_changes {
            self.pass_on(&items, before, reached);
        }
        self.apply(items, reached, way);
    }

    /// Applies `changes` that were seen by watching some keys, and passes them on; earlier ones of other keys may be missing.
    pub(super) fn apply_some(&self, changes: Vec<Item>, era: u64, way: Way) {
        let own = self.position();
        let is_new = |item: &Item| {
            let mirror = self.mirror.borrow();
            item.revision > own.revision
                && mirror
                    .get(&item.key)
                    .is_none_or(|known| known.position < Position::new(era, item.revision))
        };
        let items: Vec<Item> = changes.into_iter().filter_map(keep).filter(is_new).collect();
        if items.is_empty() {
            return;
        }
        if self.watching.get() {
            self.pass_on(&items, own, own);
        }
        self.apply(items, Position::new(era, UNCHANGED), way);
    }

    /// Records that every change up to `reached` is known, and passes on what has changed since the known position: some of
    /// it may have been lost when it was passed on for itself.
    pub(super) fn advance(&self, reached: Position) {
        let before = self.position();
        if reached <= before {
            return;
        }
        let changes = self.mirror.borrow().changes(before, reached);
        if self.watching.get() {
            let items: Vec<Item> = changes
                .into_iter()
                .map(|(key, position, value)| Item {
                    key,
                    revision: position.revision,
                    value,
                })
                .collect();
            self.pass_on(&items, before, reached);
        }
        self.mirror.borrow_mut().advance_to(reached);
        self.send_status();
    }

    /// Revision at which the known configuration was written; zero if there is none.
    pub(super) fn config_revision(&self) -> u64 {
        let mirror = self.mirror.borrow();
        mirror.get(config::KEY).map_or(0, |item| item.position.revision)
    }

    /// Keeps the known configuration if `item` has a newer one, or that in it.
    pub(super) fn keep_former(&self, item: &Item) {
        let known = self.value(config::KEY);
        let former = if item.revision > self.config_revision() {
            known
        } else {
            item.value.clone().filter(|value| known.as_ref() != Some(value))
        };
        if let Some(former) = former {
            self.former_configs.borrow_mut().insert(former);
        }
    }

    /// Values of a key that other instances may pass differences of, the newest first.
    pub(super) fn known_values(&self, key: &str) -> Known {
        let mut known: Known = self.value(key).into_iter().collect();
        if key == config::KEY {
            known.extend(self.former_configs.borrow().iter().cloned());
        }
        known
    }

    /// Passes `items`, which are all changes from `before` to `reached`, on to the other instances. What is too large for a
    /// datagram is left out; the rest does not wait for it.
    fn pass_on(&self, items: &[Item], before: Position, reached: Position) {
        let mut last = HashSet::new();
        // Of a key that changed several times the last value counts.
        let newest = items.iter().rev().filter(|item| last.insert(item.key.as_str()));
        let mut items: Vec<_> = newest
            .cloned()
            .map(|item| {
                let known = self.value(&item.key);
                delta::encode(item, known.as_deref())
            })
            .collect();
        items.reverse();
        let most = MAX_UPDATE_BYTES.min(MAX_BURST_BYTES / self.instance_count() as usize);
        let (mut bytes, count) = (0, items.len());
        items.retain(|item| {
            let size = item.encoded_len();
            let fits = bytes + size <= most;
            bytes += if fits { size } else { 0 };
            fits
        });
        let is_whole = items.len() == count;
        if !is_whole {
            log::info!(
                target: PART, bytes, left_out = count - items.len(), base = before.revision, revision = reached.revision;
                "changes too large to be passed on"
            );
        }
        self.send(Update::StoreUpdate(StoreUpdate {
            era: reached.era,
            base: if is_whole {
                before.revision
            } else {
                reached.revision
            },
            revision: reached.revision,
            items,
        }));
    }
}
