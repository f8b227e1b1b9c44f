//! Orders to engines, sent only while this instance holds the lease for orders.

use std::{sync::Arc, time::Duration};

use carob_base::{Name, Time};
use carob_config::Config;
use carob_order::{FencingNumber, Observed, Orders, Outcome, OutgoingOrder, plan};
use flume::Sender;

use super::{Control, claims::wall_millis, stored::Component};
use crate::{io::order::Job, shared::Phase};

/// Interval at which the state machine of orders is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which every engine is asked for the model that it has loaded.
const OBSERVE_INTERVAL: Duration = Duration::from_secs(5);
/// Key by which membership chooses the one instance of each failure domain that tries for the lease.
const HOME_KEY: &str = "carob/order";

/// An event of the order thread.
#[derive(Debug)]
pub enum Event {
    /// The model that an engine has loaded.
    Observed(Observed),
    /// The thread asks whether an order may be sent now.
    MaySend {
        /// The fencing number under which it would be sent.
        fencing_number: FencingNumber,
        /// Where the answer goes.
        reply: Sender<bool>,
    },
    /// Sending an order has ended.
    Sent {
        /// The order.
        order: Box<OutgoingOrder>,
        /// Whether it was sent, and what the engine answered.
        outcome: Outcome,
    },
}

/// The state machine of orders and its schedule.
#[derive(Debug)]
pub struct OrderState {
    /// The state machine.
    pub orders: Orders,
    next_poll: Time,
    next_observe: Time,
}

impl OrderState {
    /// The state of an instance that does not hold the lease yet.
    pub fn new(instance: &Name) -> Self {
        Self {
            orders: Orders::new(carob_order::Options::new(), instance),
            next_poll: Time::ZERO,
            next_observe: Time::ZERO,
        }
    }
}

impl Control {
    pub(super) fn on_order_event(&mut self, event: Event, now: Time) {
        let orders = &mut self.order_state.orders;
        match event {
            Event::Observed(observed) => orders.observe(observed, now),
            Event::MaySend {
                fencing_number,
                reply,
            } => {
                if reply.send(orders.may_send(fencing_number, now)).is_err() {
                    log::debug!("order: permission dropped, the order thread has ended");
                }
            }
            Event::Sent { order, outcome } => orders.on_outcome(&order, outcome, now, wall_millis()),
        }
    }

    /// Sets what engines should have loaded under a new configuration.
    pub(super) fn set_order_targets(&mut self, config: &Config) {
        self.order_state.orders.set_targets(plan::targets(config));
    }

    pub(super) fn poll_orders(&mut self, now: Time) {
        if now < self.order_state.next_poll {
            return;
        }
        self.order_state.next_poll = now + POLL_INTERVAL;
        // An instance that is leaving lets its lease lapse.
        if self.shared.phase() != Phase::Ready {
            return;
        }
        let holds = self.order_state.orders.fencing_number(now).is_some();
        // Only one instance of each failure domain tries for the lease, so that a large fleet adds little
        // load to the store.
        if !holds && !self.peers.members.is_home(HOME_KEY) {
            return;
        }
        let config = self.shared.config();
        if holds {
            self.observe_engines(&config, now);
        }
        let step = self.order_state.orders.poll(now, wall_millis());
        for (id, call) in step.calls {
            self.call_store(Component::Orders(id), call);
        }
        for order in step.orders {
            self.send_order(&config, order, now);
        }
    }

    fn observe_engines(&mut self, config: &Arc<Config>, now: Time) {
        if now < self.order_state.next_observe {
            return;
        }
        self.order_state.next_observe = now + OBSERVE_INTERVAL;
        let targets = plan::targets(config).into_iter();
        let upstreams = targets.filter_map(|target| config.upstreams.get(&target.upstream));
        let engines = upstreams.map(|upstream| (upstream.name.clone(), upstream.address));
        self.queue_job(Job::Observe(engines.collect()));
    }

    fn send_order(&mut self, config: &Config, order: OutgoingOrder, now: Time) {
        let Some(upstream) = config.upstreams.get(&order.upstream) else {
            let orders = &mut self.order_state.orders;
            return orders.on_outcome(&order, Outcome::NotSent, now, wall_millis());
        };
        let address = upstream.address;
        self.queue_job(Job::Send {
            order: Box::new(order),
            address,
        });
    }

    fn queue_job(&self, job: Job) {
        if self.channels.order.send(job).is_err() {
            log::debug!("control: the order thread has ended");
        }
    }
}
