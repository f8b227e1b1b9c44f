//! State of the control thread, and the messages by which it is passed to the traffic thread.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use carob_platform::{
    config, directory,
    store::{self, Item},
};
use flume::Sender;
use hyper::HeaderMap;
use tokio::{sync::Notify, time::Instant};

use super::watchers::Watchers;

use crate::{
    Change, Lag, Mirror, Settings,
    era::{AnswerEra, Eras},
    reach::{MIN_OUTAGE, Reachability},
    signals::Grace,
    update::{StoreUpdate, Update},
};

/// Prefix of the keys under which instances register their addresses.
pub(super) const INSTANCE_PREFIX: &str = "carobhaven/instances/";

/// Prefixes of all keys that this instance reads from the store.
pub(super) const PREFIXES: [&str; 3] = [config::OPERATOR_PREFIX, directory::PREFIX, INSTANCE_PREFIX];

/// Maximum size of the values, in bytes, that are passed on in a datagram; instances that do not watch fetch
/// larger changes from the store or from a peer.
const MAX_UPDATE_BYTES: usize = 8 << 10;

/// How long a configuration counts as current without confirmation from the store or a peer: more than two
/// watches that run into their timeouts.
const MAX_STALENESS: Duration = Duration::from_millis(4_500);

/// State of the control thread.
pub(super) struct Control {
    updates: Sender<Update>,
    settings: RefCell<Arc<Settings>>,
    /// The grace of `settings`, for the thread that reads the signals.
    grace: Arc<Grace>,
    mirror: RefCell<Mirror>,
    /// Version of the configuration in force.
    version: Cell<u64>,
    reachability: RefCell<Reachability>,
    /// When the store or a peer last confirmed that the mirror is current.
    confirmed_at: Cell<Instant>,
    /// Ids of directory entries that were removed around an outage of the store and may reappear.
    lapsed: RefCell<HashSet<String>>,
    /// Fields of the last [`Update::StoreStatus`] that was sent, in their order.
    last_status: Cell<(u64, bool, bool, bool)>,
    lag: RefCell<Lag>,
    eras: RefCell<Eras>,
    watchers: RefCell<Watchers>,
    /// Whether this instance watches the store itself.
    pub(super) watching: Cell<bool>,
    /// A peer with a newer revision; set while this instance is behind and does not watch.
    pub(super) ahead_peer: Cell<Option<SocketAddr>>,
    /// Notified when `ahead_peer` is set.
    pub(super) lagging: Notify,
    /// Whether content is being fetched from a peer.
    pub(super) fetching: Cell<bool>,
}

impl Control {
    pub(super) fn new(settings: Arc<Settings>, updates: Sender<Update>, grace: Arc<Grace>) -> Self {
        let now = Instant::now();
        Self {
            updates,
            settings: RefCell::new(settings),
            grace,
            mirror: RefCell::new(Mirror::new()),
            version: Cell::new(0),
            reachability: RefCell::new(Reachability::new()),
            confirmed_at: Cell::new(now),
            lapsed: RefCell::new(HashSet::new()),
            last_status: Cell::new((0, false, false, false)),
            lag: RefCell::new(Lag::new()),
            eras: RefCell::new(Eras::new()),
            watchers: RefCell::default(),
            watching: Cell::new(false),
            ahead_peer: Cell::new(None),
            lagging: Notify::new(),
            fetching: Cell::new(false),
        }
    }

    /// Sends a message to the traffic thread.
    pub(super) fn send(&self, update: Update) {
        // The traffic thread only ends after it has reported this, so a closed channel is an error.
        if self.updates.send(update).is_err() {
            log::error!("the traffic thread has ended");
        }
    }

    pub(super) fn settings(&self) -> Arc<Settings> {
        Arc::clone(&self.settings.borrow())
    }

    /// Replaces the settings and passes them on to the traffic thread.
    pub(super) fn apply_settings(&self, settings: Arc<Settings>) {
        self.grace.set(settings.grace);
        *self.settings.borrow_mut() = Arc::clone(&settings);
        self.send(Update::Settings(settings));
        self.send_peers();
    }

    pub(super) fn store_address(&self) -> SocketAddr {
        self.settings.borrow().store_address
    }

    pub(super) fn revision(&self) -> u64 {
        self.mirror.borrow().revision()
    }

    /// How long calls to the store have failed; zero if they do not.
    pub(super) fn outage(&self) -> Duration {
        self.reachability.borrow().outage(now())
    }

    /// Judges an answer of the store to a `call` by the era that its headers name, and logs what is odd about it.
    pub(super) fn judge_answer(&self, headers: &HeaderMap, call: &'static str) -> AnswerEra {
        let mut eras = self.eras.borrow_mut();
        let before = eras.pending();
        let (era, unusable) = eras.judge(store::era(headers));
        if let Some(unusable) = unusable {
            log::warn!(
                error:% = unusable, call, followed = eras.followed();
                "era of the store cannot be used; the answer counts as one of the followed era"
            );
        }
        let (revision, followed) = (self.revision(), eras.followed());
        match era {
            AnswerEra::Later(era) if before != Some(era) => {
                log::info!(call, era, followed, revision; "the store is in a later era");
            }
            AnswerEra::Earlier(era) => {
                log::info!(call, era, followed, revision; "answer of an earlier era of the store");
            }
            AnswerEra::Later(_) | AnswerEra::Followed => {}
        }
        era
    }

    /// Records that the content of `era` is followed from now on.
    pub(super) fn follow_era(&self, era: u64) {
        let before = self.eras.borrow_mut().follow(era);
        if let Some(before) = before {
            log::info!(era, before, revision = self.revision(); "a later era of the store is followed");
        }
    }

    /// Records that the store answered a call.
    pub(super) fn record_answer(&self) {
        let outage = self
            .reachability
            .borrow_mut()
            .record_answer(now(), self.peer_watches());
        if outage >= MIN_OUTAGE {
            log::info!(outage_ms = outage.as_millis() as u64; "the store answers again after an outage");
        }
        self.confirmed_at.set(Instant::now());
    }

    /// Records the failure of a call that was made at `started`.
    pub(super) fn record_failure(&self, started: Instant) {
        self.reachability
            .borrow_mut()
            .record_failure(started.into_std(), now(), self.peer_watches());
    }

    /// Records that this instance makes no calls because enough others watch.
    pub(super) fn suspend_calls(&self) {
        self.reachability.borrow_mut().suspend();
    }

    /// Whether a peer watches the store and passes changes on.
    fn peer_watches(&self) -> bool {
        self.watchers.borrow().any_active(Instant::now())
    }

    /// Records whether `peer` reports that it watches the store.
    pub(super) fn record_watcher(&self, peer: SocketAddr, watching: bool) {
        self.watchers.borrow_mut().record(peer, watching, Instant::now());
    }

    /// Whether this instance has to watch the store itself.
    pub(super) fn must_watch(&self) -> bool {
        let own = self.settings.borrow().peer_address;
        self.watchers.borrow_mut().must_watch(own, Instant::now())
    }

    /// Records that a watching peer knows no newer revision.
    pub(super) fn record_confirmation(&self) {
        self.confirmed_at.set(Instant::now());
    }

    /// Records the `revision` that a peer reports. Returns how long this instance has been behind its peers.
    pub(super) fn record_peer_revision(&self, revision: u64) -> Duration {
        self.lag.borrow_mut().observe(revision, self.revision(), now())
    }

    /// Whether a peer has reported a newer revision than this instance knows.
    pub(super) fn is_behind(&self) -> bool {
        self.lag.borrow().is_behind(self.revision())
    }

    /// Whether the store has answered the last call.
    pub(super) fn is_answering(&self) -> bool {
        self.reachability.borrow().is_answering()
    }

    /// Sends the traffic thread the [`Update::StoreStatus`] if it has changed.
    pub(super) fn send_status(&self) {
        self.remove_lapsed();
        let status = (
            self.revision(),
            self.confirmed_at.get().elapsed() < MAX_STALENESS,
            self.watching.get() && self.is_answering(),
            self.reachability
                .borrow()
                .is_uninformed(now(), self.peer_watches()),
        );
        if self.last_status.replace(status) != status {
            self.send(Update::StoreStatus {
                revision: status.0,
                current: status.1,
                watching: status.2,
                uninformed: status.3,
            });
        }
    }

    /// Applies `items` to the mirror and records that every change up to `revision` is known. Small changes
    /// that were seen by watching are passed on to the other instances.
    pub(super) fn apply(&self, items: Vec<Item>, revision: u64) {
        let before = self.revision();
        let small = items
            .iter()
            .map(|item| item.value.as_ref().map_or(0, Bytes::len))
            .sum::<usize>()
            <= MAX_UPDATE_BYTES;
        if small && before > 0 && revision > before && self.watching.get() && !items.is_empty() {
            self.send(Update::StoreUpdate(StoreUpdate {
                base: before,
                revision,
                items: items.clone(),
            }));
        }
        let mut instances_changed = false;
        for item in items {
            let change = self
                .mirror
                .borrow_mut()
                .apply(&item.key, item.revision, item.value);
            if let Some(change) = change {
                instances_changed |= item.key.starts_with(INSTANCE_PREFIX);
                self.publish(&item.key, change);
            }
        }
        self.mirror.borrow_mut().advance_to(revision);
        if instances_changed {
            self.send_peers();
        }
        self.send_status();
    }

    /// Removes the keys under `prefix` that are not in `present`, the complete list of keys there at
    /// `revision`.
    pub(super) fn retain(&self, prefix: &str, revision: u64, present: &BTreeSet<String>) {
        let removed = self.mirror.borrow_mut().retain(prefix, revision, present);
        for key in removed {
            self.publish(&key, Change::Removed);
        }
    }

    /// Returns the items that changed after `revision`, and all keys.
    pub(super) fn content_after(&self, revision: u64) -> (Vec<(String, crate::Versioned)>, Vec<String>) {
        let mirror = self.mirror.borrow();
        let items = mirror
            .items()
            .filter(|(_, item)| item.revision > revision)
            .map(|(key, item)| (key.to_owned(), item.clone()))
            .collect();
        let keys = mirror.items().map(|(key, _)| key.to_owned()).collect();
        (items, keys)
    }

    /// Removes the entries that expired in an outage and did not reappear in time.
    fn remove_lapsed(&self) {
        if self.reappearance_left().is_none_or(|left| !left.is_zero()) {
            return;
        }
        self.reachability.borrow_mut().end_reappearance();
        let removed: Vec<String> = self.lapsed.borrow_mut().drain().collect();
        for id in removed {
            log::info!(upstream:% = id; "entry did not reappear after the store's outage; removed");
            self.send(Update::EntryRemoved(id.into()));
        }
    }

    /// How long until [`Control::remove_lapsed`] removes the entries that expired in an outage; `None` if
    /// there was no outage lately.
    pub(super) fn reappearance_left(&self) -> Option<Duration> {
        self.reachability.borrow().reappearance_left(now())
    }

    /// Passes a change of the mirror on to the traffic thread.
    fn publish(&self, key: &str, change: Change) {
        if key == config::KEY {
            if let Change::Set(item) = change {
                self.apply_config(&item.value, item.revision);
            }
        } else if let Some(id) = key.strip_prefix(directory::PREFIX) {
            match change {
                Change::Set(item) => self.publish_entry(id, &item.value),
                Change::Removed => self.publish_removal(id),
            }
        }
    }

    fn publish_entry(&self, id: &str, value: &[u8]) {
        self.lapsed.borrow_mut().remove(id);
        let Some(entry) = directory::decode(id, value) else {
            log::warn!(upstream:% = id, bytes = value.len(); "entry in the directory is malformed; not used");
            self.send(Update::EntryRemoved(id.into()));
            return;
        };
        self.send(Update::Entry(entry));
    }

    /// Passes a removal on, unless the entry may only have expired in an outage of the store.
    fn publish_removal(&self, id: &str) {
        if self.reappearance_left().is_some() {
            log::info!(upstream:% = id; "entry lapsed around an outage of the store; it may come back");
            self.lapsed.borrow_mut().insert(id.to_owned());
        } else {
            self.send(Update::EntryRemoved(id.into()));
        }
    }

    /// Puts a configuration in force if it can be read and its version is newer than the present one.
    fn apply_config(&self, value: &Bytes, revision: u64) {
        match config::decode(value) {
            Ok(table) if table.version() > self.version.get() => {
                log::info!(
                    version = table.version(), before = self.version.get(), revision,
                    routes = table.route_count(); "configuration in force"
                );
                self.version.set(table.version());
                self.send(Update::Table(Arc::new(table)));
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

    /// Sends the traffic thread the addresses of the other instances: the seeds and the registered ones.
    pub(super) fn send_peers(&self) {
        let settings = self.settings();
        let seeds = settings
            .seeds
            .iter()
            .map(|seed| SocketAddr::new(*seed, settings.peer_address.port()));
        let mirror = self.mirror.borrow();
        let listed = mirror
            .items()
            .filter(|(key, _)| key.starts_with(INSTANCE_PREFIX))
            .filter_map(|(_, item)| std::str::from_utf8(&item.value).ok()?.parse().ok());
        let peers: BTreeSet<SocketAddr> = seeds
            .chain(listed)
            .filter(|peer| *peer != settings.peer_address)
            .collect();
        let own_key = format!("{INSTANCE_PREFIX}{}", settings.name);
        let registered = mirror.items().any(|(key, _)| *key == *own_key);
        self.send(Update::Peers {
            addresses: peers.into_iter().collect(),
            registered,
        });
    }
}

/// The current time as a `std` instant, for state machines that are tested without a runtime.
fn now() -> std::time::Instant {
    Instant::now().into_std()
}
