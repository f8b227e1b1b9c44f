//! Snapshots for operators.

use carob_base::Time;
use carob_config::{Digest, Revision};
use carob_member::{Member, Traffic};
use flume::Sender;

use super::Control;

/// A snapshot of an instance for operators.
#[derive(Clone, Debug)]
pub struct Status {
    /// Revision of the configuration in force.
    pub revision: Revision,
    /// Its digest.
    pub digest: Digest,
    /// Requests in progress.
    pub requests: usize,
    /// Changes to claims that are not stored yet.
    pub claims: usize,
    /// The other instances, in the order of their names.
    pub members: Vec<Member>,
    /// Datagrams and bytes that this instance has sent to the others.
    pub traffic: Traffic,
    /// Queues and upstreams.
    pub route: carob_route::status::Status,
}

impl Control {
    pub(super) fn send_status(&self, reply: &Sender<Status>, now: Time) {
        let config = self.shared.config();
        let status = Status {
            revision: config.revision,
            digest: config.digest(),
            requests: self.requests.len(),
            claims: self.claims.pending(),
            members: self.peers.sorted(),
            traffic: self.peers.members.traffic(),
            route: self.router.status(now),
        };
        if reply.send(status).is_err() {
            log::debug!("control: status dropped, its receiver has gone");
        }
    }
}
