//! State of the control thread, and the messages by which it is passed to the traffic thread.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashSet},
    net::SocketAddr,
    rc::Rc,
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
use rand::seq::IteratorRandom;
use tokio::{sync::Notify, time::Instant};

use super::changes::Way;
use crate::{
    Change, Lag, Mirror, Settings, Versioned,
    era::{AnswerEra, Eras, Position},
    evacuations::Evacuations,
    former::FormerValues,
    question::Question,
    reach::{MIN_OUTAGE, Reachability},
    signals::Grace,
    update::{StoreStatus, Update},
    watchers::Watchers,
};

/// Revision that leaves the known position as it is: positions only advance.
pub(super) const UNCHANGED: u64 = 0;

/// Prefix of the keys under which instances register their addresses.
pub(super) const INSTANCE_PREFIX: &str = "carobhaven/instances/";

/// Prefixes of all keys that this instance reads from the store.
pub(super) const PREFIXES: [&str; 3] = [config::OPERATOR_PREFIX, directory::PREFIX, INSTANCE_PREFIX];

/// Maximum size of an upstream's entry and of an instance's registration in bytes, several times the usual one. Others may
/// write anything there, up to a megabyte each.
const MAX_ENTRY_BYTES: usize = 16 << 10;

/// Size in bytes from which on a configuration is large: a link of 10 Mbit/s takes 50 ms for it.
const LARGE_VALUE: usize = 48 << 10;

/// Returns what is kept of an item; nothing if no instance reads its key. A value that is too large for an entry is left
/// empty, which is malformed as well.
pub(super) fn keep(mut item: Item) -> Option<Item> {
    if item.key == config::KEY {
        return Some(item);
    }
    if config::evacuated_domain(&item.key).is_some() {
        // The key says it all.
        item.value = item.value.map(|_| Bytes::new());
        return Some(item);
    }
    if !item.key.starts_with(directory::PREFIX) && !item.key.starts_with(INSTANCE_PREFIX) {
        return None;
    }
    item.value = item.value.map(|value| {
        if value.len() > MAX_ENTRY_BYTES {
            Bytes::new()
        } else {
            value
        }
    });
    Some(item)
}

/// How long a configuration counts as current without confirmation from the store or a peer: more than two
/// watches that run into their timeouts.
const MAX_STALENESS: Duration = Duration::from_millis(4_500);

/// How long an instance that was registered in an earlier era of the store counts as registered: the duration of the
/// lease, after which the registration of one that has gone would have ended.
const FORMER_TTL: Duration = super::register::LEASE_TTL;

/// Time by which a confirmation is later than the last one that the traffic thread was told of. Each message of another
/// instance is one, up to hundreds a second.
const CONFIRMATION_STEP: Duration = Duration::from_millis(200);

/// Time between two requests for content to other instances while none is heard of.
const ASK_INTERVAL: Duration = Duration::from_secs(1);

/// How long the store counts as turning this instance away after a call for missed changes has failed.
const TURNED_AWAY_TTL: Duration = Duration::from_secs(5);

/// State of the control thread.
pub(super) struct Control {
    updates: Sender<Update>,
    settings: RefCell<Arc<Settings>>,
    /// The grace of `settings`, for the thread that reads the signals.
    grace: Arc<Grace>,
    pub(super) mirror: RefCell<Mirror>,
    /// Version of the configuration in force.
    version: Cell<u64>,
    /// Configurations before the known one.
    pub(super) former_configs: RefCell<FormerValues>,
    reachability: RefCell<Reachability>,
    /// When the store or a peer last confirmed that the mirror is current; the start of this instance before.
    confirmed_at: Cell<Instant>,
    /// Whether one of them has.
    is_confirmed: Cell<bool>,
    /// Ids of directory entries that were removed around an outage of the store and may reappear.
    lapsed: RefCell<HashSet<String>>,
    /// Failure domains that are out of service.
    evacuations: RefCell<Evacuations>,
    /// Whether the content comes from an instance whose build knows no evacuations.
    pub(super) lacks_evacuations: Cell<bool>,
    /// Instances that were registered in the era before, and may not have registered again yet.
    former: RefCell<Option<FormerInstances>>,
    /// The last [`Update::StoreStatus`] that was sent.
    last_status: Cell<Option<StoreStatus>>,
    lag: RefCell<Lag>,
    eras: RefCell<Eras>,
    watchers: RefCell<Watchers>,
    /// Addresses of the other instances as they were last sent to the traffic thread, and those among them that are known
    /// by their messages alone.
    peers: RefCell<BTreeSet<SocketAddr>>,
    unlisted: RefCell<BTreeSet<SocketAddr>>,
    /// When the store last did not answer this instance although it asked for missed changes only.
    turned_away: Cell<Option<Instant>>,
    /// When another instance was last asked for content because none was heard of.
    asked_at: Cell<Option<Instant>>,
    /// Whether this instance watches the store itself.
    pub(super) watching: Cell<bool>,
    /// Notified when a later era of the store is followed.
    pub(super) era_followed: Notify,
    /// Notified when another instance does not watch the store any more, perhaps because the store does not answer it.
    pub(super) watcher_lost: Notify,
    /// Notified when a later era of the store was seen.
    pub(super) era_seen: Notify,
    /// A peer with newer content; set while this instance is behind and does not watch.
    pub(super) ahead_peer: Cell<Option<SocketAddr>>,
    /// Notified when `ahead_peer` is set.
    pub(super) lagging: Notify,
    /// Whether content is being fetched from a peer.
    pub(super) fetching: Cell<bool>,
    /// Cloned for each peer that is being served content.
    pub(super) served: Rc<()>,
}

/// Instances that were registered in an earlier era of the store.
struct FormerInstances {
    addresses: BTreeSet<SocketAddr>,
    /// Whether this instance was among them.
    registered: bool,
    /// Until when they count as registered.
    until: Instant,
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
            former_configs: RefCell::default(),
            reachability: RefCell::new(Reachability::new()),
            confirmed_at: Cell::new(now),
            is_confirmed: Cell::new(false),
            lapsed: RefCell::new(HashSet::new()),
            evacuations: RefCell::new(Evacuations::new()),
            lacks_evacuations: Cell::new(false),
            former: RefCell::new(None),
            last_status: Cell::new(None),
            lag: RefCell::new(Lag::new()),
            eras: RefCell::new(Eras::new()),
            watchers: RefCell::default(),
            peers: RefCell::default(),
            unlisted: RefCell::default(),
            turned_away: Cell::new(None),
            asked_at: Cell::new(None),
            watching: Cell::new(false),
            era_followed: Notify::new(),
            watcher_lost: Notify::new(),
            era_seen: Notify::new(),
            ahead_peer: Cell::new(None),
            lagging: Notify::new(),
            fetching: Cell::new(false),
            served: Rc::new(()),
        }
    }

    /// Sends a message to the traffic thread.
    pub(super) fn send(&self, update: Update) {
        // The traffic thread only ends after it has reported this, so a closed channel is an error.
        if self.updates.send(update).is_err() {
            log::error!("the traffic thread has ended");
        }
    }

    /// Sends a question to the traffic thread, unless its queue is full. Returns whether it was sent.
    pub(super) fn ask(&self, question: Question) -> bool {
        self.updates.try_send(Update::Question(question)).is_ok()
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

    /// Point of the store's history up to which every change is known.
    pub(super) fn position(&self) -> Position {
        self.mirror.borrow().position()
    }

    /// Revision of [`Control::position`], for log lines.
    pub(super) fn revision(&self) -> u64 {
        self.position().revision
    }

    /// A later era of the store that was seen and is not followed yet.
    pub(super) fn pending_era(&self) -> Option<u64> {
        self.eras.borrow().pending()
    }

    /// Whether the known content is that of an earlier era, or of a build that knows no evacuations.
    pub(super) fn is_incomplete(&self) -> bool {
        self.pending_era().is_some() || self.lacks_evacuations.get()
    }

    /// The era of the store that is followed.
    pub(super) fn followed_era(&self) -> u64 {
        self.eras.borrow().followed()
    }

    /// Number of instances, as far as is known.
    pub(super) fn instance_count(&self) -> u32 {
        let mirror = self.mirror.borrow();
        let listed = mirror.items().filter(|(key, _)| key.starts_with(INSTANCE_PREFIX));
        let former = self
            .former
            .borrow()
            .as_ref()
            .map_or(0, |former| former.addresses.len());
        listed.count().max(former).max(1) as u32
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
            // The first answers of all name an era that is not followed yet.
            AnswerEra::Later(era) if before != Some(era) && self.position() > Position::START => {
                log::info!(call, era, followed, revision; "the store is in a later era");
                self.announce_pending();
            }
            AnswerEra::Earlier(era) => {
                log::info!(call, era, followed, revision; "answer of an earlier era of the store");
            }
            AnswerEra::Later(_) | AnswerEra::Followed | AnswerEra::Unnamed => {}
        }
        era
    }

    /// Records that the instance at `peer` follows `era`. Returns whether it may be relied on.
    pub(super) fn see_peer_era(&self, peer: SocketAddr, era: u64) -> bool {
        let before = self.pending_era();
        let seen = self.eras.borrow_mut().see_peer(era);
        if let Err(error) = seen {
            log::debug!(peer:% = peer, error:% = error; "era of another instance not used");
            return false;
        }
        if self.pending_era() != before && self.position() > Position::START {
            let (followed, revision) = (self.followed_era(), self.revision());
            log::info!(peer:% = peer, era, followed, revision; "another instance follows a later era of the store");
            self.announce_pending();
        }
        true
    }

    /// Has the pending era looked for, whether or not this instance watches.
    fn announce_pending(&self) {
        self.era_seen.notify_one();
        self.lagging.notify_one();
    }

    /// Records that all content of the store is read next in `era`, and follows it. What an earlier era had may be written
    /// again: entries that are missing count as lapsed, and instances as registered.
    pub(super) fn follow_era(&self, era: u64) {
        let before = self.eras.borrow_mut().follow(era);
        let Some(before) = before.filter(|_| self.position() > Position::START) else {
            return;
        };
        self.reachability.borrow_mut().begin_reappearance(now());
        let registered = self.is_registered();
        *self.former.borrow_mut() = Some(FormerInstances {
            addresses: self.instances(),
            registered,
            until: Instant::now() + FORMER_TTL,
        });
        metrics::counter!("carobhaven_store_eras_total").increment(1);
        log::warn!(
            era, before, revision = self.revision(), version = self.version.get();
            "the store has come back from a copy; its content is read anew, what is in force stays"
        );
        self.era_followed.notify_one();
    }

    /// Records that a read which began after `pending` was seen shows that the store is in the followed era.
    pub(super) fn refute_era(&self, pending: u64) {
        let mut eras = self.eras.borrow_mut();
        if eras.refute(pending) {
            log::warn!(era = pending, followed = eras.followed(); "the store is not in the later era that was seen");
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
    }

    /// Records the failure of a call that was made at `started`, or that no changes have come since then.
    pub(super) fn record_failure(&self, started: Instant) {
        self.reachability
            .borrow_mut()
            .record_failure(started.into_std(), now(), self.peer_watches());
    }

    /// Records that this instance makes no calls because enough others watch.
    pub(super) fn suspend_calls(&self) {
        self.reachability.borrow_mut().suspend(now());
    }

    /// Whether directory updates no longer arrive, neither from the store nor from a peer that watches it.
    pub(super) fn is_uninformed(&self) -> bool {
        self.reachability
            .borrow()
            .is_uninformed(now(), self.peer_watches())
    }

    /// Whether a peer watches the store and passes changes on.
    fn peer_watches(&self) -> bool {
        self.watchers.borrow().any_active(now())
    }

    /// Records whether `peer` reports that it watches the store.
    pub(super) fn record_watcher(&self, peer: SocketAddr, watching: bool) {
        let is_lost = self.watchers.borrow_mut().record(peer, watching, now());
        let is_new = !self.peers.borrow().contains(&peer) && peer != self.settings.borrow().peer_address;
        // An instance that has just started hears of all before it knows who is registered.
        if is_new && self.position() > Position::START {
            log::info!(peer:% = peer; "instance takes part that is not registered in the store");
            self.send_peers();
        }
        if is_lost && self.watching.get() {
            self.watcher_lost.notify_one();
        }
    }

    /// How long this instance waits before it asks a store that does not answer it.
    pub(super) fn turn(&self) -> Duration {
        let own = self.settings.borrow().peer_address;
        self.watchers.borrow().turn(own, now(), rand::random())
    }

    /// Whether this instance is the first of those that watch.
    pub(super) fn is_first_watcher(&self) -> bool {
        let own = self.settings.borrow().peer_address;
        self.watchers.borrow().is_first(own, now())
    }

    /// Whether this instance has to watch the store itself.
    pub(super) fn must_watch(&self) -> bool {
        let own = self.settings.borrow().peer_address;
        self.watchers.borrow_mut().must_watch(own, now()) || self.lacks_evacuations.get()
    }

    /// Another instance that may have content, if this one hears of none; at most one in each [`ASK_INTERVAL`].
    pub(super) fn peer_to_ask(&self) -> Option<SocketAddr> {
        let is_due = self
            .asked_at
            .get()
            .is_none_or(|asked| asked.elapsed() >= ASK_INTERVAL);
        if !is_due || self.watchers.borrow().hears_any(now()) {
            return None;
        }
        self.asked_at.set(Some(Instant::now()));
        self.peers.borrow().iter().choose(&mut rand::rng()).copied()
    }

    /// Records that the store did not answer when this instance asked for missed changes.
    pub(super) fn record_turned_away(&self) {
        self.turned_away.set(Some(Instant::now()));
    }

    /// Whether the store has lately not answered when this instance asked for missed changes.
    pub(super) fn is_turned_away(&self) -> bool {
        self.turned_away
            .get()
            .is_some_and(|since| since.elapsed() < TURNED_AWAY_TTL)
    }

    /// Records that the store, or a peer that watches it, knows nothing newer.
    pub(super) fn record_confirmation(&self) {
        self.confirmed_at.set(Instant::now());
        self.is_confirmed.set(true);
    }

    /// Records the `position` that a peer reports. Returns how long this instance has been behind its peers.
    pub(super) fn record_peer_position(&self, position: Position) -> Duration {
        self.lag.borrow_mut().observe(position, self.position(), now())
    }

    /// Whether a peer has reported a newer position than this instance knows.
    pub(super) fn is_behind(&self) -> bool {
        self.lag.borrow().is_behind(self.position())
    }

    /// Whether the store has answered the last call.
    pub(super) fn is_answering(&self) -> bool {
        self.reachability.borrow().is_answering()
    }

    /// Removes what has lapsed, and sends the traffic thread the [`Update::StoreStatus`] if it has changed.
    pub(super) fn send_status(&self) {
        self.remove_lapsed();
        self.remove_former();
        self.remove_silent();
        self.tell_status();
    }

    /// Sends the traffic thread the [`Update::StoreStatus`] if it has changed, at any moment of a call: what may reappear in the
    /// answer is kept.
    pub(super) fn tell_status(&self) {
        self.reachability.borrow_mut().observe(now(), self.peer_watches());
        let confirmed = self
            .is_confirmed
            .get()
            .then(|| self.confirmed_at.get().into_std());
        let told = self.last_status.get().and_then(|status| status.confirmed);
        let is_told = |confirmed: std::time::Instant| {
            told.is_some_and(|told| confirmed.saturating_duration_since(told) < CONFIRMATION_STEP)
        };
        let status = StoreStatus {
            position: self.position(),
            current: self.confirmed_at.get().elapsed() < MAX_STALENESS,
            watching: self.watching.get() && self.is_answering() && self.pending_era().is_none(),
            uninformed: self.is_uninformed(),
            confirmed: if confirmed.is_some_and(is_told) {
                told
            } else {
                confirmed
            },
        };
        if self.last_status.replace(Some(status)) != Some(status) {
            self.send(Update::StoreStatus(status));
        }
    }

    /// Applies `items`, of the era of `reached`, to the mirror and records that every change up to that point is known.
    pub(super) fn apply(&self, items: Vec<Item>, reached: Position, way: Way) {
        let mut instances_changed = false;
        for item in items.into_iter().filter_map(keep) {
            if item.key == config::KEY {
                self.keep_former(&item);
            }
            let change = self.mirror.borrow_mut().apply(
                &item.key,
                Position::new(reached.era, item.revision),
                item.value,
            );
            if let Some(change) = change {
                instances_changed |= item.key.starts_with(INSTANCE_PREFIX);
                self.publish(&item.key, change, way);
            }
        }
        self.mirror.borrow_mut().advance_to(reached);
        if instances_changed {
            self.send_peers();
        }
        self.send_status();
    }

    /// Removes the keys under `prefix` that are not in `present`, the complete list of keys there at
    /// `position`.
    pub(super) fn retain(&self, prefix: &str, position: Position, present: &BTreeSet<String>) {
        let removed = self.mirror.borrow_mut().retain(prefix, position, present);
        for key in removed {
            self.publish(&key, Change::Removed, Way::List);
        }
    }

    /// Returns the items that changed after `position`, and all keys.
    pub(super) fn content_after(&self, position: Position) -> (Vec<(String, crate::Versioned)>, Vec<String>) {
        let mirror = self.mirror.borrow();
        let items = mirror
            .items()
            .filter(|(_, item)| item.position > position)
            .map(|(key, item)| (key.to_owned(), item.clone()))
            .collect();
        let keys = mirror.items().map(|(key, _)| key.to_owned()).collect();
        (items, keys)
    }

    /// The configuration, if it is so large that its versions are got apart from other changes.
    pub(super) fn large_config(&self) -> Option<Bytes> {
        self.value(config::KEY).filter(|value| value.len() > LARGE_VALUE)
    }

    /// The value of a key.
    pub(super) fn value(&self, key: &str) -> Option<Bytes> {
        self.mirror.borrow().get(key).map(|item| item.value.clone())
    }

    /// Ends the time in which instances of an earlier era count as registered.
    fn remove_former(&self) {
        let expired = self
            .former
            .borrow_mut()
            .take_if(|former| former.until <= Instant::now());
        if expired.is_some() {
            self.send_peers();
        }
    }

    /// Removes instances that are known by their messages alone and have sent none lately.
    fn remove_silent(&self) {
        if self.unlisted.borrow().is_empty() {
            return;
        }
        let members: HashSet<SocketAddr> = self.watchers.borrow().members(now()).collect();
        let is_silent = self.unlisted.borrow().iter().any(|peer| !members.contains(peer));
        if is_silent {
            self.send_peers();
        }
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
        if self.evacuations.borrow_mut().end_reappearance() {
            self.send_evacuations();
        }
    }

    /// How long until [`Control::remove_lapsed`] removes the entries that expired in an outage; `None` if
    /// there was no outage lately.
    pub(super) fn reappearance_left(&self) -> Option<Duration> {
        self.reachability.borrow().reappearance_left(now())
    }

    /// Passes a change of the mirror on to the traffic thread.
    fn publish(&self, key: &str, change: Change, way: Way) {
        if key == config::KEY {
            if let Change::Set(item) = change {
                self.apply_config(&item.value, item.position, way);
            }
        } else if let Some(domain) = config::evacuated_domain(key) {
            self.publish_evacuation(domain, &change);
        } else if let Some(id) = key.strip_prefix(directory::PREFIX) {
            match change {
                Change::Set(item) => self.publish_entry(id, &item),
                Change::Removed => self.publish_removal(id),
            }
        }
    }

    fn publish_evacuation(&self, domain: &str, change: &Change) {
        let is_changed = match change {
            Change::Set(_) => self.evacuations.borrow_mut().set(domain),
            Change::Removed => {
                let may_reappear = self.reappearance_left().is_some();
                self.evacuations.borrow_mut().remove(domain, may_reappear)
            }
        };
        let is_set = matches!(change, Change::Set(_));
        let Position { era, revision } = self.position();
        log::info!(
            domain, evacuated = is_set, in_force = is_changed, era, revision;
            "operators take a failure domain out of service or back"
        );
        if is_changed {
            self.send_evacuations();
        }
    }

    fn send_evacuations(&self) {
        let domains = self.evacuations.borrow().in_force().clone();
        self.send(Update::Evacuations(domains));
    }

    fn publish_entry(&self, id: &str, item: &Versioned) {
        self.lapsed.borrow_mut().remove(id);
        let Some(entry) = directory::decode(id, &item.value) else {
            log::warn!(
                upstream:% = id, bytes = item.value.len(), era = item.position.era,
                revision = item.position.revision; "entry in the directory is malformed; not used"
            );
            self.send(Update::EntryRemoved(id.into()));
            return;
        };
        self.send(Update::Entry(entry, item.position));
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
    fn apply_config(&self, value: &Bytes, position: Position, way: Way) {
        let (era, revision) = (position.era, position.revision);
        match config::decode(value) {
            Ok(table) if table.version() > self.version.get() => {
                log::info!(
                    version = table.version(), before = self.version.get(), era, revision,
                    routes = table.route_count(), bytes = value.len(), way = way.name(); "configuration in force"
                );
                self.version.set(table.version());
                self.send(Update::Table(Arc::new(table)));
            }
            Ok(table) => log::warn!(
                version = table.version(), current = self.version.get(), era, revision;
                "older configuration ignored"
            ),
            Err(error) => log::error!(
                error:% = error, era, revision, current = self.version.get();
                "configuration cannot be read; the one in force stays"
            ),
        }
    }

    /// Addresses under which instances are registered.
    fn instances(&self) -> BTreeSet<SocketAddr> {
        let mirror = self.mirror.borrow();
        let listed = mirror
            .items()
            .filter(|(key, _)| key.starts_with(INSTANCE_PREFIX))
            .filter_map(|(_, item)| std::str::from_utf8(&item.value).ok()?.parse().ok());
        let former = self.former.borrow();
        let former = former.iter().flat_map(|former| former.addresses.iter().copied());
        listed.chain(former).collect()
    }

    fn is_registered(&self) -> bool {
        let own_key = format!("{INSTANCE_PREFIX}{}", self.settings().name);
        let was_registered = self
            .former
            .borrow()
            .as_ref()
            .is_some_and(|former| former.registered);
        was_registered || self.mirror.borrow().get(&own_key).is_some()
    }

    /// Sends the traffic thread the addresses of the other instances: the seeds, the registered ones, and those that are heard
    /// of. The registration of an instance that the store turns away ends, while it goes on.
    pub(super) fn send_peers(&self) {
        let settings = self.settings();
        let seeds = settings
            .seeds
            .iter()
            .map(|seed| SocketAddr::new(*seed, settings.peer_address.port()));
        let is_other = |peer: &SocketAddr| *peer != settings.peer_address;
        let mut peers: BTreeSet<SocketAddr> = seeds.chain(self.instances()).filter(is_other).collect();
        self.watchers.borrow_mut().expect(peers.iter().copied(), now());
        let members = self
            .watchers
            .borrow()
            .members(now())
            .filter(is_other)
            .collect::<Vec<_>>();
        let unlisted = members
            .iter()
            .copied()
            .filter(|peer| peers.insert(*peer))
            .collect();
        *self.unlisted.borrow_mut() = unlisted;
        self.peers.borrow_mut().clone_from(&peers);
        self.send(Update::Peers {
            addresses: peers.into_iter().collect(),
            registered: self.is_registered(),
        });
    }
}

/// The current time as a `std` instant, for state machines that are tested without a runtime.
fn now() -> std::time::Instant {
    Instant::now().into_std()
}
