//! Keeps an instance's configuration up to date.
//!
//! This is a pure state machine. Elected instances watch the head. Every instance also reads it again at long
//! intervals, since a watch can stop reporting without an error. When a peer holds a higher revision, the
//! updates in between are fetched from it: so a few watches per failure domain are enough, and an instance
//! that starts while the store is down gets its configuration from peers. A lower revision is never applied,
//! whatever its source.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use carob_base::Time;
use carob_config::{Config, Revision};
use carob_store::{Backoff, Call, Change, Entry, Failure, Reply, WatchEvent};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use smallvec::SmallVec;

use crate::{
    head::{ApplyError, HEAD_KEY, Head, SNAPSHOT_KEY},
    ledger::Ledger,
};

/// Timing of watches, reads and fetches.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Lifetime of one watch, which bounds how long an unresponsive one goes unnoticed. Default: 5 s.
    pub watch_lifetime: Duration,
    /// Maximum time between two reads of the head; each interval is drawn from 50 % to 100 % of it, so that
    /// instances do not all read at the same time. Default: 10 min.
    pub reread_interval: Duration,
    /// Minimum time between two fetches from peers. Default: 500 ms.
    pub fetch_interval: Duration,
    /// Seed of the jitter. It must differ between instances, or all retry and read at the same time.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            watch_lifetime: Duration::from_secs(5),
            reread_interval: Duration::from_mins(10),
            fetch_interval: Duration::from_millis(500),
            seed: 0,
        }
    }
}

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; to be sent about every 100 ms.
    Tick,
    /// The result of the call in the last [`Action::Call`].
    StoreReplied(Result<Reply, Failure>),
    /// The watch reported changes, or that the store has compacted them away.
    WatchReported(WatchEvent),
    /// The watch has ended, with the store revision at which the next one starts, or could not be opened.
    WatchEnded(Result<u64, Failure>),
    /// The highest revision of any live peer, according to membership.
    PeerRevision(Revision),
    /// A peer answered [`Action::FetchFromPeer`] with values from [`Follower::updates_since`].
    PeerReplied(Vec<Bytes>),
    /// Whether this instance is elected to watch the store for its failure domain.
    Watcher(bool),
}

/// A request to the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make this call and feed back [`Event::StoreReplied`].
    Call(Call),
    /// Watch the key [`HEAD_KEY`].
    Watch {
        /// First store revision to report.
        from: u64,
        /// Time after which the driver ends the watch.
        lifetime: Duration,
    },
    /// Request the updates after `held` from a peer that has a higher revision.
    FetchFromPeer {
        /// Revision of this instance.
        held: Revision,
    },
    /// Put this configuration in force.
    Apply(Arc<Config>),
}

/// The actions of one step.
pub type Actions = SmallVec<[Action; 2]>;

carob_base::plain! {
    /// How far start-up has come; the order of the variants is the order of progress.
    enum SyncState {
        /// Neither the store nor a peer has supplied a configuration yet.
        Unsynced,
        /// A configuration is in force, but at least one live peer has a higher revision.
        Behind,
        /// The configuration has been as new as that of every live peer at least once.
        Ready,
    }
}

/// One instance's copy of the ticket order and its progress in catching up.
#[derive(Debug)]
pub struct Follower {
    options: Options,
    backoff: Backoff,
    rng: SmallRng,
    ledger: Ledger,
    head: Head,
    state: SyncState,
    /// The highest revision of any live peer.
    peer_revision: Revision,
    /// Whether this instance is elected to watch the store.
    is_watcher: bool,
    /// Whether a watch is open.
    watching: bool,
    /// Store revision at which the next watch starts; `None` before the first read.
    watch_from: Option<u64>,
    /// Whether a call to the store is in progress.
    calling: bool,
    next_read: Time,
    next_watch: Time,
    next_fetch: Time,
}

impl Follower {
    /// A follower without a configuration that watches the store until [`Event::Watcher`] says otherwise.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            backoff: Backoff::new(options.seed),
            rng: SmallRng::seed_from_u64(options.seed),
            ledger: Ledger::new(),
            head: Head::default(),
            state: SyncState::Unsynced,
            peer_revision: Revision(0),
            is_watcher: true,
            watching: false,
            watch_from: None,
            calling: false,
            next_read: Time::ZERO,
            next_watch: Time::ZERO,
            next_fetch: Time::ZERO,
        }
    }

    /// The configuration in force here.
    pub fn config(&self) -> &Arc<Config> {
        self.ledger.config()
    }

    /// The ledger, a starting point for a [`Submission`](crate::Submission).
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Whether this instance may serve requests: its configuration has been as new as that of every live peer
    /// at least once. It does not become unready again when a peer gets ahead.
    pub fn is_ready(&self) -> bool {
        self.state == SyncState::Ready
    }

    /// The encoded head or snapshot that brings a peer at revision `held` up to date. Empty if this instance has
    /// no higher revision.
    pub fn updates_since(&self, held: Revision) -> Vec<Bytes> {
        if self.state == SyncState::Unsynced || self.ledger.revision() <= held {
            return Vec::new();
        }
        match self.head.entries_after(held) {
            Some(head) => vec![head.to_bytes()],
            None => vec![self.ledger.to_bytes()],
        }
    }

    /// Processes `event` at time `now`.
    pub fn step(&mut self, event: Event, now: Time) -> Actions {
        let mut actions = Actions::new();
        match event {
            Event::Tick => {}
            Event::StoreReplied(result) => self.on_store_reply(result, now, &mut actions),
            Event::WatchReported(event) => self.on_watch_report(event, now, &mut actions),
            Event::WatchEnded(end) => self.on_watch_ended(end, now),
            Event::PeerRevision(revision) => self.peer_revision = revision,
            Event::PeerReplied(values) => self.on_peer_reply(&values, &mut actions),
            Event::Watcher(watcher) => self.is_watcher = watcher,
        }
        if self.state == SyncState::Behind && !self.is_behind_peer() {
            self.state = SyncState::Ready;
        }
        self.poll(now, &mut actions);
        actions
    }

    /// Starts every read, watch and fetch that is due.
    fn poll(&mut self, now: Time, actions: &mut Actions) {
        if !self.calling && now >= self.next_read {
            self.call(HEAD_KEY, actions);
        }
        if let Some(from) = self.watch_from
            && self.is_watcher
            && !self.watching
            && now >= self.next_watch
        {
            self.watching = true;
            let lifetime = self.options.watch_lifetime;
            actions.push(Action::Watch { from, lifetime });
        }
        if self.is_behind_peer() && now >= self.next_fetch {
            self.next_fetch = now + self.options.fetch_interval;
            let held = self.ledger.revision();
            actions.push(Action::FetchFromPeer { held });
        }
    }

    fn is_behind_peer(&self) -> bool {
        self.peer_revision > self.ledger.revision()
    }

    fn call(&mut self, key: &'static [u8], actions: &mut Actions) {
        self.calling = true;
        let key = Bytes::from_static(key);
        actions.push(Action::Call(Call::Get { key }));
    }

    fn on_store_reply(&mut self, result: Result<Reply, Failure>, now: Time, actions: &mut Actions) {
        self.calling = false;
        let Ok(Reply::Entries { entries, revision }) = result else {
            self.next_read = now + self.backoff.next_delay();
            return;
        };
        self.backoff.reset();
        self.next_read = now
            + self
                .options
                .reread_interval
                .mul_f64(self.rng.random_range(0.5..1.0));
        match entries.first() {
            Some(entry) if entry.key == SNAPSHOT_KEY => {
                self.read_snapshot(&entry.value, actions);
                // The head may contain tickets after the snapshot.
                self.next_read = now;
            }
            Some(entry) => {
                self.watch_from = Some(revision + 1);
                self.read_head(entry, now, actions);
            }
            None => {
                self.watch_from = Some(revision + 1);
                self.on_empty_store(actions);
            }
        }
    }

    fn on_watch_report(&mut self, event: WatchEvent, now: Time, actions: &mut Actions) {
        let changes = match event {
            WatchEvent::Changes(changes) => changes,
            WatchEvent::Compacted => {
                self.next_read = now;
                return;
            }
        };
        for change in changes {
            match change {
                Change::Put(entry) => {
                    self.watch_from = self.watch_from.max(Some(entry.revision + 1));
                    self.read_head(&entry, now, actions);
                }
                Change::Deleted(_) => log::error!("config: the head was deleted from the store; holding on"),
            }
        }
    }

    fn on_watch_ended(&mut self, end: Result<u64, Failure>, now: Time) {
        self.watching = false;
        match end {
            Ok(from) => {
                self.watch_from = self.watch_from.max(Some(from));
                self.next_watch = now;
            }
            Err(_) => self.next_watch = now + self.backoff.next_delay(),
        }
    }

    fn on_empty_store(&mut self, actions: &mut Actions) {
        if self.ledger.revision() > Revision(0) || self.is_behind_peer() {
            log::error!("config: the store is empty; keeping {}", self.ledger.revision());
            return;
        }
        if self.state == SyncState::Unsynced {
            self.emit_apply(actions);
        }
    }

    fn read_head(&mut self, entry: &Entry, now: Time, actions: &mut Actions) {
        let head = match Head::from_bytes(&entry.value) {
            Ok(head) => head,
            Err(error) => return log::error!("config: the head cannot be read: {error}"),
        };
        if self.apply_head(head, actions) == Err(ApplyError::Gap) {
            if self.calling {
                self.next_read = now;
            } else {
                self.call(SNAPSHOT_KEY, actions);
            }
        }
    }

    fn apply_head(&mut self, head: Head, actions: &mut Actions) -> Result<(), ApplyError> {
        if head.revision() < self.ledger.revision() {
            log::warn!(
                "config: {} is below {}; ignored",
                head.revision(),
                self.ledger.revision()
            );
            return Ok(());
        }
        let before = self.ledger.revision();
        let result = head.apply_to(&mut self.ledger);
        if let Err(error) = &result {
            log::warn!("config: stays at {}: {error}", self.ledger.revision());
        } else {
            self.head = head;
        }
        if self.ledger.revision() > before || (result.is_ok() && self.state == SyncState::Unsynced) {
            self.emit_apply(actions);
        }
        result
    }

    fn read_snapshot(&mut self, value: &[u8], actions: &mut Actions) {
        let ledger = match Ledger::from_bytes(value) {
            Ok(ledger) => ledger,
            Err(error) => return log::error!("config: the snapshot cannot be read: {error}"),
        };
        if ledger.revision() > self.ledger.revision() {
            self.head = Head {
                snapshot_revision: ledger.revision(),
                ..Head::default()
            };
            self.ledger = ledger;
            self.emit_apply(actions);
        }
    }

    fn on_peer_reply(&mut self, values: &[Bytes], actions: &mut Actions) {
        for value in values {
            match Head::from_bytes(value) {
                Ok(head) => {
                    // After an error the next fetch requests the updates after the revision reached here.
                    let _result = self.apply_head(head, actions);
                }
                Err(_) => self.read_snapshot(value, actions),
            }
        }
    }

    fn emit_apply(&mut self, actions: &mut Actions) {
        self.state = self.state.max(SyncState::Behind);
        let config = self.config();
        log::info!("config: {} in force, digest {}", config.revision, config.digest());
        actions.push(Action::Apply(Arc::clone(config)));
    }
}
