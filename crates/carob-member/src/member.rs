//! What is known of one instance.

use std::net::SocketAddr;

use carob_base::{Name, Time};
use carob_config::{Digest, Revision, short_id};
use carob_link::Window;

use crate::event::{ListEntry, Target};

carob_base::plain! {
    /// Whether an instance is alive.
    pub enum Status {
        /// It is on the list; nothing was heard of it yet.
        Unknown,
        /// It answers.
        Alive,
        /// It did not answer lately.
        Suspect,
        /// It counts as failed.
        Failed,
        /// It has shut down.
        Left,
    }
}

/// What is known of one instance.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name.
    pub name: Name,
    /// Short id of the name.
    pub id: u32,
    /// Failure domain.
    pub domain: Name,
    /// Region.
    pub region: Name,
    /// Address for datagrams.
    pub address: SocketAddr,
    /// Whether it is alive. Known only within the own failure domain.
    pub status: Status,
    /// Whether it serves, as it said last.
    pub ready: bool,
    /// Whether it, or the platform's list, says that it is leaving.
    pub leaving: bool,
    /// Revision in force there, as it said last.
    pub revision: Revision,
    /// Digest of that configuration.
    pub digest: Digest,
    /// Start of its process, in milliseconds since 1970; 0 if it is not known.
    pub incarnation: u64,
    /// When something was last received from it directly.
    pub last_seen: Time,
    /// Its last bundle.
    pub(crate) last_version: u32,
    /// The bundles that were received.
    pub(crate) seen_versions: Window,
    /// Its incarnation that knows who this instance is.
    pub(crate) hello_acked: Option<u64>,
    /// Whether it is on the platform's list.
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
            seen_versions: Window::default(),
            hello_acked: None,
            listed: true,
        }
    }

    /// Whether it answers, or did until very lately.
    pub fn is_alive(&self) -> bool {
        matches!(self.status, Status::Alive | Status::Suspect)
    }

    /// Where datagrams for it go.
    pub fn target(&self) -> Target {
        Target {
            id: self.id,
            address: self.address,
        }
    }

    /// Forgets what belonged to an earlier incarnation.
    pub(crate) fn reset(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.last_version = 0;
        self.seen_versions = Window::default();
        self.ready = false;
        self.leaving = false;
        self.revision = Revision(0);
    }
}
