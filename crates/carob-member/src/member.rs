//! State kept for each other instance.

use std::net::SocketAddr;

use carob_base::{Name, Time};
use carob_config::{Digest, Revision, short_id};
use carob_link::ReplayWindow;

use crate::event::{ListEntry, Target};

carob_base::plain! {
    /// Liveness of an instance.
    pub enum Status {
        /// Known from the instance list or a hello, but not reached yet.
        Unknown,
        /// It answers probes.
        Alive,
        /// A recent probe was not answered; the suspicion can still be refuted.
        Suspect,
        /// A suspicion was not refuted in time.
        Failed,
        /// It announced its shutdown.
        Left,
    }
}

/// Another instance, as this one knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name, unique among the instances.
    pub name: Name,
    /// Short id derived from the name.
    pub id: u32,
    /// Failure domain of the instance.
    pub domain: Name,
    /// Region of the instance.
    pub region: Name,
    /// UDP address: the source of its last datagram; unless it is alive, a newer list replaces it.
    pub address: SocketAddr,
    /// Liveness; tracked only within the own failure domain, [`Status::Unknown`] elsewhere.
    pub status: Status,
    /// Whether it serves, as of its last state.
    pub ready: bool,
    /// Whether its last state or the platform's list says that it is leaving.
    pub leaving: bool,
    /// Revision of the configuration in force there, as of its last state.
    pub revision: Revision,
    /// Digest of that configuration.
    pub digest: Digest,
    /// Start of its process, in milliseconds since 1970; 0 if it is not known.
    pub incarnation: u64,
    /// When the last datagram arrived from it; [`Time::ZERO`] before the first.
    pub last_seen: Time,
    /// Highest version of its bundles received in this incarnation.
    pub(crate) last_version: u32,
    /// Versions of its bundles received, so that duplicates are dropped.
    pub(crate) seen_versions: ReplayWindow,
    /// Its incarnation that has acknowledged this instance as known; a ping to any other one carries a hello.
    pub(crate) hello_acked: Option<u64>,
    /// Whether it is on the last instance list.
    pub(crate) listed: bool,
}

impl Member {
    pub(crate) fn new(listed: &ListEntry) -> Self {
        Self {
            id: short_id(&listed.name),
            name: listed.name.clone(),
            domain: listed.domain.clone(),
            region: listed.region.clone(),
            address: listed.address,
            status: Status::Unknown,
            ready: false,
            leaving: listed.leaving,
            revision: Revision(0),
            digest: Digest(0),
            incarnation: 0,
            last_seen: Time::ZERO,
            last_version: 0,
            seen_versions: ReplayWindow::default(),
            hello_acked: None,
            listed: true,
        }
    }

    /// Whether it is alive or only suspected.
    pub fn is_alive(&self) -> bool {
        matches!(self.status, Status::Alive | Status::Suspect)
    }

    /// The receiver of datagrams to this member.
    pub fn target(&self) -> Target {
        Target {
            id: self.id,
            address: self.address,
        }
    }

    /// Discards the state of an earlier incarnation.
    pub(crate) fn reset(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.last_version = 0;
        self.seen_versions = ReplayWindow::default();
        self.ready = false;
        self.leaving = false;
        self.revision = Revision(0);
    }
}
