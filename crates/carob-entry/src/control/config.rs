//! Following and applying the configuration, and serving it to peers.

use std::sync::Arc;

use bytes::Bytes;
use carob_base::{Name, Time};
use carob_config::Revision;
use carob_ticket::{
    Follower, Ledger,
    follow::{self, Action},
};
use flume::Sender;

use super::{Control, stored::Component};
use crate::io::{fetch, store, watch};

/// The state machine that follows the configuration.
#[derive(Debug)]
pub struct ConfigState {
    follower: Follower,
}

impl ConfigState {
    /// The state before any configuration is known; `seed` determines the jitter.
    pub fn new(seed: u64) -> Self {
        let options = follow::Options {
            seed,
            ..follow::Options::default()
        };
        Self {
            follower: Follower::new(options),
        }
    }
}

impl Control {
    /// Passes an event to the state machine and carries out the actions that it returns.
    pub(super) fn on_config_event(&mut self, event: follow::Event, now: Time) {
        let actions = self.config.follower.step(event, now);
        for action in actions {
            match action {
                Action::Call(call) => self.call_store(Component::Config, call),
                Action::Watch { from, lifetime } => self.open_watch(from, lifetime),
                Action::FetchFromPeer { held } => self.fetch_from_peer(held),
                Action::Apply(config) => self.apply_config(config, now),
            }
        }
        // Revision 0 is the empty configuration, such as that of a new store; no request can be served by it.
        let configured = self.config.follower.config().revision > Revision::default();
        if configured && self.config.follower.is_ready() {
            self.shared.set_ready();
        }
    }

    fn apply_config(&mut self, config: Arc<carob_config::Config>, now: Time) {
        metrics::gauge!("carob_config_revision").set(config.revision.0 as f64);
        self.router.apply_config(&config, now);
        self.announce_config(&config);
        self.set_order_targets(&config);
        self.shared.set_config(config);
    }

    fn fetch_from_peer(&mut self, held: Revision) {
        let Some(peer) = self.peers.members.newer_holder(held) else {
            return;
        };
        log::info!(
            "config: requesting the configuration after {held} from the peer at {}",
            peer.address
        );
        if self.channels.fetch.send(fetch::Job { peer, held }).is_err() {
            log::debug!("control: the fetch thread has ended");
        }
    }

    /// Sends the updates that a peer with revision `held` lacks.
    pub(super) fn send_config(&self, held: Revision, reply: &Sender<Vec<Bytes>>) {
        if reply.send(self.config.follower.updates_since(held)).is_err() {
            log::debug!("control: configuration for a peer dropped, its receiver has gone");
        }
    }

    pub(super) fn send_unconfirmed(&self, revision: Revision, reply: &Sender<Vec<Name>>) {
        if reply.send(self.peers.members.unconfirmed(revision)).is_err() {
            log::debug!("control: unconfirmed instances dropped, their receiver has gone");
        }
    }

    /// Queues a store call; its result arrives as [`Event::StoreReply`](super::Event::StoreReply).
    pub(super) fn call_store(&self, component: Component, call: carob_store::Call) {
        if self.channels.store.send(store::Job { component, call }).is_err() {
            log::debug!("control: the store threads have ended");
        }
    }

    fn open_watch(&self, from: u64, lifetime: std::time::Duration) {
        if self.channels.watch.send(watch::Job { from, lifetime }).is_err() {
            log::debug!("control: the watch thread has ended");
        }
    }

    /// Hands out a copy of the ledger.
    pub(super) fn send_ledger(&self, reply: &Sender<Ledger>) {
        if reply.send(self.config.follower.ledger().clone()).is_err() {
            log::debug!("control: ledger dropped, its receiver has gone");
        }
    }
}
