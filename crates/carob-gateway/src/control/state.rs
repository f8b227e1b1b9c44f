//! What the control thread knows, and how it becomes known to the traffic thread.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use carob_platform::{config, directory, store::Item};
use flume::Sender;
use tokio::{sync::Notify, time::Instant};

use super::watchers::Watchers;

use crate::{
    Change, Lag, Mirror, Settings,
    reach::{MIN_OUTAGE, Reachability},
    update::{News, Update},
};

/// Prefix of the keys under which instances make themselves known.
pub(super) const INSTANCES: &str = "carobhaven/instances/";

/// Everything this instance reads of the store.
pub(super) const PREFIXES: [&str; 3] = [config::PREFIX, directory::PREFIX, INSTANCES];

/// Bytes of values that are passed on in a datagram; larger changes are asked for over a connection.
const NEWS: usize = 8 << 10;

/// How long a configuration can be taken as current without a word from store or peers: two watches.
const CURRENT: Duration = Duration::from_millis(4_500);

/// The control thread's state.
pub(super) struct Control {
    updates: Sender<Update>,
    settings: RefCell<Arc<Settings>>,
    mirror: RefCell<Mirror>,
    /// Version of the configuration in force.
    version: Cell<u64>,
    /// Whether the store can be reached.
    reach: RefCell<Reachability>,
    /// When the store or a peer last confirmed what is known.
    confirmed: Cell<Instant>,
    /// Entries that were removed around an outage and may come back.
    absent: RefCell<HashSet<String>>,
    /// What the traffic thread was last told: the fields of [`Update::Known`] in their order.
    known: Cell<(u64, bool, bool, bool)>,
    /// How long peers have known more.
    behind: RefCell<Lag>,
    /// Instances that watch the store.
    watchers: RefCell<Watchers>,
    /// Whether this instance watches.
    pub(super) watching: Cell<bool>,
    /// A peer that knows more, while this instance is behind and does not watch.
    pub(super) ahead: Cell<Option<SocketAddr>>,
    /// Told when that is so.
    pub(super) lag: Notify,
    /// Whether a peer is being asked.
    pub(super) asking: Cell<bool>,
}

impl Control {
    pub(super) fn new(settings: Arc<Settings>, updates: Sender<Update>) -> Self {
        let now = Instant::now();
        Self {
            updates,
            settings: RefCell::new(settings),
            mirror: RefCell::new(Mirror::new()),
            version: Cell::new(0),
            reach: RefCell::new(Reachability::new()),
            confirmed: Cell::new(now),
            absent: RefCell::new(HashSet::new()),
            known: Cell::new((0, false, false, false)),
            behind: RefCell::new(Lag::new()),
            watchers: RefCell::default(),
            watching: Cell::new(false),
            ahead: Cell::new(None),
            lag: Notify::new(),
            asking: Cell::new(false),
        }
    }

    pub(super) fn tell(&self, update: Update) {
        // The traffic thread only ends after this one was told that it may.
        if self.updates.send(update).is_err() {
            log::error!("the traffic thread has ended");
        }
    }

    pub(super) fn settings(&self) -> Arc<Settings> {
        Arc::clone(&self.settings.borrow())
    }

    /// Takes over new settings.
    pub(super) fn adopt(&self, settings: Arc<Settings>) {
        *self.settings.borrow_mut() = Arc::clone(&settings);
        self.tell(Update::Settings(settings));
        self.tell_peers();
    }

    pub(super) fn store(&self) -> SocketAddr {
        self.settings.borrow().store_address
    }

    pub(super) fn revision(&self) -> u64 {
        self.mirror.borrow().revision()
    }

    /// How long calls to the store have failed.
    pub(super) fn outage(&self) -> Duration {
        self.reach.borrow().outage(now())
    }

    /// Notes that the store answered.
    pub(super) fn answered(&self) {
        let outage = self.reach.borrow_mut().record_answer(now(), self.heard());
        if outage >= MIN_OUTAGE {
            log::info!(outage_ms = outage.as_millis() as u64; "the store answers again after an outage");
        }
        self.confirmed.set(Instant::now());
    }

    /// Notes that a call failed that was made at `begun`.
    pub(super) fn failed(&self, begun: Instant) {
        self.reach
            .borrow_mut()
            .record_failure(begun.into_std(), now(), self.heard());
    }

    /// Notes that this instance makes no calls, since others watch.
    pub(super) fn rest(&self) {
        self.reach.borrow_mut().suspend();
    }

    /// Whether a peer passes on what it hears of the store.
    fn heard(&self) -> bool {
        self.watchers.borrow().any(Instant::now())
    }

    /// Takes in whether `peer` watches the store.
    pub(super) fn watcher(&self, peer: SocketAddr, watching: bool) {
        self.watchers.borrow_mut().told(peer, watching, Instant::now());
    }

    /// Whether this instance has to watch the store itself.
    pub(super) fn must_watch(&self) -> bool {
        let own = self.settings.borrow().peer_address;
        self.watchers.borrow_mut().needed(own, Instant::now())
    }

    /// Notes that a peer confirmed what is known.
    pub(super) fn confirm(&self) {
        self.confirmed.set(Instant::now());
    }

    /// How long a peer has known more than this instance, now that one says that it knows `revision`.
    pub(super) fn behind(&self, revision: u64) -> Duration {
        self.behind.borrow_mut().observe(revision, self.revision(), now())
    }

    /// Whether a peer knows more than this instance.
    pub(super) fn is_behind(&self) -> bool {
        self.behind.borrow().is_behind(self.revision())
    }

    /// Tells the traffic thread how current its knowledge is.
    pub(super) fn tell_known(&self) {
        self.settle();
        let known = (
            self.revision(),
            self.confirmed.get().elapsed() < CURRENT,
            self.watching.get() && self.reach.borrow().is_answering(),
            self.reach.borrow().is_uninformed(now(), self.heard()),
        );
        if self.known.replace(known) != known {
            self.tell(Update::Known {
                revision: known.0,
                current: known.1,
                watching: known.2,
                blind: known.3,
            });
        }
    }

    /// Takes in changes and notes that all up to `revision` are known.
    pub(super) fn apply(&self, items: Vec<Item>, revision: u64) {
        let before = self.revision();
        let small = items
            .iter()
            .map(|item| item.value.as_ref().map_or(0, Bytes::len))
            .sum::<usize>()
            <= NEWS;
        if small && before > 0 && revision > before && self.watching.get() && !items.is_empty() {
            self.tell(Update::News(News {
                before,
                revision,
                items: items.clone(),
            }));
        }
        let mut moved = false;
        for item in items {
            let change = self
                .mirror
                .borrow_mut()
                .apply(&item.key, item.revision, item.value);
            if let Some(change) = change {
                moved |= item.key.starts_with(INSTANCES);
                self.publish(&item.key, change);
            }
        }
        self.mirror.borrow_mut().advance_to(revision);
        if moved {
            self.tell_peers();
        }
        self.tell_known();
    }

    /// Takes in that only `present` keys were under `prefix` at `revision`.
    pub(super) fn retain(&self, prefix: &str, revision: u64, present: &BTreeSet<String>) {
        let gone = self.mirror.borrow_mut().retain(prefix, revision, present);
        for key in gone {
            self.publish(&key, Change::Removed);
        }
    }

    /// Items that changed after `revision`, and all keys.
    pub(super) fn content(&self, revision: u64) -> (Vec<(String, crate::Versioned)>, Vec<String>) {
        let mirror = self.mirror.borrow();
        let items = mirror
            .items()
            .filter(|(_, known)| known.revision > revision)
            .map(|(key, known)| (key.to_owned(), known.clone()))
            .collect();
        let keys = mirror.items().map(|(key, _)| key.to_owned()).collect();
        (items, keys)
    }

    /// Removes entries that were absent when the store returned and have not come back.
    fn settle(&self) {
        if self.unsettled().is_none_or(|left| !left.is_zero()) {
            return;
        }
        self.reach.borrow_mut().end_reappearance();
        let absent: Vec<String> = self.absent.borrow_mut().drain().collect();
        for id in absent {
            log::info!(upstream:% = id; "upstream did not come back after the store's outage");
            self.tell(Update::Removed(id.into()));
        }
    }

    /// How long until [`Control::settle`] has something to do.
    pub(super) fn unsettled(&self) -> Option<Duration> {
        self.reach.borrow().reappearance_left(now())
    }

    fn publish(&self, key: &str, change: Change) {
        if key == config::KEY {
            if let Change::Set(known) = change {
                self.configure(&known.value, known.revision);
            }
        } else if let Some(id) = key.strip_prefix(directory::PREFIX) {
            match change {
                Change::Set(known) => self.publish_entry(id, &known.value),
                Change::Removed => self.publish_removal(id),
            }
        }
    }

    fn publish_entry(&self, id: &str, value: &[u8]) {
        self.absent.borrow_mut().remove(id);
        let Some(entry) = directory::decode(id, value) else {
            log::warn!(upstream:% = id, bytes = value.len(); "entry in the directory is malformed; not used");
            self.tell(Update::Removed(id.into()));
            return;
        };
        self.tell(Update::Entry(entry));
    }

    fn publish_removal(&self, id: &str) {
        if self.unsettled().is_some() {
            log::info!(upstream:% = id; "entry lapsed around an outage of the store; it may come back");
            self.absent.borrow_mut().insert(id.to_owned());
        } else {
            self.tell(Update::Removed(id.into()));
        }
    }

    fn configure(&self, value: &Bytes, revision: u64) {
        match config::decode(value) {
            Ok(table) if table.version() > self.version.get() => {
                log::info!(
                    version = table.version(), before = self.version.get(), revision,
                    routes = table.route_count(); "configuration in force"
                );
                self.version.set(table.version());
                self.tell(Update::Table(Arc::new(table)));
            }
            Ok(table) => log::warn!(
                version = table.version(), current = self.version.get(), revision;
                "older configuration ignored"
            ),
            Err(error) => log::error!(
                error:% = error, revision, current = self.version.get();
                "configuration cannot be read; the one in force stays"
            ),
        }
    }

    /// Tells the traffic thread who the other instances are.
    pub(super) fn tell_peers(&self) {
        let settings = self.settings();
        let seeds = settings
            .seeds
            .iter()
            .map(|seed| SocketAddr::new(*seed, settings.peer_address.port()));
        let mirror = self.mirror.borrow();
        let listed = mirror
            .items()
            .filter(|(key, _)| key.starts_with(INSTANCES))
            .filter_map(|(_, known)| std::str::from_utf8(&known.value).ok()?.parse().ok());
        let all: BTreeSet<SocketAddr> = seeds
            .chain(listed)
            .filter(|peer| *peer != settings.peer_address)
            .collect();
        self.tell(Update::Peers(all.into_iter().collect()));
    }
}

/// The time, for state that is tested without a runtime.
fn now() -> std::time::Instant {
    Instant::now().into_std()
}
