//! The orders that one instance gives.

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
    /// Number of a store call, by which its result is fed back.
    pub struct CallId(pub u64);
}

carob_base::value! {
    /// An order to send now.
    pub struct OutgoingOrder {
        /// The upstream.
        pub upstream: Name,
        /// Fencing number to send along.
        pub fencing_number: FencingNumber,
        /// The order.
        pub order: Order,
    }

    /// What the driver has to do.
    #[derive(Default)]
    pub struct Actions {
        /// Store calls to make. Every call must be followed by [`Orders::on_reply`].
        pub calls: Vec<(CallId, Call)>,
        /// Orders to send. Ask [`Orders::may_send`] just before the first byte of each, take no longer than
        /// [`Options::send_timeout`], and report with [`Orders::on_outcome`].
        pub orders: Vec<OutgoingOrder>,
    }
}

#[derive(Clone, Debug)]
enum Purpose {
    Lease,
    Upstream(Name),
}

/// The orders that one instance gives while it holds the lease.
#[derive(Debug)]
pub struct Orders {
    options: Options,
    holder: LeaseHolder,
    upstreams: BTreeMap<Name, Progress>,
    calls: HashMap<CallId, Purpose>,
    next_call: u64,
}

impl Orders {
    /// An instance that gives no orders yet.
    pub fn new(options: Options, instance: &Name) -> Self {
        Self {
            options,
            holder: LeaseHolder::new(Bytes::from(instance.to_string())),
            upstreams: BTreeMap::new(),
            calls: HashMap::new(),
            next_call: 0,
        }
    }

    /// Takes in what upstreams should have loaded, such as after a new configuration.
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

    /// Takes in what an upstream reports about itself.
    pub fn observe(&mut self, observed: Observed, now: Time) {
        if let Some(progress) = self.upstreams.get_mut(&observed.upstream) {
            progress.observe(observed.model, now);
        }
    }

    /// Everything that has to be done now; `wall` is milliseconds since 1970. Call it at least every
    /// [`Options::retry_delay`].
    pub fn poll(&mut self, now: Time, wall: u64) -> Actions {
        let mut step = Actions::default();
        if let Some(call) = self.holder.poll(&self.options, now) {
            let id = self.next_call_id(Purpose::Lease);
            step.calls.push((id, call));
        }
        let Some(fence) = self.holder.fencing_number(std::time::Duration::ZERO, now) else {
            return step;
        };
        let cx = self.context(fence, now, wall);
        let mut upstreams = std::mem::take(&mut self.upstreams);
        for (name, progress) in &mut upstreams {
            match progress.poll(&cx) {
                None => {}
                Some(Request::Store(call)) => {
                    let id = self.next_call_id(Purpose::Upstream(name.clone()));
                    step.calls.push((id, call));
                }
                Some(Request::Send(order)) => step.orders.push(new_send(name, fence, order)),
            }
        }
        self.upstreams = upstreams;
        step
    }

    /// Whether an order under `fence` may be sent now: the lease must outlast the sending by a margin.
    pub fn may_send(&self, fence: FencingNumber, now: Time) -> bool {
        let left = self.options.send_timeout + self.options.send_margin;
        self.holder.fencing_number(left, now) == Some(fence)
    }

    /// Takes in the result of a store call.
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
                    progress.on_store(result, &cx);
                }
            }
        }
    }

    /// Takes in the result of sending an order; [`Outcome::NotSent`] if [`may_send`](Self::may_send) said no.
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

    /// The fencing number, while this instance holds the lease.
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
        "order: giving {} to {upstream} under fencing number {}",
        order.describe(),
        fence.0
    );
    OutgoingOrder {
        upstream: upstream.clone(),
        fencing_number: fence,
        order,
    }
}
