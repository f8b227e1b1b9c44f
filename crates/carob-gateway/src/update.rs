//! Messages between the control thread and the traffic thread.

use std::{net::SocketAddr, sync::Arc};

use carob_dispatch::{fleet::Entry, table::Table};

use crate::Settings;

/// What the control thread tells the traffic thread.
#[derive(Debug)]
pub(crate) enum Update {
    /// A configuration is in force.
    Table(Arc<Table>),
    /// An upstream's entry is new or was written again.
    Entry(Entry),
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
    },
    /// The settings file was changed.
    Settings(Arc<Settings>),
    /// The process was asked to leave.
    Leave,
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
        /// Whether it heard of the store lately.
        current: bool,
    },
    /// Every request is answered; the process may end.
    Finished,
}
