//! State of the traffic thread that all requests share.

use std::{
    cell::{Cell, Ref, RefCell, RefMut},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use carob_base::{Clock, Time};
use carob_dispatch::{
    crashes::{Evidence, Options, Report as CrashEvidence, Verdict},
    fleet::{Fleet, RunKey, Topology, UpstreamKey, WaitKey},
    table::RoutingTable,
};
use carob_shutdown::{Shutdown, Stage};
use flume::Sender;
use slotmap::{SecondaryMap, SlotMap};
use smallvec::SmallVec;
use tokio::sync::{Notify, oneshot};

use super::{
    cold,
    crash::{self, Break},
    evacuation,
    guard::{Active, ActiveKey, FollowedResidence, ResidenceKey},
    outdated::{self, Outdated},
    repeats::Repeats,
    waiting::Waiting,
};
use crate::{
    Settings,
    era::Position,
    peer::Pause,
    update::{Report, StoreStatus, StoreUpdate, Update},
};

/// Instances send their load at least once a second; one counts as unresponsive after two missed messages.
pub(super) const PEER_TIMEOUT: Duration = Duration::from_millis(2_200);

/// How long the platform still sends new connections to an instance that reports not ready: it takes two
/// consecutive readiness checks, one a second, and the time of connections already on their way.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2_600);

/// Share of the memory for bodies beyond which answers are passed on as they arrive.
const ANSWER_SHARE: f64 = 0.5;

/// Minimum number of other instances for which a majority of unresponsive ones is meaningful.
const MIN_PEERS: usize = 3;

/// Upstream that a queued request was placed on, and the fleet's key of the request there.
pub(super) type Grant = (UpstreamKey, RunKey);

/// What an instance knows of its configuration, for log lines.
pub(super) struct ConfigState {
    pub(super) version: u64,
    /// Milliseconds since it came into force here.
    pub(super) age_ms: u64,
    pub(super) is_current: bool,
    pub(super) is_uninformed: bool,
}

/// State of the traffic thread.
pub(super) struct Shared {
    pub(super) clock: Clock,
    settings: RefCell<Arc<Settings>>,
    /// Absent until the first configuration is known.
    table: RefCell<Option<Arc<RoutingTable>>>,
    /// When `table` came into force here.
    table_since: Cell<Time>,
    fleet: RefCell<Fleet>,
    /// Retry budgets by service.
    pub(super) repeats: Repeats,
    /// Whether the configuration can be taken as current.
    current: Cell<bool>,
    /// Whether this instance watches the store itself, and the store answers.
    watching: Cell<bool>,
    /// Whether directory updates no longer arrive.
    uninformed: Cell<bool>,
    /// Whether the configuration can be relied on.
    pub(super) outdated: Outdated,
    /// Notified when `uninformed` changes.
    pub(super) uninformed_changed: Notify,
    /// Changes of the store's content that have not been sent to the other instances yet.
    pending_update: RefCell<Option<StoreUpdate>>,
    /// Point of the store's history up to which its content is known.
    position: Cell<Position>,
    /// Addresses of the other instances.
    peers: RefCell<Vec<SocketAddr>>,
    reports: Sender<Report>,
    /// Channels to the queued requests.
    waiters: RefCell<SecondaryMap<WaitKey, oneshot::Sender<Grant>>>,
    /// Notified when the upstream starts to leave.
    leaving_notices: RefCell<SecondaryMap<UpstreamKey, Rc<Notify>>>,
    /// Requests whose answers the upstream broke off, until it is known whether it has ended.
    breaks: RefCell<SecondaryMap<UpstreamKey, Vec<Break>>>,
    /// What crashes upstreams.
    evidence: RefCell<Evidence>,
    /// Instances that may lack evidence, since their processes have just started.
    newcomers: RefCell<Vec<SocketAddr>>,
    /// When a report of the upstream was last requested to learn whether it leaves.
    last_probes: RefCell<SecondaryMap<UpstreamKey, Time>>,
    /// Requests that are being handled.
    active: RefCell<SlotMap<ActiveKey, Active>>,
    /// Regions of the requests that are being handled.
    residences: RefCell<SlotMap<ResidenceKey, Rc<FollowedResidence>>>,
    /// Bytes of bodies that are held in memory.
    body_bytes: Cell<usize>,
    /// Answers that wait for their clients.
    pub(super) waiting: Waiting,
    /// Number of open client connections.
    connections: Cell<usize>,
    /// Whether connections may still be accepted.
    listening: Cell<bool>,
    /// When the signal to shut down was read.
    signal: Cell<Option<Instant>>,
    /// Longest time by which a timer of this thread fired late.
    longest_stall: Cell<Duration>,
    /// Absent until the process receives the signal to shut down.
    shutdown: Cell<Option<Shutdown>>,
    /// Notified when the process receives the signal to shut down.
    shutdown_begun: Notify,
    /// Notified when client connections are to be aborted because the process exits.
    pub(super) aborted: Notify,
    /// Notified when the last active request or the last client connection has ended.
    idle: Notify,
    /// Notified when a limit of an upstream has changed, or permits are wanted.
    pub(super) limits_changed: Notify,
    /// Random number drawn at the start of this process.
    boot_id: u64,
    /// Number of open connections through each other instance.
    relays: RefCell<HashMap<SocketAddr, Rc<Cell<u32>>>>,
    /// Number of connections that are relayed for other instances.
    relayed: Rc<Cell<u32>>,
    /// Pauses that other instances are to be told of, since they have relayed the answers that ask for them.
    pauses: RefCell<Vec<(SocketAddr, Pause)>>,
    /// Notified when links to upstreams are to be probed.
    pub(super) links_changed: Notify,
    /// Services whose upstreams all cannot be reached, sorted.
    cut: RefCell<SmallVec<[Box<str>; 2]>>,
    /// When it was last logged that a limit cannot be read.
    limit_logged: Cell<Option<Time>>,
    /// Notified when this instance's load or its state of the store has changed, which other instances are to
    /// learn.
    pub(super) load_changed: Notify,
}

fn topology(settings: &Settings) -> Topology {
    Topology {
        domain: settings.domain.clone(),
        regions: settings.regions.clone(),
    }
}

impl Shared {
    pub(super) fn new(settings: Arc<Settings>, reports: Sender<Report>) -> Self {
        let mut fleet = Fleet::new(topology(&settings), rand::random());
        fleet.set_cold_options(settings.cold);
        let clock = Clock::new();
        Self {
            clock,
            settings: RefCell::new(settings),
            table: RefCell::new(None),
            table_since: Cell::new(Time::ZERO),
            fleet: RefCell::new(fleet),
            repeats: Repeats::default(),
            current: Cell::new(false),
            watching: Cell::new(false),
            uninformed: Cell::new(false),
            outdated: Outdated::new(clock.now()),
            uninformed_changed: Notify::new(),
            pending_update: RefCell::new(None),
            position: Cell::new(Position::START),
            peers: RefCell::new(Vec::new()),
            reports,
            waiters: RefCell::new(SecondaryMap::new()),
            leaving_notices: RefCell::new(SecondaryMap::new()),
            breaks: RefCell::new(SecondaryMap::new()),
            evidence: RefCell::new(Evidence::new(Options::default())),
            newcomers: RefCell::new(Vec::new()),
            last_probes: RefCell::new(SecondaryMap::new()),
            active: RefCell::new(SlotMap::with_key()),
            residences: RefCell::new(SlotMap::with_key()),
            body_bytes: Cell::new(0),
            waiting: Waiting::default(),
            connections: Cell::new(0),
            listening: Cell::new(true),
            signal: Cell::new(None),
            longest_stall: Cell::new(Duration::ZERO),
            shutdown: Cell::new(None),
            shutdown_begun: Notify::new(),
            aborted: Notify::new(),
            idle: Notify::new(),
            load_changed: Notify::new(),
            limits_changed: Notify::new(),
            links_changed: Notify::new(),
            boot_id: rand::random(),
            relays: RefCell::default(),
            relayed: Rc::default(),
            pauses: RefCell::default(),
            cut: RefCell::default(),
            limit_logged: Cell::new(None),
        }
    }

    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(super) fn settings(&self) -> Arc<Settings> {
        Arc::clone(&self.settings.borrow())
    }

    pub(super) fn table(&self) -> Option<Arc<RoutingTable>> {
        self.table.borrow().clone()
    }

    /// The configuration in force and what is known of its being the newest, for log lines.
    pub(super) fn config_state(&self) -> ConfigState {
        ConfigState {
            version: self.table.borrow().as_ref().map_or(0, |table| table.version()),
            age_ms: self.now().since(self.table_since.get()).as_millis() as u64,
            is_current: self.is_current(),
            is_uninformed: self.is_uninformed(),
        }
    }

    pub(super) fn fleet(&self) -> Ref<'_, Fleet> {
        self.fleet.borrow()
    }

    pub(super) fn fleet_mut(&self) -> RefMut<'_, Fleet> {
        self.fleet.borrow_mut()
    }

    pub(super) fn peers(&self) -> Vec<SocketAddr> {
        self.peers.borrow().clone()
    }

    /// Number of the other instances.
    pub(super) fn peer_count(&self) -> usize {
        self.peers.borrow().len()
    }

    pub(super) const fn position(&self) -> Position {
        self.position.get()
    }

    /// Whether the configuration can be taken as current.
    pub(super) const fn is_current(&self) -> bool {
        self.current.get()
    }

    /// Whether this instance watches the store itself, and the store answers.
    pub(super) const fn is_watching(&self) -> bool {
        self.watching.get()
    }

    /// Whether directory updates no longer arrive, neither from the store nor from a peer.
    pub(super) const fn is_uninformed(&self) -> bool {
        self.uninformed.get()
    }

    /// Whether most other instances are unresponsive, so that the load that they cause is unknown.
    pub(super) fn is_isolated(&self) -> bool {
        let now = self.now();
        let peers = self.peers.borrow().len();
        // With fewer peers a majority means nothing, and there is little load that could be missed.
        peers >= MIN_PEERS && self.fleet.borrow().recent_peers(PEER_TIMEOUT, now) * 2 < peers
    }

    /// Returns whether the last probe of `upstream` is at least `interval` ago; if so, records a probe at
    /// this time.
    pub(super) fn try_start_probe(&self, upstream: UpstreamKey, interval: Duration) -> bool {
        let now = self.now();
        let mut probes = self.last_probes.borrow_mut();
        if probes
            .get(upstream)
            .is_some_and(|probed| now.since(*probed) < interval)
        {
            return false;
        }
        probes.insert(upstream, now);
        true
    }

    /// Notes that the upstream broke off the answer to a request; returns whether it is the first one since
    /// [`take_breaks`](Self::take_breaks).
    pub(super) fn add_break(&self, upstream: UpstreamKey, broken: Break) -> bool {
        let mut breaks = self.breaks.borrow_mut();
        let Some(entry) = breaks.entry(upstream) else {
            return false;
        };
        let breaks = entry.or_default();
        breaks.push(broken);
        breaks.len() == 1
    }

    /// Takes the requests whose answers the upstream broke off.
    pub(super) fn take_breaks(&self, upstream: UpstreamKey) -> Vec<Break> {
        self.breaks.borrow_mut().remove(upstream).unwrap_or_default()
    }

    /// What crashes upstreams.
    pub(super) fn evidence(&self) -> RefMut<'_, Evidence> {
        self.evidence.borrow_mut()
    }

    /// Changes the evidence about crashes of upstreams, and logs the verdicts that change with it.
    pub(super) fn change_evidence(&self, change: impl FnOnce(&mut Evidence, Time)) {
        let mut evidence = self.evidence.borrow_mut();
        let verdicts = |evidence: &Evidence| -> Vec<Verdict> { evidence.verdicts().collect() };
        let before = verdicts(&evidence);
        change(&mut evidence, self.now());
        let after = verdicts(&evidence);
        let has =
            |verdicts: &[Verdict], verdict: &Verdict| verdicts.iter().any(|other| other.part == verdict.part);
        for verdict in after.iter().filter(|verdict| !has(&before, verdict)) {
            log::warn!(
                fragment:% = crash::part_name(verdict.part), crashes = verdict.crashes;
                "part of requests is refused: upstreams crash under it"
            );
        }
        for verdict in before.iter().filter(|verdict| !has(&after, verdict)) {
            log::info!(fragment:% = crash::part_name(verdict.part); "part of requests is not refused any more");
        }
        metrics::gauge!("carobhaven_crash_suspects").set(evidence.suspects() as f64);
        metrics::gauge!("carobhaven_crash_verdicts").set(after.len() as f64);
        if evidence.has_changes() {
            self.load_changed.notify_one();
        }
    }

    /// Merges another instance's evidence about crashes.
    pub(super) fn merge_evidence(&self, report: &CrashEvidence) {
        if report.is_empty() {
            return;
        }
        self.change_evidence(|evidence, now| evidence.merge(report, now));
    }

    /// Notes that the instance at `peer` may lack evidence about crashes.
    pub(super) fn add_newcomer(&self, peer: SocketAddr) {
        let is_known = self.peers.borrow().contains(&peer);
        if is_known && !self.evidence.borrow().is_empty() {
            self.newcomers.borrow_mut().push(peer);
            self.load_changed.notify_one();
        }
    }

    /// Takes the instances that may lack evidence about crashes.
    pub(super) fn take_newcomers(&self) -> Vec<SocketAddr> {
        self.newcomers.take()
    }

    /// Returns whether the last log line about a limit that cannot be read is at least `interval` ago; if so, records one
    /// at this time.
    pub(super) fn may_log_limit(&self, interval: Duration) -> bool {
        let now = self.now();
        let is_due = self
            .limit_logged
            .get()
            .is_none_or(|logged| now.since(logged) >= interval);
        if is_due {
            self.limit_logged.set(Some(now));
        }
        is_due
    }

    /// Random number drawn at the start of this process.
    pub(super) const fn boot_id(&self) -> u64 {
        self.boot_id
    }

    /// Number of open connections through the instance at `peer`.
    pub(super) fn relays_to(&self, peer: SocketAddr) -> u32 {
        self.relays.borrow().get(&peer).map_or(0, |count| count.get())
    }

    /// Counter of the open connections through the instance at `peer`.
    pub(super) fn relay_counter(&self, peer: SocketAddr) -> Rc<Cell<u32>> {
        Rc::clone(self.relays.borrow_mut().entry(peer).or_default())
    }

    /// Counter of the connections that are relayed for other instances.
    pub(super) fn relayed(&self) -> Rc<Cell<u32>> {
        Rc::clone(&self.relayed)
    }

    /// Has the instance at `peer` told that an upstream has asked it for a pause.
    pub(super) fn add_peer_pause(&self, peer: SocketAddr, pause: Pause) {
        self.pauses.borrow_mut().push((peer, pause));
        self.load_changed.notify_one();
    }

    /// Takes the pauses that other instances are to be told of.
    pub(super) fn take_peer_pauses(&self) -> Vec<(SocketAddr, Pause)> {
        self.pauses.take()
    }

    /// Replaces the services whose upstreams all cannot be reached, and returns them as they were.
    pub(super) fn replace_cut(&self, cut: SmallVec<[Box<str>; 2]>) -> SmallVec<[Box<str>; 2]> {
        self.cut.replace(cut)
    }

    /// Whether the upstreams of a service are engines.
    pub(super) fn is_engine(&self, service: &str) -> bool {
        let table = self.table.borrow();
        let service = table.as_ref().and_then(|table| table.service(service));
        service.is_some_and(|service| service.engine.is_some())
    }

    /// Records that an upstream reports that it leaves, and notifies its requests.
    pub(super) fn mark_leaving(&self, upstream: UpstreamKey) {
        let now = self.now();
        let leaving = self.fleet.borrow_mut().mark_leaving(upstream, now);
        self.load_changed.notify_one();
        self.notify_leaving(leaving);
    }

    /// Takes the changes of the store's content that have not been sent to the other instances yet.
    pub(super) fn take_store_update(&self) -> Option<StoreUpdate> {
        self.pending_update.borrow_mut().take()
    }

    /// Whether new connections are wanted: a configuration and an upstream are known, and the process does
    /// not shut down.
    pub(super) fn is_ready(&self) -> bool {
        self.shutdown.get().is_none()
            && self.table.borrow().is_some()
            && self.fleet.borrow().upstreams().next().is_some()
    }

    /// When the signal to shut down was read, if the process has received it.
    pub(super) const fn signal(&self) -> Option<Instant> {
        self.signal.get()
    }

    /// Records that a timer of this thread fired `late` after its time.
    pub(super) fn record_stall(&self, late: Duration) {
        self.longest_stall.set(self.longest_stall.get().max(late));
    }

    /// Longest time by which a timer of this thread fired late.
    pub(super) const fn longest_stall(&self) -> Duration {
        self.longest_stall.get()
    }

    /// The shutdown in progress, if the process has received the signal.
    pub(super) const fn shutdown(&self) -> Option<Shutdown> {
        self.shutdown.get()
    }

    /// Waits for the signal to shut down.
    pub(super) async fn wait_shutdown(&self) -> Shutdown {
        loop {
            let begun = self.shutdown_begun.notified();
            if let Some(shutdown) = self.shutdown.get() {
                return shutdown;
            }
            begun.await;
        }
    }

    /// Waits for the signal to shut down, and then until the listener and idle connections are closed.
    pub(super) async fn wait_closing(&self) {
        let shutdown = self.wait_shutdown().await;
        tokio::time::sleep(shutdown.closes().since(self.now())).await;
    }

    /// Adds changes of the store's content to those that have not been sent yet.
    fn add_store_update(&self, update: StoreUpdate) {
        let mut pending = self.pending_update.borrow_mut();
        match pending.as_mut() {
            Some(earlier) => earlier.join(update),
            None => *pending = Some(update),
        }
        self.load_changed.notify_one();
    }

    /// Applies a message of the control thread.
    pub(super) fn apply(&self, update: Update) {
        let now = self.now();
        match update {
            Update::Table(table) => self.apply_table(table),
            Update::Entry(entry, position) => {
                log::info!(
                    upstream:% = entry.id, service:% = entry.service, address:% = entry.address,
                    domain:% = entry.domain, state:? = entry.state, born = entry.started_ms,
                    sequence = entry.sequence, era = position.era, revision = position.revision; "directory entry"
                );
                let leaving = self.fleet.borrow_mut().update_entry(entry, now);
                cold::after_change(self);
                self.notify_leaving(leaving);
                self.grant_waiting();
            }
            Update::EntryRemoved(id) => {
                log::info!(upstream:% = id; "directory entry removed");
                let leaving = self.fleet.borrow_mut().remove_entry(&id, now);
                self.notify_leaving(leaving);
            }
            Update::Evacuations(domains) => evacuation::apply(self, domains),
            Update::Peers {
                addresses,
                registered,
            } => self.set_peers(addresses, registered),
            Update::StoreStatus(status) => self.apply_status(status),
            Update::StoreUpdate(update) => self.add_store_update(update),
            // Served in a task of its own, or by reading only.
            Update::Relay(_) | Update::Question(_) => {}
            Update::Settings(settings) => {
                self.repeats.apply_settings(&settings, now);
                cold::apply_settings(self, &settings);
                self.fleet.borrow_mut().set_topology(topology(&settings));
                *self.settings.borrow_mut() = settings;
            }
            Update::Shutdown(signal) => {
                if self.shutdown.get().is_none() {
                    log::info!(
                        signal_ms = signal.at.elapsed().as_millis() as u64,
                        stall_ms = self.longest_stall.get().as_millis() as u64; "shutdown begun"
                    );
                    self.signal.set(Some(signal.at));
                    let options = carob_shutdown::Options::new(DEREGISTRATION_DELAY).with_grace(signal.grace);
                    self.shutdown
                        .set(Some(Shutdown::new(now - signal.at.elapsed(), options)));
                    self.shutdown_begun.notify_waiters();
                    // Other instances are told that this one relays no more.
                    self.load_changed.notify_one();
                }
            }
        }
    }

    fn apply_table(&self, table: Arc<RoutingTable>) {
        cold::apply_table(self, &table);
        for followed in self.residences.borrow().values() {
            followed.update(&table);
        }
        *self.table.borrow_mut() = Some(table);
        self.table_since.set(self.now());
    }

    fn apply_status(&self, status: StoreStatus) {
        let StoreStatus {
            position,
            current,
            watching,
            uninformed,
            confirmed,
        } = status;
        if let Some(confirmed) = confirmed {
            self.outdated.confirm(self.now() - confirmed.elapsed());
        }
        if self.is_uninformed() {
            // A cut that ends now lasted until now.
            outdated::refresh(self);
        }
        let (era, revision) = (position.era, position.revision);
        if self.uninformed.replace(uninformed) != uninformed {
            log::info!(blind = uninformed, era, revision; "news of upstreams changed");
            self.uninformed_changed.notify_waiters();
        }
        outdated::refresh(self);
        let newer = self.position.replace(position) != position;
        if self.watching.replace(watching) != watching || (watching && newer) {
            self.load_changed.notify_one();
        }
        if self.current.replace(current) != current {
            log::info!(current, era, revision; "whether the configuration is current has changed");
        }
    }

    /// Returns what is notified when `upstream` starts to leave.
    pub(super) fn leaving_notice(&self, upstream: UpstreamKey) -> Rc<Notify> {
        let mut notices = self.leaving_notices.borrow_mut();
        let Some(entry) = notices.entry(upstream) else {
            return Rc::new(Notify::new());
        };
        Rc::clone(entry.or_insert_with(|| Rc::new(Notify::new())))
    }

    /// Notifies the requests at the upstream that has started to leave, if any has.
    fn notify_leaving(&self, leaving: Option<UpstreamKey>) {
        if let Some(notice) = leaving.and_then(|key| self.leaving_notices.borrow().get(key).cloned()) {
            notice.notify_waiters();
        }
    }

    /// Returns the channel on which the queued request `key` receives its place.
    pub(super) fn register_waiter(&self, key: WaitKey) -> oneshot::Receiver<Grant> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(key, sender);
        receiver
    }

    /// Removes the request `key` from the queue.
    pub(super) fn cancel_wait(&self, key: WaitKey) {
        self.fleet.borrow_mut().cancel_wait(key);
        self.waiters.borrow_mut().remove(key);
    }

    /// Places queued requests for as long as upstreams have room.
    pub(super) fn grant_waiting(&self) {
        loop {
            let now = self.now();
            let mut fleet = self.fleet.borrow_mut();
            let Some((key, upstream, size)) = fleet.grant_next(now) else {
                return;
            };
            let placed = fleet.start_request(upstream, size);
            fleet.take_permit(placed, now);
            let waiter = self.waiters.borrow_mut().remove(key);
            if waiter.is_none_or(|waiter| waiter.send((upstream, placed)).is_err()) {
                fleet.finish_request(placed);
            }
        }
    }

    fn set_peers(&self, addresses: Vec<SocketAddr>, registered: bool) {
        let known = addresses.len() + 1;
        self.repeats
            .observe_instances(known, registered, &self.settings.borrow(), self.now());
        *self.peers.borrow_mut() = addresses;
        // Instances that do not know this one yet learn of it, and tell what they know.
        self.load_changed.notify_one();
    }

    /// Counts a client's request to `service` for its retry budget.
    pub(super) fn record_request(&self, service: &str) {
        self.repeats
            .record_request(service, &self.settings.borrow(), self.now());
    }

    /// Sends a report to the control thread; drops it if the queue is full, so that requests are never held
    /// up.
    pub(super) fn report(&self, report: Report) {
        if let Err(error) = self.reports.try_send(report) {
            log::warn!(error:% = error; "report to the control thread dropped");
        }
    }

    /// Whether `bytes` more fit within the memory limit for bodies.
    pub(super) fn has_room(&self, bytes: usize) -> bool {
        self.body_bytes.get().saturating_add(bytes) <= self.settings.borrow().body_memory
    }

    /// Whether answers may hold more memory; the rest of it is for the bodies of requests.
    pub(super) fn has_answer_room(&self) -> bool {
        let limit = self.settings.borrow().body_memory as f64 * ANSWER_SHARE;
        self.body_bytes.get() as f64 <= limit
    }

    pub(super) fn add_body_bytes(&self, bytes: usize) {
        self.body_bytes.set(self.body_bytes.get() + bytes);
        metrics::gauge!("carobhaven_bodies_bytes").set(self.body_bytes.get() as f64);
    }

    pub(super) fn remove_body_bytes(&self, bytes: usize) {
        self.body_bytes.set(self.body_bytes.get().saturating_sub(bytes));
        metrics::gauge!("carobhaven_bodies_bytes").set(self.body_bytes.get() as f64);
    }

    pub(super) fn request_started(&self, request: Active) -> ActiveKey {
        self.active.borrow_mut().insert(request)
    }

    pub(super) fn request_ended(&self, key: ActiveKey) {
        self.active.borrow_mut().remove(key);
        self.notify_idle();
    }

    /// Has the regions of a request follow the configuration.
    pub(super) fn follow_residence(&self, followed: Rc<FollowedResidence>) -> ResidenceKey {
        self.residences.borrow_mut().insert(followed)
    }

    pub(super) fn forget_residence(&self, key: ResidenceKey) {
        self.residences.borrow_mut().remove(key);
    }

    pub(super) fn connection_opened(&self) {
        self.connections.set(self.connections.get() + 1);
    }

    pub(super) fn connection_closed(&self) {
        self.connections.set(self.connections.get().saturating_sub(1));
        self.notify_idle();
    }

    pub(super) fn listener_closed(&self) {
        self.listening.set(false);
        self.notify_idle();
    }

    /// Number of open client connections.
    pub(super) const fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Number of client connections and requests that are not finished, and 1 for a listener that may still
    /// bring some. A connection is finished once its last response is written, and a request once nothing runs
    /// for it any more.
    pub(super) fn open(&self) -> usize {
        self.connections.get() + self.active.borrow().len() + usize::from(self.listening.get())
    }

    fn notify_idle(&self) {
        if self.open() == 0 {
            self.idle.notify_waiters();
        }
    }

    /// Records the id of an active request, for log lines.
    pub(super) fn name_request(&self, key: ActiveKey, id: &Bytes) {
        if let Some(request) = self.active.borrow_mut().get_mut(key) {
            request.id = id.clone();
        }
    }

    /// Requests that are being handled.
    pub(super) fn active(&self) -> Ref<'_, SlotMap<ActiveKey, Active>> {
        self.active.borrow()
    }

    /// Waits until the process may exit; `shutdown` has begun.
    pub(super) async fn wait_finished(&self, shutdown: Shutdown) {
        loop {
            let idle = self.idle.notified();
            let now = self.now();
            if shutdown.may_exit(now, self.open()) {
                return;
            }
            let next = match shutdown.stage(now) {
                Stage::Notice => shutdown.closes(),
                Stage::Drain | Stage::Over => shutdown.exit(),
            };
            tokio::select! {
                () = idle => {}
                () = tokio::time::sleep(next.since(now)) => {}
            }
        }
    }

    /// Removes upstreams that left long ago and instances that have become unresponsive.
    pub(super) fn evict_stale(&self) {
        let now = self.now();
        self.fleet.borrow_mut().evict_stale(now);
        self.relays.borrow_mut().retain(|_, count| count.get() > 0);
        if !self.evidence.borrow().is_empty() {
            self.change_evidence(Evidence::evict_stale);
        }
    }
}
