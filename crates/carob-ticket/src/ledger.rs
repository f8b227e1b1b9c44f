//! The configuration with the state that is needed to accept or refuse further tickets.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use carob_base::Name;
use carob_config::{Config, Revision};

use crate::{
    check,
    ticket::{Change, ObjectId, Ticket},
};

/// Maximum number of accepted tickets whose result is kept to answer repeated submissions.
pub const MAX_RECENT: usize = 2_048;
/// Maximum number of removed objects whose last ticket number is kept; older ones are covered by the floor.
pub const MAX_TOMBSTONES: usize = 2_048;

carob_base::plain! {
    /// Result of an accepted ticket.
    pub struct Accepted {
        /// The ticket's number.
        pub number: u64,
        /// Revision of the configuration after the ticket.
        pub revision: Revision,
        /// Digest of the ticket's canonical text.
        pub digest: u64,
    }
}

/// Why a ticket is refused. A refused ticket changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The number belongs to an accepted ticket with different content.
    #[error("number {number} belongs to another ticket, which made {revision}")]
    Reused {
        /// Number of both tickets.
        number: u64,
        /// Revision of the configuration after the accepted ticket.
        revision: Revision,
    },
    /// A ticket with the same or a higher number has set or removed one of the objects.
    #[error("{object} was set by ticket {by}, which is not older than ticket {number}")]
    Superseded {
        /// The refused ticket's number.
        number: u64,
        /// Kind and name of the object.
        object: String,
        /// Number of the last ticket that changed it, or the floor if that ticket is no longer recorded.
        by: u64,
    },
    /// The ticket would make the configuration invalid.
    #[error("{object}: {reason}")]
    Unfit {
        /// Kind and name of the object.
        object: String,
        /// What is invalid.
        reason: String,
    },
    /// The store holds an older configuration than this instance, or none: it was restored from a backup or
    /// emptied.
    #[error("the store holds {stored}, this instance {held}; the store has lost accepted tickets")]
    StoreBehind {
        /// Revision in the store.
        stored: Revision,
        /// Revision of the instance.
        held: Revision,
    },
}

/// The configuration, the last ticket number of each object, and the results of recent tickets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    pub(crate) config: Arc<Config>,
    /// Number of the last ticket of each object, removed ones included.
    pub(crate) numbers: BTreeMap<ObjectId, u64>,
    /// Highest ticket number that is refused for objects without an entry in `numbers`.
    pub(crate) floor: u64,
    /// Results of the last accepted tickets, oldest first.
    pub(crate) recent: VecDeque<Accepted>,
}

impl Ledger {
    /// A ledger with the empty configuration, revision 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// The configuration after the last applied ticket.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// The configuration's revision.
    pub fn revision(&self) -> Revision {
        self.config.revision
    }

    /// The result of the accepted ticket `number`, if it is among the last [`MAX_RECENT`].
    pub fn accepted(&self, number: u64) -> Option<Accepted> {
        self.recent
            .iter()
            .rev()
            .find(|accepted| accepted.number == number)
            .copied()
    }

    /// Applies `ticket`. A ticket that was accepted before changes nothing and returns its first result.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`]; the ledger is then unchanged.
    pub fn apply(&mut self, ticket: &Ticket) -> Result<Accepted, Refusal> {
        let digest = ticket.digest();
        if let Some(earlier) = self.accepted(ticket.number) {
            if earlier.digest == digest {
                return Ok(earlier);
            }
            return Err(Refusal::Reused {
                number: earlier.number,
                revision: earlier.revision,
            });
        }
        self.check_numbers(ticket)?;
        let mut config = Config::clone(&self.config);
        config.revision = Revision(config.revision.0 + 1);
        ticket.changes.iter().for_each(|change| set(&mut config, change));
        check::config(&config)?;
        let accepted = Accepted {
            number: ticket.number,
            revision: config.revision,
            digest,
        };
        self.config = Arc::new(config);
        self.record(ticket, accepted);
        Ok(accepted)
    }

    fn check_numbers(&self, ticket: &Ticket) -> Result<(), Refusal> {
        for change in &ticket.changes {
            let object = change.object();
            let by = self.numbers.get(&object).copied().unwrap_or(self.floor);
            if ticket.number <= by {
                return Err(Refusal::Superseded {
                    number: ticket.number,
                    object: object.to_string(),
                    by,
                });
            }
        }
        Ok(())
    }

    fn record(&mut self, ticket: &Ticket, accepted: Accepted) {
        for change in &ticket.changes {
            self.numbers.insert(change.object(), ticket.number);
        }
        self.recent.push_back(accepted);
        while self.recent.len() > MAX_RECENT {
            self.recent.pop_front();
        }
        if ticket.changes.iter().any(Change::is_removal) {
            self.evict_tombstones();
        }
    }

    /// Evicts the tombstones with the lowest numbers beyond [`MAX_TOMBSTONES`] and raises the floor to cover
    /// them.
    fn evict_tombstones(&mut self) {
        let config = &self.config;
        let mut tombstones: Vec<_> = self
            .numbers
            .iter()
            .filter(|(object, _)| !exists(config, object))
            .map(|(object, number)| (*number, object.clone()))
            .collect();
        let Some(excess) = tombstones.len().checked_sub(MAX_TOMBSTONES) else {
            return;
        };
        tombstones.sort_unstable();
        for (number, object) in tombstones.into_iter().take(excess) {
            self.numbers.remove(&object);
            self.floor = self.floor.max(number);
        }
    }
}

fn exists(config: &Config, ObjectId(kind, name): &ObjectId) -> bool {
    use crate::ticket::ObjectKind;
    match kind {
        ObjectKind::Service => config.services.contains_key(name),
        ObjectKind::Account => config.accounts.contains_key(name),
        ObjectKind::Route => config.routes.contains_key(name),
        ObjectKind::Upstream => config.upstreams.contains_key(name),
    }
}

/// Sets or removes the object of `change`.
pub(crate) fn set(config: &mut Config, change: &Change) {
    match change {
        Change::Service(name, state) => put(&mut config.services, name, state.as_ref()),
        Change::Account(name, state) => put(&mut config.accounts, name, state.as_ref()),
        Change::Route(name, state) => put(&mut config.routes, name, state.as_ref()),
        Change::Upstream(name, state) => put(&mut config.upstreams, name, state.as_ref()),
    }
}

fn put<T: Clone>(objects: &mut BTreeMap<Name, T>, name: &Name, state: Option<&T>) {
    match state {
        Some(state) => objects.insert(name.clone(), state.clone()),
        None => objects.remove(name),
    };
}
