//! State that all requests of the traffic thread share.

use std::{
    cell::{Cell, Ref, RefCell, RefMut},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use carob_base::{Clock, Time};
use carob_dispatch::{
    budget::{self, RetryBudget},
    fleet::{Fleet, RunKey, Topology, UpstreamKey, WaitKey},
    table::RoutingTable,
};
use flume::Sender;
use slotmap::SecondaryMap;
use tokio::sync::{Notify, oneshot};

use crate::{
    Settings,
    update::{Report, StoreUpdate, Update},
};

/// Instances among which the fixed part of a retry budget is divided, if fewer are known.
///
/// Instances that are not known yet must find their share unspent.
const LEAST_INSTANCES: usize = 10;

/// Instances tell their load once a second; one is silent after missing two messages.
const SILENT: Duration = Duration::from_millis(2_200);

/// The least number of other instances from which a majority is counted.
const FEW_PEERS: usize = 3;

/// An upstream for a request that waited, with its run noted.
pub(super) type Grant = (UpstreamKey, RunKey);

/// State of the traffic thread.
pub(super) struct Shared {
    pub(super) clock: Clock,
    settings: RefCell<Arc<Settings>>,
    table: RefCell<Option<Arc<RoutingTable>>>,
    fleet: RefCell<Fleet>,
    budgets: RefCell<HashMap<Box<str>, RetryBudget>>,
    /// Whether the configuration can be taken as current.
    current: Cell<bool>,
    watching: Cell<bool>,
    /// Whether news of upstreams does not come.
    blind: Cell<bool>,
    /// Told when that changes.
    pub(super) sight: Notify,
    /// Changes of the store's content that others have not been told of.
    news: RefCell<Option<StoreUpdate>>,
    revision: Cell<u64>,
    peers: RefCell<Vec<SocketAddr>>,
    reports: Sender<Report>,
    /// Who waits for a grant.
    grants: RefCell<SecondaryMap<WaitKey, oneshot::Sender<Grant>>>,
    /// Told when an upstream begins to leave.
    notices: RefCell<SecondaryMap<UpstreamKey, Rc<Notify>>>,
    /// When upstreams were last asked whether they leave.
    probed: RefCell<SecondaryMap<UpstreamKey, Time>>,
    /// Requests that are being handled.
    active: Cell<usize>,
    /// Bytes of bodies that are held.
    bodies: Cell<usize>,
    leaving: Cell<Option<Time>>,
    /// Told when the process begins to leave.
    pub(super) leave: Notify,
    /// Told when the last request has ended while leaving, and when time is up.
    idle: Notify,
    /// Told when this instance's load has changed.
    pub(super) changed: Notify,
}

impl Shared {
    pub(super) fn new(settings: Arc<Settings>, reports: Sender<Report>) -> Self {
        let position = Topology {
            domain: settings.domain.clone(),
            regions: settings.regions.clone(),
        };
        Self {
            clock: Clock::new(),
            settings: RefCell::new(settings),
            table: RefCell::new(None),
            fleet: RefCell::new(Fleet::new(position, rand::random())),
            budgets: RefCell::new(HashMap::new()),
            current: Cell::new(false),
            watching: Cell::new(false),
            blind: Cell::new(false),
            sight: Notify::new(),
            news: RefCell::new(None),
            revision: Cell::new(0),
            peers: RefCell::new(Vec::new()),
            reports,
            grants: RefCell::new(SecondaryMap::new()),
            notices: RefCell::new(SecondaryMap::new()),
            probed: RefCell::new(SecondaryMap::new()),
            active: Cell::new(0),
            bodies: Cell::new(0),
            leaving: Cell::new(None),
            leave: Notify::new(),
            idle: Notify::new(),
            changed: Notify::new(),
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

    pub(super) fn fleet(&self) -> Ref<'_, Fleet> {
        self.fleet.borrow()
    }

    pub(super) fn fleet_mut(&self) -> RefMut<'_, Fleet> {
        self.fleet.borrow_mut()
    }

    pub(super) fn peers(&self) -> Vec<SocketAddr> {
        self.peers.borrow().clone()
    }

    pub(super) const fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Whether the configuration can be taken as current.
    pub(super) const fn current(&self) -> bool {
        self.current.get()
    }

    /// Whether this instance watches the store itself, and the store answers.
    pub(super) const fn watching(&self) -> bool {
        self.watching.get()
    }

    /// Whether news of upstreams does not come.
    pub(super) const fn blind(&self) -> bool {
        self.blind.get()
    }

    /// Whether most other instances are silent, so that what they run is not known.
    pub(super) fn alone(&self) -> bool {
        let now = self.now();
        let known = self.peers.borrow().len();
        // Too few to tell; then there are too few whose load would be missed.
        known >= FEW_PEERS && self.fleet.borrow().recent_peers(SILENT, now) * 2 < known
    }

    /// Whether `upstream` has not been asked for `every`; notes that it is asked now.
    pub(super) fn probe_due(&self, upstream: UpstreamKey, every: Duration) -> bool {
        let now = self.now();
        let mut probed = self.probed.borrow_mut();
        if probed
            .get(upstream)
            .is_some_and(|asked| now.since(*asked) < every)
        {
            return false;
        }
        probed.insert(upstream, now);
        true
    }

    /// Takes in that an upstream says that it leaves.
    pub(super) fn leaves(&self, upstream: UpstreamKey) {
        let now = self.now();
        let left = self.fleet.borrow_mut().mark_leaving(upstream, now);
        self.notify_leaving(left);
    }

    /// Changes of the store's content that others have not been told of.
    pub(super) fn take_news(&self) -> Option<StoreUpdate> {
        self.news.borrow_mut().take()
    }

    /// Whether new connections are welcome: a configuration and an upstream are known, and the process stays.
    pub(super) fn ready(&self) -> bool {
        self.leaving.get().is_none()
            && self.table.borrow().is_some()
            && self.fleet.borrow().upstreams().next().is_some()
    }

    /// When the process began to leave.
    pub(super) const fn leaving(&self) -> Option<Time> {
        self.leaving.get()
    }

    /// How long requests can still be served, once the process has begun to leave.
    pub(super) fn remaining(&self) -> Option<Duration> {
        let left = self.leaving.get()?;
        Some(self.settings().grace.saturating_sub(self.now().since(left)))
    }

    /// Takes in a message of the control thread.
    pub(super) fn update(&self, update: Update) {
        let now = self.now();
        match update {
            Update::Table(table) => *self.table.borrow_mut() = Some(table),
            Update::Entry(entry) => {
                log::info!(
                    upstream:% = entry.id, service:% = entry.service, address:% = entry.address,
                    domain:% = entry.domain, state:? = entry.state, born = entry.started_ms; "directory entry"
                );
                let left = self.fleet.borrow_mut().update_entry(entry, now);
                self.notify_leaving(left);
                self.grant();
            }
            Update::EntryRemoved(id) => {
                log::info!(upstream:% = id; "directory entry removed");
                let left = self.fleet.borrow_mut().remove_entry(&id, now);
                self.notify_leaving(left);
            }
            Update::Peers(peers) => *self.peers.borrow_mut() = peers,
            Update::StoreStatus {
                revision,
                current,
                watching,
                uninformed: blind,
            } => {
                if self.blind.replace(blind) != blind {
                    log::info!(blind, revision; "news of upstreams changed");
                    self.sight.notify_waiters();
                }
                let newer = self.revision.replace(revision) != revision;
                if self.watching.replace(watching) != watching || (watching && newer) {
                    self.changed.notify_one();
                }
                if self.current.replace(current) != current {
                    log::info!(current, revision; "currency of the configuration changed");
                }
            }
            Update::StoreUpdate(news) => {
                let mut pending = self.news.borrow_mut();
                match pending.as_mut() {
                    Some(earlier) => {
                        earlier.revision = news.revision;
                        earlier.items.extend(news.items);
                    }
                    None => *pending = Some(news),
                }
                self.changed.notify_one();
            }
            Update::Settings(settings) => *self.settings.borrow_mut() = settings,
            Update::Shutdown => {
                if self.leaving.get().is_none() {
                    self.leaving.set(Some(now));
                    self.leave.notify_waiters();
                }
            }
        }
    }

    /// Told when `upstream` begins to leave.
    pub(super) fn notice(&self, upstream: UpstreamKey) -> Rc<Notify> {
        let mut notices = self.notices.borrow_mut();
        let Some(entry) = notices.entry(upstream) else {
            return Rc::new(Notify::new());
        };
        Rc::clone(entry.or_insert_with(|| Rc::new(Notify::new())))
    }

    fn notify_leaving(&self, left: Option<UpstreamKey>) {
        if let Some(notice) = left.and_then(|key| self.notices.borrow().get(key).cloned()) {
            notice.notify_waiters();
        }
    }

    /// Waits for `key` to be granted.
    pub(super) fn expect(&self, key: WaitKey) -> oneshot::Receiver<Grant> {
        let (sender, receiver) = oneshot::channel();
        self.grants.borrow_mut().insert(key, sender);
        receiver
    }

    /// Gives up waiting for `key`.
    pub(super) fn abandon(&self, key: WaitKey) {
        self.fleet.borrow_mut().cancel_wait(key);
        self.grants.borrow_mut().remove(key);
    }

    /// Places requests that wait, now that there may be room.
    pub(super) fn grant(&self) {
        loop {
            let now = self.now();
            let mut fleet = self.fleet.borrow_mut();
            let Some((key, upstream, size)) = fleet.grant_next(now) else {
                return;
            };
            let run = fleet.start_request(upstream, size);
            let waiter = self.grants.borrow_mut().remove(key);
            if waiter.is_none_or(|waiter| waiter.send((upstream, run)).is_err()) {
                fleet.finish_request(run);
            }
        }
    }

    /// The budget of `service`.
    pub(super) fn with_budget<T>(&self, service: &str, act: impl FnOnce(&mut RetryBudget, Time) -> T) -> T {
        let now = self.now();
        let mut budgets = self.budgets.borrow_mut();
        if let Some(budget) = budgets.get_mut(service) {
            return act(budget, now);
        }
        let settings = self.settings.borrow();
        let instances = (self.peers.borrow().len() + 1).max(LEAST_INSTANCES);
        let budget = budgets
            .entry(service.into())
            .or_insert(RetryBudget::new(budget::Options {
                window: settings.retry_window,
                ratio: settings.retry_ratio,
                extra: settings.extra_retries / instances as f64,
            }));
        act(budget, now)
    }

    pub(super) fn report(&self, report: Report) {
        if let Err(error) = self.reports.try_send(report) {
            log::warn!(error:% = error; "the control thread did not get a report");
        }
    }

    /// Whether bodies may hold `bytes` more.
    pub(super) fn has_room(&self, bytes: usize) -> bool {
        self.bodies.get().saturating_add(bytes) <= self.settings.borrow().body_memory
    }

    pub(super) fn hold(&self, bytes: usize) {
        self.bodies.set(self.bodies.get() + bytes);
        metrics::gauge!("carobhaven_bodies_bytes").set(self.bodies.get() as f64);
    }

    pub(super) fn release(&self, bytes: usize) {
        self.bodies.set(self.bodies.get().saturating_sub(bytes));
        metrics::gauge!("carobhaven_bodies_bytes").set(self.bodies.get() as f64);
    }

    pub(super) fn begin(&self) {
        self.active.set(self.active.get() + 1);
    }

    pub(super) fn end(&self) {
        self.active.set(self.active.get().saturating_sub(1));
        if self.active.get() == 0 {
            self.idle.notify_waiters();
        }
    }

    pub(super) const fn active(&self) -> usize {
        self.active.get()
    }

    /// Returns when no request is being handled.
    pub(super) async fn quiet(&self) {
        while self.active.get() > 0 {
            self.idle.notified().await;
        }
    }

    /// Forgets upstreams that left long ago.
    pub(super) fn tidy(&self) {
        let now = self.now();
        self.fleet.borrow_mut().evict_stale(now);
    }
}
