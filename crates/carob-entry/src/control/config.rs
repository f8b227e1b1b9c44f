//! The configuration in force.

use std::sync::Arc;

use bytes::Bytes;
use carob_base::{Name, Time};
use carob_config::Revision;
use carob_ticket::{
    Follower, Ledger,
    follow::{self, Action},
};
use flume::Sender;

use super::{Control, stored::Part};
use crate::{
    io::{fetch, store, watch},
    shared::Phase,
};

/// This instance's view of the order of tickets.
#[derive(Debug)]
pub struct Following {
    follow: Follower,
}

impl Following {
    /// A view that knows nothing yet; `seed` draws the jitter.
    pub fn new(seed: u64) -> Self {
        let options = follow::Options {
            seed,
            ..follow::Options::default()
        };
        Self {
            follow: Follower::new(options),
        }
    }
}

impl Control {
    pub(super) fn follow(&mut self, event: follow::Event, now: Time) {
        let actions = self.config.follow.step(event, now);
        for action in actions {
            match action {
                Action::Call(call) => self.ask_store(Part::Config, call),
                Action::Watch { from, lifetime } => self.watch(from, lifetime),
                Action::FetchFromPeer { held } => self.ask_peer(held),
                Action::Apply(config) => self.apply(config, now),
            }
        }
        // An empty configuration, such as that of a new store, serves nobody.
        let configured = self.config.follow.config().revision > Revision::default();
        if configured && self.config.follow.is_ready() {
            self.shared.advance(Phase::Ready);
        }
    }

    fn apply(&mut self, config: Arc<carob_config::Config>, now: Time) {
        metrics::gauge!("carob_config_revision").set(config.revision.0 as f64);
        self.router.apply_config(&config, now);
        self.tell_applied(&config);
        self.set_order_targets(&config);
        self.shared.set_config(config);
    }

    fn ask_peer(&mut self, held: Revision) {
        let Some(peer) = self.peers.members.newer_holder(held) else {
            return;
        };
        log::info!(
            "config: asks the peer at {} for what follows {held}",
            peer.address
        );
        if self.channels.fetch.send(fetch::Job { peer, held }).is_err() {
            log::debug!("control: the fetch thread has ended");
        }
    }

    /// Answers a peer.
    pub(super) fn send_config(&self, held: Revision, reply: &Sender<Vec<Bytes>>) {
        if reply.send(self.config.follow.updates_since(held)).is_err() {
            log::debug!("control: the peer does not wait any more");
        }
    }

    pub(super) fn send_unconfirmed(&self, revision: Revision, reply: &Sender<Vec<Name>>) {
        if reply.send(self.peers.members.unconfirmed(revision)).is_err() {
            log::debug!("control: nobody waits for the names any more");
        }
    }

    /// Has a store call made; its result comes back as an event.
    pub(super) fn ask_store(&self, part: Part, call: carob_store::Call) {
        if self.channels.store.send(store::Job { part, call }).is_err() {
            log::debug!("control: the store threads have ended");
        }
    }

    fn watch(&self, from: u64, deadline: std::time::Duration) {
        if self.channels.watch.send(watch::Job { from, deadline }).is_err() {
            log::debug!("control: the watch thread has ended");
        }
    }

    /// Hands out the ledger, from which a submission starts.
    pub(super) fn send_ledger(&self, reply: &Sender<Ledger>) {
        if reply.send(self.config.follow.ledger().clone()).is_err() {
            log::debug!("control: nobody waits for the ledger any more");
        }
    }
}
