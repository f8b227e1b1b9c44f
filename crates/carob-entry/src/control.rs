//! The control thread: it owns all control state and handles typed events.
//!
//! * [`claims`]: claims on idempotency keys.
//! * [`event`]: events from other threads, and directives to workers.
//! * [`health`]: health of upstreams.
//! * [`orders`]: orders to engines.
//! * [`stored`]: results of store calls.
//! * [`status`]: snapshots for operators.
//!
//! Each part of the state is a pure state machine in its own crate. The modules here pass events to the state
//! machines and carry out the actions that they return.

pub mod claims;
pub mod event;
pub mod health;
pub mod orders;
pub mod status;
pub mod stored;

mod config;
mod peers;
mod requests;
mod suspects;

use std::{sync::Arc, time::Duration};

use carob_base::Time;
use carob_claim::Claims;
use carob_route::Router;
use carob_suspect::Suspects;
use flume::{Receiver, RecvTimeoutError, Sender};

pub use event::{Destination, Directive, Event};
use health::Source;
pub use peers::Peers;

use crate::{
    io::{fetch, order, poll, store, watch},
    shared::{Phase, Shared},
};

/// Interval of periodic work: membership, orders, the configuration and expired retries.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of further events handled before due work is done.
const MAX_BATCH: usize = 256;
/// Delay of the periodic work beyond which it is logged that the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// Channels to the threads that do I/O for the control thread.
#[derive(Clone, Debug)]
pub struct Channels {
    /// Store calls.
    pub store: Sender<store::Job>,
    /// Watches of the store.
    pub watch: Sender<watch::Job>,
    /// Orders to engines.
    pub order: Sender<order::Job>,
    /// Requests for the configuration to peers.
    pub fetch: Sender<fetch::Job>,
    /// Health checks outside the regular polls.
    pub probe: Sender<poll::Probe>,
}

/// All control state of an instance.
#[derive(Debug)]
pub struct Control {
    shared: Arc<Shared>,
    events: Receiver<Event>,
    channels: Channels,
    router: Router,
    requests: requests::Requests,
    config: config::ConfigState,
    claims: Claims,
    claim_waiters: claims::Waiters,
    health: health::Health,
    peers: peers::Peers,
    order_state: orders::OrderState,
    suspects: Suspects,
    /// When the periodic work is due.
    next_tick: Time,
}

impl Control {
    /// The state of an instance that has just started.
    pub fn new(
        shared: Arc<Shared>,
        events: Receiver<Event>,
        channels: Channels,
        peers: peers::Peers,
    ) -> Self {
        let options = &shared.options;
        let route = carob_route::Options::new(options.domain.clone(), options.region.clone());
        let holder = rand::random();
        Self {
            router: Router::new(route.with_seed(options.seed)),
            requests: requests::Requests::default(),
            config: config::ConfigState::new(options.seed),
            claims: Claims::new(carob_claim::Options::new(), holder),
            claim_waiters: claims::Waiters::default(),
            health: health::Health::default(),
            peers,
            order_state: orders::OrderState::new(&options.name),
            suspects: Suspects::new(carob_suspect::Options::new(), holder),
            next_tick: shared.now(),
            shared,
            events,
            channels,
        }
    }

    /// Runs until [`Event::Stop`] arrives or every sender is gone.
    pub fn run(mut self) {
        loop {
            let now = self.shared.now();
            let wait = self.deadline().since(now).min(TICK_INTERVAL);
            match self.events.recv_timeout(wait) {
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return self.close_peers(),
                Ok(event) => self.handle(event),
                Err(RecvTimeoutError::Timeout) => {}
            }
            for _ in 0..MAX_BATCH {
                match self.events.try_recv() {
                    Ok(Event::Stop) => return self.close_peers(),
                    Ok(event) => self.handle(event),
                    Err(_) => break,
                }
            }
            self.tick();
        }
    }

    fn deadline(&self) -> Time {
        self.router.deadline().min(self.claims.deadline())
    }

    fn handle(&mut self, event: Event) {
        let now = self.shared.now();
        match event {
            Event::Submit {
                request,
                fingerprint,
                reply,
            } => self.submit(request, fingerprint, reply, now),
            Event::Retry { id, end, incarnation } => {
                self.note_incarnation(id, incarnation);
                self.retry(id, end, now);
            }
            Event::Progress { id, tokens } => self.router.progress(id, tokens, now),
            Event::Finish {
                id,
                end,
                incarnation,
                intervals,
            } => {
                self.note_incarnation(id, incarnation);
                self.finish(id, end, intervals.as_deref(), now);
            }
            Event::AnswerIdentified { id, answer } => self.on_answer_identified(id, answer),
            Event::Resumed { answer, reply, id } => self.on_resumed(answer, reply, id),
            Event::LoadReport {
                upstream,
                report,
                sampled_at,
            } => self.on_load_report(&upstream, report, sampled_at, now),
            Event::CacheEvents { upstream, events } => {
                self.router.apply_cache_events(&upstream, &events, now);
            }
            Event::Reachable { upstream, checked_at } => {
                self.on_reachable(&upstream, checked_at, Source::Local, now);
            }
            Event::Unreachable {
                upstream,
                checked_at,
                failure,
            } => self.on_unreachable(&upstream, checked_at, failure, now),
            Event::Claim(event) => self.on_claim_event(event, now),
            Event::Order(event) => self.on_order_event(event, now),
            Event::StoreReply(reply) => self.on_store_reply(reply, now),
            Event::Follow(event) => self.on_config_event(event, now),
            Event::Ledger { reply } => self.send_ledger(&reply),
            Event::ServeConfig { held, reply } => self.send_config(held, &reply),
            Event::Member(event) => self.on_member_event(event, now),
            Event::InstanceList(list) => self.on_instance_list(list, now),
            Event::Unconfirmed { revision, reply } => self.send_unconfirmed(revision, &reply),
            Event::Status { reply } => self.send_status(&reply, now),
            Event::Leave => self.shared.advance(Phase::Leaving),
            Event::Stop => unreachable!("handled by the loop in `run`"),
        }
    }

    fn on_store_reply(&mut self, reply: stored::StoreReply, now: Time) {
        match reply.component {
            stored::Component::Config => {
                self.on_config_event(carob_ticket::follow::Event::StoreReplied(reply.result), now);
            }
            stored::Component::Claims(id) => self.claims.on_reply(id, reply.result, now),
            stored::Component::Orders(id) => {
                let orders = &mut self.order_state.orders;
                orders.on_reply(id, reply.result, now, claims::wall_millis());
            }
        }
    }

    /// Makes the periodic work due at once, so that urgent messages to peers are sent right after the present
    /// event.
    fn tick_soon(&mut self) {
        self.next_tick = self.next_tick.min(self.shared.now());
    }

    /// Does all work that is due.
    fn tick(&mut self) {
        let now = self.shared.now();
        self.poll_router(now);
        self.poll_claims(now);
        if now < self.next_tick {
            return;
        }
        let pause = now.since(self.next_tick);
        if pause > PAUSE_THRESHOLD {
            log::warn!("control: process paused for {} ms", pause.as_millis());
        }
        self.next_tick = now + TICK_INTERVAL;
        self.release_expired(now);
        self.tick_peers(now);
        self.poll_orders(now);
        self.on_config_event(carob_ticket::follow::Event::Tick, now);
    }
}
