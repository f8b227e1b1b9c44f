//! The configuration with what is needed to answer tickets.

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

/// Accepted tickets whose answer is kept for repeated submissions.
pub const MAX_RECENT: usize = 2_048;
/// Removed objects whose last ticket number is kept one by one.
pub const MAX_TOMBSTONES: usize = 2_048;

carob_base::plain! {
    /// Answer to an accepted ticket.
    pub struct Accepted {
        /// The ticket's number.
        pub number: u64,
        /// Revision that the ticket made.
        pub revision: Revision,
        /// Digest of the ticket's canonical text.
        pub digest: u64,
    }
}

/// Why a ticket is refused. A refused ticket changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The number belongs to a ticket with another content.
    #[error("number {number} belongs to another ticket, which made {revision}")]
    Reused {
        /// The number.
        number: u64,
        /// Revision that the other ticket made.
        revision: Revision,
    },
    /// A newer ticket has set one of the objects.
    #[error("{object} was set by ticket {by}, which is not older than ticket {number}")]
    Superseded {
        /// The refused ticket's number.
        number: u64,
        /// The object.
        object: String,
        /// Number of the ticket that set it last.
        by: u64,
    },
    /// The configuration would not fit together.
    #[error("{object}: {reason}")]
    Unfit {
        /// The object.
        object: String,
        /// What does not fit.
        reason: String,
    },
    /// The store holds an older configuration than this instance, or none: it was restored or emptied.
    #[error("the store holds {stored}, this instance {held}; the store has lost accepted tickets")]
    StoreBehind {
        /// Revision in the store.
        stored: Revision,
        /// Revision that the instance holds.
        held: Revision,
    },
}

/// The configuration, the last ticket of each object, and the answers to recent tickets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    /// The configuration.
    pub(crate) config: Arc<Config>,
    /// Number of the last ticket of each object, removed ones included.
    pub(crate) numbers: BTreeMap<ObjectId, u64>,
    /// Number up to which tickets for objects without an entry in `numbers` are refused.
    pub(crate) floor: u64,
    /// Accepted tickets, oldest first.
    pub(crate) recent: VecDeque<Accepted>,
}

impl Ledger {
    /// The empty configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// The configuration.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// The configuration's revision.
    pub fn revision(&self) -> Revision {
        self.config.revision
    }

    /// The answer to the accepted ticket `number`, if it is recent.
    pub fn accepted(&self, number: u64) -> Option<Accepted> {
        self.recent.iter().rev().find(|a| a.number == number).copied()
    }

    /// Applies `ticket`; a repeated ticket has its first answer and changes nothing.
    ///
    /// # Errors
    ///
    /// Returns the [`Refusal`]; the ledger is unchanged then.
    pub fn apply(&mut self, ticket: &Ticket) -> Result<Accepted, Refusal> {
        let digest = ticket.digest();
        if let Some(answer) = self.accepted(ticket.number) {
            if answer.digest == digest {
                return Ok(answer);
            }
            return Err(Refusal::Reused {
                number: answer.number,
                revision: answer.revision,
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
        self.note(ticket, accepted);
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

    fn note(&mut self, ticket: &Ticket, accepted: Accepted) {
        for change in &ticket.changes {
            self.numbers.insert(change.object(), ticket.number);
        }
        self.recent.push_back(accepted);
        while self.recent.len() > MAX_RECENT {
            self.recent.pop_front();
        }
        if ticket.changes.iter().any(Change::is_removal) {
            self.forget_tombstones();
        }
    }

    /// Replaces the oldest tombstones beyond the limit by a floor for all objects without an entry.
    fn forget_tombstones(&mut self) {
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
