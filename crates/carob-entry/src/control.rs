//! The control thread: it owns all control state and takes typed events.
//!
//! * [`claims`]: claims on idempotency keys.
//! * [`event`]: what other threads tell it, and what it answers.
//! * [`health`]: health of upstreams.
//! * [`orders`]: orders to engines.
//! * [`stored`]: results of store calls.
//! * [`status`]: snapshots for operators.
//!
//! Every part of the state is a pure state machine of a crate of its own; the modules here feed them and carry
//! out what they ask for.

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

pub use event::{Directive, Event, Go};
use health::Source;
pub use peers::Peers;

use crate::{
    io::{fetch, order, poll, store, watch},
    shared::{Phase, Shared},
};

/// Time between two looks at what need not be done at once.
const PULSE: Duration = Duration::from_millis(100);
/// Events that are taken before the due work is looked at again.
const BURST: usize = 256;
/// Delay of a look after which the process must have been paused.
const PAUSE: Duration = Duration::from_secs(2);

/// Threads that the control thread has work done by.
#[derive(Clone, Debug)]
pub struct Channels {
    /// Store calls.
    pub store: Sender<store::Job>,
    /// Watches of the store.
    pub watch: Sender<watch::Job>,
    /// Orders to engines.
    pub order: Sender<order::Job>,
    /// Questions to peers.
    pub fetch: Sender<fetch::Job>,
    /// Health checks that are wanted at once.
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
    config: config::Following,
    claims: Claims,
    claimants: claims::Claimants,
    health: health::Health,
    peers: peers::Peers,
    ordering: orders::Ordering,
    suspects: Suspects,
    /// When membership, orders and the configuration are looked at next.
    next_pulse: Time,
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
            config: config::Following::new(options.seed),
            claims: Claims::new(carob_claim::Options::new(), holder),
            claimants: claims::Claimants::default(),
            health: health::Health::default(),
            peers,
            ordering: orders::Ordering::new(&options.name),
            suspects: Suspects::new(carob_suspect::Options::new(), holder),
            next_pulse: shared.now(),
            shared,
            events,
            channels,
        }
    }

    /// Runs until it is told to stop.
    pub fn run(mut self) {
        loop {
            let now = self.shared.now();
            let wait = self.deadline().since(now).min(PULSE);
            match self.events.recv_timeout(wait) {
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return self.close_peers(),
                Ok(event) => self.handle(event),
                Err(RecvTimeoutError::Timeout) => {}
            }
            for _ in 0..BURST {
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
                pace,
            } => {
                self.note_incarnation(id, incarnation);
                self.finish(id, end, pace.as_deref(), now);
            }
            Event::Named { id, answer } => self.named(id, answer),
            Event::Resumed { answer, reply, id } => self.resumed(answer, reply, id),
            Event::Report {
                upstream,
                report,
                sampled,
            } => self.polled(&upstream, report, sampled, now),
            Event::Cached { upstream, events } => self.router.apply_cache_events(&upstream, &events, now),
            Event::Reachable { upstream, asked } => self.reachable(&upstream, asked, Source::Own, now),
            Event::Unreachable {
                upstream,
                asked,
                miss,
            } => self.unreachable(&upstream, asked, miss, now),
            Event::Claim(event) => self.claim(event, now),
            Event::Order(event) => self.order(event, now),
            Event::Stored(stored) => self.stored(stored, now),
            Event::Follow(event) => self.follow(event, now),
            Event::Ledger { reply } => self.send_ledger(&reply),
            Event::Serve { held, reply } => self.send_config(held, &reply),
            Event::Member(event) => self.member(event, now),
            Event::Listed(list) => self.listed(list, now),
            Event::Unconfirmed { revision, reply } => self.send_unconfirmed(revision, &reply),
            Event::Status { reply } => self.send_status(&reply, now),
            Event::Leave => self.shared.advance(Phase::Leaving),
            Event::Stop => unreachable!("the loop takes this event"),
        }
    }

    fn stored(&mut self, stored: stored::Stored, now: Time) {
        match stored.part {
            stored::Part::Config => {
                self.follow(carob_ticket::follow::Event::StoreReplied(stored.result), now);
            }
            stored::Part::Claims(id) => self.claims.on_reply(id, stored.result, now),
            stored::Part::Orders(id) => {
                let orders = &mut self.ordering.orders;
                orders.on_reply(id, stored.result, now, claims::wall_millis());
            }
        }
    }

    /// Has what the others should know at once sent as soon as the present event is done.
    fn hasten(&mut self) {
        self.next_pulse = self.next_pulse.min(self.shared.now());
    }

    /// Does whatever is due.
    fn tick(&mut self) {
        let now = self.shared.now();
        self.poll_router(now);
        self.poll_claims(now);
        if now < self.next_pulse {
            return;
        }
        let pause = now.since(self.next_pulse);
        if pause > PAUSE {
            log::warn!("control: paused for {} ms", pause.as_millis());
        }
        self.next_pulse = now + PULSE;
        self.release_expired(now);
        self.tick_peers(now);
        self.poll_orders(now);
        self.follow(carob_ticket::follow::Event::Tick, now);
    }
}
