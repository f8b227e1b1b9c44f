//! Messages between the control thread and the traffic thread.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Instant};

use carob_dispatch::{fleet::DirectoryEntry, table::RoutingTable};
use prost::Message;

use crate::{
    Settings,
    era::{Position, Span},
    peer::Item,
    question::Question,
    relaying::RelayRequest,
    signals::ShutdownSignal,
};

/// Message of the control thread to the traffic thread.
#[derive(Debug)]
pub(crate) enum Update {
    /// A new configuration is in force.
    Table(Arc<RoutingTable>),
    /// The directory entry of an upstream was created or written again, at this point of the store's history.
    Entry(DirectoryEntry, Position),
    /// The directory entry with this id was removed.
    EntryRemoved(Box<str>),
    /// The failure domains that operators have taken out of service; replaces the previous ones.
    Evacuations(BTreeSet<Box<str>>),
    /// The other instances; replaces the previous list.
    Peers {
        /// Their addresses.
        addresses: Vec<SocketAddr>,
        /// Whether this instance is registered in the store, as the others are.
        registered: bool,
    },
    /// How current this instance's copy of the store's content is.
    StoreStatus(StoreStatus),
    /// Small changes of the store's content, to be passed on to the other instances.
    StoreUpdate(StoreUpdate),
    /// The settings file was changed.
    Settings(Arc<Settings>),
    /// Another instance asks for a connection to an upstream.
    Relay(RelayedConnection),
    /// An operator asks where a request would go.
    Question(Question),
    /// The process received a signal to shut down.
    Shutdown(ShutdownSignal),
}

carob_base::plain! {
    /// How current this instance's copy of the store's content is.
    pub(crate) struct StoreStatus {
        /// Point of the store's history up to which every change is known.
        pub position: Position,
        /// Whether the configuration was confirmed recently enough to be taken as current.
        pub current: bool,
        /// Whether this instance watches the store itself, and the store answers.
        pub watching: bool,
        /// Whether directory updates no longer arrive, neither from the store nor from a peer that watches
        /// it.
        pub uninformed: bool,
        /// When the store or a peer last confirmed that the content is current; `None` before the first time.
        pub confirmed: Option<Instant>,
    }
}

/// A connection of another instance that is to be forwarded to an upstream.
#[derive(Debug)]
pub(crate) struct RelayedConnection {
    /// The connection, from which `request` was read.
    pub stream: std::net::TcpStream,
    /// What the instance asks for.
    pub request: RelayRequest,
}

/// Maximum size in bytes of changes that are joined, well below that of a datagram.
const MAX_JOINED: usize = 16 << 10;

/// Changes of at most this many bytes are left out last.
const MAX_SMALL: usize = 1 << 10;

/// All changes of the store's content between two revisions of an era; if they are the same, some of the latest changes.
#[derive(Clone, Debug)]
pub(crate) struct StoreUpdate {
    /// Era of both.
    pub era: u64,
    /// Revision that the changes start from, exclusive.
    pub base: u64,
    /// Revision that the changes lead to, inclusive.
    pub revision: u64,
    /// The changed items; an item with neither a value nor a difference was removed.
    pub items: Vec<Item>,
}

impl StoreUpdate {
    /// Adds `later` changes. If some are missing between the two, they count as some of the latest: an instance that is told
    /// all of both as one would take itself to know what is missing.
    pub(crate) fn join(&mut self, later: Self) {
        if self.era != later.era {
            *self = later;
            return;
        }
        let joined = self.span().join(later.span());
        let (base, revision) = joined.map_or((later.revision, later.revision), |joined| {
            (joined.base, joined.revision)
        });
        (self.base, self.revision) = (base, revision);
        self.items.extend(later.items);
        self.shorten();
    }

    /// Leaves out what is too much for a datagram: first large changes, which are fetched otherwise, then the earliest ones.
    fn shorten(&mut self) {
        let size = |items: &[Item]| -> usize { items.iter().map(Message::encoded_len).sum() };
        if size(&self.items) <= MAX_JOINED {
            return;
        }
        self.base = self.revision;
        self.items.retain(|item| item.encoded_len() <= MAX_SMALL);
        while size(&self.items) > MAX_JOINED {
            self.items.drain(..self.items.len().div_ceil(2));
        }
    }

    const fn span(&self) -> Span {
        Span {
            era: self.era,
            base: self.base,
            revision: self.revision,
        }
    }
}

carob_base::plain! {
    /// A point of the store's history that another instance names.
    pub(crate) struct PeerPosition {
        /// Absent if the instance is of a build that knows no eras.
        pub era: Option<u64>,
        /// Revision of the store.
        pub revision: u64,
    }
}

impl PeerPosition {
    /// Returns the point as one that can be compared with those of an instance that follows the era `own`; `None` if it
    /// cannot be known which era it belongs to.
    pub(crate) fn known(self, own: u64) -> Option<Position> {
        match self.era {
            Some(era) => Some(Position::new(era, self.revision)),
            None => (own == 0).then_some(Position::new(0, self.revision)),
        }
    }
}

/// Message of the traffic thread to the control thread.
#[derive(Debug)]
pub(crate) enum Report {
    /// Another instance reported how current its copy of the store's content is.
    Peer {
        /// Address that the datagram came from.
        address: SocketAddr,
        /// Point up to which the peer knows every change. Without an era if the peer is of a build that knows
        /// none.
        reached: PeerPosition,
        /// Changes of the store's content that the peer passed on.
        update: Option<StoreUpdate>,
        /// Whether the peer watches the store itself, and the store answers.
        watching: bool,
    },
    /// The requests are answered or the grace period is over; the process may end.
    Finished,
}
