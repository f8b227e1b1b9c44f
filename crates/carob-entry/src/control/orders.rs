//! Orders to engines, while this instance holds the lease for giving them.

use std::{sync::Arc, time::Duration};

use carob_base::{Name, Time};
use carob_config::Config;
use carob_order::{FencingNumber, Observed, Orders, Outcome, OutgoingOrder, plan};
use flume::Sender;

use super::{Control, claims::wall_millis, stored::Part};
use crate::{io::order::Job, shared::Phase};

/// Time between two looks at what is due.
const POLL_EVERY: Duration = Duration::from_millis(500);
/// Time between two looks at what every engine has loaded.
const OBSERVE_EVERY: Duration = Duration::from_secs(5);
/// Key by which one instance of each failure domain is chosen to try for the lease.
const HOME_KEY: &str = "carob/order";

/// What the order thread says.
#[derive(Debug)]
pub enum Event {
    /// What an engine has loaded.
    Observed(Observed),
    /// An order is about to be sent.
    MaySend {
        /// The fencing number under which it would be sent.
        fence: FencingNumber,
        /// Whether it may.
        reply: Sender<bool>,
    },
    /// An order was sent, or not.
    Sent {
        /// The order.
        send: Box<OutgoingOrder>,
        /// Its result.
        outcome: Outcome,
    },
}

/// Orders and when they are looked at.
#[derive(Debug)]
pub struct Ordering {
    /// The state machine.
    pub orders: Orders,
    next_poll: Time,
    next_observe: Time,
}

impl Ordering {
    /// An instance that gives no orders yet.
    pub fn new(instance: &Name) -> Self {
        Self {
            orders: Orders::new(carob_order::Options::new(), instance),
            next_poll: Time::ZERO,
            next_observe: Time::ZERO,
        }
    }
}

impl Control {
    pub(super) fn order(&mut self, event: Event, now: Time) {
        let orders = &mut self.ordering.orders;
        match event {
            Event::Observed(observed) => orders.observe(observed, now),
            Event::MaySend { fence, reply } => {
                if reply.send(orders.may_send(fence, now)).is_err() {
                    log::debug!("order: the order thread does not wait any more");
                }
            }
            Event::Sent { send, outcome } => orders.on_outcome(&send, outcome, now, wall_millis()),
        }
    }

    /// A new configuration says what engines should have loaded.
    pub(super) fn set_order_targets(&mut self, config: &Config) {
        self.ordering.orders.set_targets(plan::targets(config));
    }

    pub(super) fn poll_orders(&mut self, now: Time) {
        if now < self.ordering.next_poll {
            return;
        }
        self.ordering.next_poll = now + POLL_EVERY;
        // An instance that leaves lets its lease lapse.
        if self.shared.phase() != Phase::Ready {
            return;
        }
        let holds = self.ordering.orders.fencing_number(now).is_some();
        // One instance of each failure domain tries for the lease, so that a large fleet costs the store little.
        if !holds && !self.peers.members.is_home(HOME_KEY) {
            return;
        }
        let config = self.shared.config();
        if holds {
            self.observe_engines(&config, now);
        }
        let step = self.ordering.orders.poll(now, wall_millis());
        for (id, call) in step.calls {
            self.ask_store(Part::Orders(id), call);
        }
        for send in step.orders {
            self.give(&config, send, now);
        }
    }

    fn observe_engines(&mut self, config: &Arc<Config>, now: Time) {
        if now < self.ordering.next_observe {
            return;
        }
        self.ordering.next_observe = now + OBSERVE_EVERY;
        let targets = plan::targets(config).into_iter();
        let upstreams = targets.filter_map(|target| config.upstreams.get(&target.upstream));
        let engines = upstreams.map(|upstream| (upstream.name.clone(), upstream.address));
        self.order_job(Job::Observe(engines.collect()));
    }

    fn give(&mut self, config: &Config, send: OutgoingOrder, now: Time) {
        let Some(upstream) = config.upstreams.get(&send.upstream) else {
            let orders = &mut self.ordering.orders;
            return orders.on_outcome(&send, Outcome::NotSent, now, wall_millis());
        };
        let address = upstream.address;
        self.order_job(Job::Give {
            send: Box::new(send),
            address,
        });
    }

    fn order_job(&self, job: Job) {
        if self.channels.order.send(job).is_err() {
            log::debug!("control: the order thread has ended");
        }
    }
}
