//! RAII guards for the state of a request, whose future may be dropped at any await point.

use std::{
    cell::{Cell, Ref, RefCell},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use carob_base::Time;
use carob_dispatch::{
    fleet::{RelayedRequest, RequestSize, RunKey, UpstreamKey, WaitKey, urgency},
    limits::Spent,
    regions::Regions,
    residence::Residence,
    table::{self, RoutingTable},
};
use tokio::{
    sync::{Notify, oneshot},
    time::Instant,
};

use super::{
    pace::Sent,
    shared::{Grant, Shared},
};

slotmap::new_key_type! {
    /// Key of a request that is being handled.
    pub(super) struct ActiveKey;
}

/// What is known of a request that is being handled, for log lines about it.
pub(super) struct Active {
    /// Empty until the head is decoded.
    pub(super) id: Bytes,
    pub(super) arrival: Time,
    /// When the connection of the request was accepted.
    pub(super) connected: Time,
    /// Number of requests that arrived on the connection before.
    pub(super) earlier: u32,
}

/// Guard that counts a request as active until the guard is dropped.
pub(super) struct ActiveRequest {
    shared: Rc<Shared>,
    pub(super) key: ActiveKey,
}

impl ActiveRequest {
    /// Counts a request that has arrived now, on a connection accepted at `connected` after `earlier` others.
    pub(super) fn new(shared: &Rc<Shared>, connected: Time, earlier: u32) -> Self {
        let key = shared.request_started(Active {
            id: Bytes::new(),
            arrival: shared.now(),
            connected,
            earlier,
        });
        Self {
            shared: Rc::clone(shared),
            key,
        }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.shared.request_ended(self.key);
    }
}

slotmap::new_key_type! {
    /// Key of a [`FollowedResidence`].
    pub(super) struct ResidenceKey;
}

/// Regions of a request, and what it is looked up by in later configurations.
pub(super) struct FollowedResidence {
    host: Box<str>,
    path: Box<str>,
    key: Option<Box<str>>,
    residence: RefCell<Residence>,
    /// Notified when the request may run in other regions than before.
    changed: Notify,
}

impl FollowedResidence {
    /// Follows the `residence` of a request for `path` of `host` with `key`.
    pub(super) fn new((host, path): (&str, &str), key: Option<&str>, residence: Residence) -> Self {
        Self {
            host: host.into(),
            path: path.into(),
            key: key.map(Into::into),
            residence: RefCell::new(residence),
            changed: Notify::new(),
        }
    }

    /// The regions by route and account, and the version that says so.
    pub(super) fn get(&self) -> Ref<'_, Residence> {
        self.residence.borrow()
    }

    /// The regions by the newest configuration that says so.
    pub(super) fn regions(&self) -> Regions {
        self.get().regions()
    }

    /// Applies a later configuration.
    pub(super) fn update(&self, table: &RoutingTable) {
        let account = table.account(self.key.as_deref());
        let mut residence = self.residence.borrow_mut();
        if residence.update(table, (&self.host, &self.path), account) {
            self.changed.notify_waiters();
        }
    }

    /// Takes over where the request may run by the configuration of another instance, if that is newer.
    pub(super) fn learn(&self, told: Residence) {
        let mut residence = self.residence.borrow_mut();
        if told.version() <= residence.version() {
            return;
        }
        let before = std::mem::replace(&mut *residence, told);
        if residence.regions() != before.regions() {
            self.changed.notify_waiters();
        }
    }

    /// What another instance is told that relays a connection.
    pub(super) fn describe(&self) -> RelayedRequest {
        RelayedRequest {
            residence: self.residence.borrow().clone(),
            host: self.host.clone(),
            path: self.path.clone(),
            key_hash: self.key.as_deref().map(table::key_hash),
        }
    }
}

/// Guard that has the regions of a request follow the configuration until the guard is dropped.
pub(super) struct ResidenceGuard {
    shared: Rc<Shared>,
    key: ResidenceKey,
    followed: Rc<FollowedResidence>,
}

impl ResidenceGuard {
    pub(super) fn new(shared: &Rc<Shared>, followed: FollowedResidence) -> Self {
        let followed = Rc::new(followed);
        Self {
            shared: Rc::clone(shared),
            key: shared.follow_residence(Rc::clone(&followed)),
            followed,
        }
    }

    /// Returns once the request may run in other regions than now.
    pub(super) fn changed(&self) -> impl Future<Output = ()> + '_ {
        self.followed.changed.notified()
    }

    /// The regions, and what the request is looked up by.
    pub(super) fn followed(&self) -> &FollowedResidence {
        &self.followed
    }

    /// The regions by the newest configuration that says so.
    pub(super) fn get(&self) -> Ref<'_, Residence> {
        self.followed.get()
    }
}

impl Drop for ResidenceGuard {
    fn drop(&mut self) {
        self.shared.forget_residence(self.key);
    }
}

/// Guard that counts a client connection as open until the guard is dropped.
pub(super) struct OpenConnection(Rc<Shared>);

impl OpenConnection {
    pub(super) fn new(shared: &Rc<Shared>) -> Self {
        shared.connection_opened();
        Self(Rc::clone(shared))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connection_closed();
    }
}

/// Capacity of an upstream that is reserved for a request; dropping this guard frees it.
pub(super) struct Reservation {
    shared: Rc<Shared>,
    pub(super) upstream: UpstreamKey,
    key: RunKey,
    pub(super) size: RequestSize,
    /// Absent until the request is sent.
    sent: Cell<Option<Sent>>,
    pub(super) placed: Instant,
    /// Time to the first event that was expected when the capacity was reserved.
    pub(super) expected: Duration,
}

impl Reservation {
    /// Reserves capacity for a request of `size` at `upstream`.
    pub(super) fn new(shared: &Rc<Shared>, upstream: UpstreamKey, size: RequestSize) -> Self {
        let now = shared.now();
        let mut fleet = shared.fleet_mut();
        let key = fleet.start_request(upstream, size);
        fleet.take_permit(key, now);
        drop(fleet);
        Self::adopt(shared, upstream, key, size)
    }

    /// Counts a request at `upstream` that another instance has a permit for, if one is needed.
    pub(super) fn without_permit(shared: &Rc<Shared>, upstream: UpstreamKey, size: RequestSize) -> Self {
        let key = shared.fleet_mut().start_request(upstream, size);
        Self::adopt(shared, upstream, key, size)
    }

    /// Takes over a reservation that the fleet has already recorded under `key`.
    pub(super) fn adopt(shared: &Rc<Shared>, upstream: UpstreamKey, key: RunKey, size: RequestSize) -> Self {
        shared.load_changed.notify_one();
        let expected = shared.fleet().upstream(upstream).map_or(Duration::ZERO, |found| {
            urgency::prefill_time(found.pending_prefill(), found.total_requests())
        });
        Self {
            shared: Rc::clone(shared),
            upstream,
            key,
            size,
            sent: Cell::new(None),
            placed: Instant::now(),
            expected,
        }
    }

    /// Records that the request is sent; returns whether it had a permit. Until then its permit is given back when the
    /// guard is dropped.
    pub(super) fn record_sent(&self) -> bool {
        let sent = Sent::new(&self.shared.fleet(), self.upstream, self.size);
        self.sent.set(sent);
        self.shared.fleet_mut().record_sent(self.key)
    }

    /// Spends a permit if the upstream is cold.
    pub(super) fn spend_cold(&self) -> Spent {
        let now = self.shared.now();
        self.shared.fleet_mut().spend_cold(self.key, now)
    }

    /// When the request was sent; `None` before.
    pub(super) const fn sent(&self) -> Option<Sent> {
        self.sent.get()
    }

    /// Corrects the reserved size.
    pub(super) fn resize(&mut self, size: RequestSize) {
        let prefilled = size.prefill < self.size.prefill;
        self.size = size;
        self.shared.fleet_mut().resize(self.key, size);
        self.shared.load_changed.notify_one();
        if prefilled {
            let now = self.shared.now();
            self.shared.fleet_mut().record_prefilled(self.upstream, now);
            // Patient requests wait for that.
            self.shared.grant_waiting();
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shared.fleet_mut().finish_request(self.key);
        self.shared.load_changed.notify_one();
        self.shared.grant_waiting();
        if self.shared.fleet().limits().brittle_count() > 0 {
            self.shared.limits_changed.notify_one();
        }
    }
}

/// Entry of a request in the queue; dropping it cancels the wait.
pub(super) struct QueueEntry {
    shared: Rc<Shared>,
    key: WaitKey,
    pub(super) grant: oneshot::Receiver<Grant>,
}

impl QueueEntry {
    pub(super) fn new(shared: &Rc<Shared>, key: WaitKey) -> Self {
        Self {
            shared: Rc::clone(shared),
            key,
            grant: shared.register_waiter(key),
        }
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.shared.cancel_wait(self.key);
        // Others are told of the queue.
        self.shared.load_changed.notify_one();
        // A place that was granted and not taken is free again.
        if let Ok((_, run)) = self.grant.try_recv() {
            self.shared.fleet_mut().finish_request(run);
            self.shared.grant_waiting();
        }
    }
}
