//! The state machine that issues one instance's orders.

use std::collections::{BTreeMap, HashMap};

use bytes::Bytes;
use carob_base::{Name, Time};
use carob_store::{Call, Failure, Reply};

use crate::{
    FencingNumber, Observed, Options, Order, Outcome, Target,
    lease::LeaseHolder,
    target::{Context, Progress, Request},
};

carob_base::plain! {
    /// Identifies a store call when its result is passed back.
    pub struct CallId(pub u64);
}

carob_base::value! {
    /// An order that is due to be sent.
    pub struct OutgoingOrder {
        /// Upstream that gets the order.
        pub upstream: Name,
        /// Fencing number to send with the order.
        pub fencing_number: FencingNumber,
        /// What the upstream has to do.
        pub order: Order,
    }

    /// What the caller of [`Orders::poll`] has to do.
    #[derive(Default)]
    pub struct Actions {
        /// Store calls to make. Pass the result of each to [`Orders::on_reply`].
        pub calls: Vec<(CallId, Call)>,
        /// Orders to send. Check [`Orders::may_send`] just before the first byte of each, take no longer than
        /// [`Options::send_timeout`], and pass the result to [`Orders::on_outcome`].
        pub orders: Vec<OutgoingOrder>,
    }
}

/// What a store call was made for.
#[derive(Clone, Debug)]
enum Purpose {
    Lease,
    Upstream(Name),
}

/// Issues the orders of one instance while it holds the lease.
#[derive(Debug)]
pub struct Orders {
    options: Options,
    holder: LeaseHolder,
    upstreams: BTreeMap<Name, Progress>,
    calls: HashMap<CallId, Purpose>,
    next_call: u64,
}

impl Orders {
    /// Creates the state of an instance that holds no lease and has no targets.
    pub fn new(options: Options, instance: &Name) -> Self {
        Self {
            options,
            holder: LeaseHolder::new(Bytes::from(instance.to_string())),
            upstreams: BTreeMap::new(),
            calls: HashMap::new(),
            next_call: 0,
        }
    }

    /// Replaces the desired states of upstreams, for instance after a change of the configuration. Upstreams
    /// that stay keep their progress.
    pub fn set_targets(&mut self, targets: Vec<Target>) {
        let mut old = std::mem::take(&mut self.upstreams);
        for target in targets {
            let name = target.upstream.clone();
            let progress = match old.remove(&name) {
                Some(mut progress) => {
                    progress.target = target;
                    progress
                }
                None => Progress::new(target),
            };
            self.upstreams.insert(name, progress);
        }
    }

    /// Updates the state that an upstream reports about itself. Upstreams without a target are ignored.
    pub fn observe(&mut self, observed: Observed, now: Time) {
        if let Some(progress) = self.upstreams.get_mut(&observed.upstream) {
            progress.observe(observed.model, now);
        }
    }

    /// Returns everything that is due now; `wall` is the Unix time in milliseconds. Call this at least every
    /// [`Options::retry_delay`].
    pub fn poll(&mut self, now: Time, wall: u64) -> Actions {
        let mut actions = Actions::default();
        if let Some(call) = self.holder.poll(&self.options, now) {
            let id = self.next_call_id(Purpose::Lease);
            actions.calls.push((id, call));
        }
        let Some(fence) = self.holder.fencing_number(std::time::Duration::ZERO, now) else {
            return actions;
        };
        let cx = self.context(fence, now, wall);
        let mut upstreams = std::mem::take(&mut self.upstreams);
        for (name, progress) in &mut upstreams {
            match progress.poll(&cx) {
                None => {}
                Some(Request::Store(call)) => {
                    let id = self.next_call_id(Purpose::Upstream(name.clone()));
                    actions.calls.push((id, call));
                }
                Some(Request::Send(order)) => actions.orders.push(new_send(name, fence, order)),
            }
        }
        self.upstreams = upstreams;
        actions
    }

    /// Whether an order under `fence` may be sent now: the lease must outlast [`Options::send_timeout`] by
    /// [`Options::send_margin`].
    pub fn may_send(&self, fence: FencingNumber, now: Time) -> bool {
        let left = self.options.send_timeout + self.options.send_margin;
        self.holder.fencing_number(left, now) == Some(fence)
    }

    /// Handles the result of a store call. `wall` is the Unix time in milliseconds.
    pub fn on_reply(&mut self, call: CallId, result: Result<Reply, Failure>, now: Time, wall: u64) {
        match self.calls.remove(&call) {
            None => {}
            Some(Purpose::Lease) => self.holder.on_reply(result, &self.options, now),
            Some(Purpose::Upstream(name)) => {
                let fence = self
                    .holder
                    .fencing_number(std::time::Duration::ZERO, now)
                    .unwrap_or(FencingNumber(0));
                let cx = self.context(fence, now, wall);
                if let Some(progress) = self.upstreams.get_mut(&name) {
                    progress.on_reply(result, &cx);
                }
            }
        }
    }

    /// Handles the result of sending an order; [`Outcome::NotSent`] if [`may_send`](Self::may_send) returned
    /// `false`. `wall` is the Unix time in milliseconds.
    pub fn on_outcome(&mut self, send: &OutgoingOrder, outcome: Outcome, now: Time, wall: u64) {
        log::info!(
            "order: {} for {} under fencing number {}: {outcome:?}",
            send.order.describe(),
            send.upstream,
            send.fencing_number.0
        );
        let cx = self.context(send.fencing_number, now, wall);
        if let Some(progress) = self.upstreams.get_mut(&send.upstream) {
            progress.on_outcome(outcome, &cx);
        }
    }

    /// The fencing number; `None` while this instance does not hold the lease.
    pub fn fencing_number(&self, now: Time) -> Option<FencingNumber> {
        self.holder.fencing_number(std::time::Duration::ZERO, now)
    }

    fn context(&self, fence: FencingNumber, now: Time, wall: u64) -> Context {
        Context {
            options: self.options,
            fence,
            may_send: self.may_send(fence, now),
            now,
            wall,
        }
    }

    fn next_call_id(&mut self, purpose: Purpose) -> CallId {
        self.next_call += 1;
        let id = CallId(self.next_call);
        self.calls.insert(id, purpose);
        id
    }
}

fn new_send(upstream: &Name, fence: FencingNumber, order: Order) -> OutgoingOrder {
    log::info!(
        "order: sending {} to {upstream} under fencing number {}",
        order.describe(),
        fence.0
    );
    OutgoingOrder {
        upstream: upstream.clone(),
        fencing_number: fence,
        order,
    }
}
