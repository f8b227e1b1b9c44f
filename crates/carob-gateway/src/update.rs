//! Messages between the control thread and the traffic thread.

use std::{net::SocketAddr, sync::Arc};

use carob_dispatch::{fleet::DirectoryEntry, table::RoutingTable};
use carob_platform::store::Item;

use crate::Settings;

/// What the control thread tells the traffic thread.
#[derive(Debug)]
pub(crate) enum Update {
    /// A configuration is in force.
    Table(Arc<RoutingTable>),
    /// An upstream's entry is new or was written again.
    Entry(DirectoryEntry),
    /// An upstream's entry was removed.
    Removed(Box<str>),
    /// The other instances.
    Peers(Vec<SocketAddr>),
    /// The revision up to which the store's content is known, and whether store or peers were heard of lately.
    Known {
        /// Revision of the store.
        revision: u64,
        /// Whether the configuration can be taken as current.
        current: bool,
        /// Whether this instance watches the store itself, and the store answers.
        watching: bool,
        /// Whether news of upstreams does not come: neither the store nor one that watches it was heard.
        blind: bool,
    },
    /// Small changes of the store's content, for the other instances.
    News(News),
    /// The settings file was changed.
    Settings(Arc<Settings>),
    /// The process was asked to leave.
    Leave,
}

/// Changes of the store's content.
#[derive(Clone, Debug)]
pub(crate) struct News {
    /// Revision after which these are all the changes.
    pub before: u64,
    /// Revision up to which they are.
    pub revision: u64,
    /// The changes.
    pub items: Vec<Item>,
}

/// What the traffic thread tells the control thread.
#[derive(Debug)]
pub(crate) enum Report {
    /// An instance says that it knows the store's content up to this revision.
    Peer {
        /// Its address.
        address: SocketAddr,
        /// The revision.
        revision: u64,
        /// Changes that it passed on.
        news: Option<News>,
        /// Whether it watches the store itself.
        watching: bool,
    },
    /// Every request is answered; the process may end.
    Finished,
}
