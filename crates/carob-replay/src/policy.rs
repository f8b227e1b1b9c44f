//! The policies that a replay compares.

use std::collections::HashMap;

use carob_base::{Name, Time};
use carob_route::{End, Event, Options, Outcome, Request, Router, options::Mechanisms};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::trace::{Instance, Trace};

/// A policy to replay a trace with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The product's router with these mechanisms.
    Product(Mechanisms),
    /// The product's router, told the true lengths.
    KnownLengths,
    /// The product's router at one home instance that decides for all of them, at the price of a round trip.
    Centralized,
    /// One upstream after the other.
    RoundRobin,
    /// The upstream with the fewest own requests in progress.
    LeastOutstanding,
    /// The one of two random upstreams with fewer own requests in progress.
    TwoChoices,
}

/// A policy's state at one instance.
#[derive(Debug)]
pub enum PolicyState {
    /// The product's router; the flag tells whether it is told the true lengths.
    Router(Box<Router>, bool),
    /// A simple one.
    Baseline(Baseline),
}

/// A simple policy's state at one instance.
#[derive(Debug)]
pub struct Baseline {
    policy: Policy,
    upstreams: HashMap<Name, Vec<usize>>,
    open: Vec<u32>,
    /// Until when an upstream is left out after a failure.
    barred: Vec<Time>,
    running: HashMap<u64, (Name, usize)>,
    next: usize,
    random: SmallRng,
}

/// Where to send a request, or what became of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to the upstream at this position of the trace with this engine priority.
    Send {
        /// Request.
        id: u64,
        /// Position of the upstream.
        upstream: usize,
        /// Engine priority.
        priority: i32,
    },
    /// It waits.
    Wait,
    /// It is refused.
    Refuse {
        /// Request.
        id: u64,
    },
}

/// Time for which a simple policy leaves out an upstream that failed.
const BARRED: std::time::Duration = std::time::Duration::from_secs(5);

impl PolicyState {
    /// A policy's state at `instance`, nothing learned.
    pub fn new(policy: Policy, trace: &Trace, instance: &Instance, seed: u64, now: Time) -> Self {
        let mechanisms = match policy {
            Policy::Product(mechanisms) => mechanisms,
            Policy::KnownLengths | Policy::Centralized => Mechanisms::ALL,
            _ => return Self::Baseline(Baseline::new(policy, trace, seed)),
        };
        let mut options = Options::new(instance.domain.clone(), instance.region.clone());
        if policy == Policy::Centralized {
            options.queue_limit *= trace.instances.len();
        }
        let mut router = Router::new(options.with_seed(seed).with_mechanisms(mechanisms));
        router.apply_config(&crate::fleet::config(trace), now);
        Self::Router(Box::new(router), policy == Policy::KnownLengths)
    }

    /// Decides on a new request whose true length is `output`.
    pub fn submit(
        &mut self,
        request: Request,
        output: u32,
        now: Time,
        names: &HashMap<Name, usize>,
    ) -> Decision {
        match self {
            Self::Router(router, informed) => {
                let request = if *informed {
                    request.with_known_tokens(output)
                } else {
                    request
                };
                let id = request.id;
                verdict(router.submit(request, now), id, names)
            }
            Self::Baseline(simple) => simple.submit(request.id, &request.service, now),
        }
    }

    /// Decides again on a request whose upstream failed.
    pub fn retry(&mut self, id: u64, end: End, now: Time, names: &HashMap<Name, usize>) -> Decision {
        match self {
            Self::Router(router, _) => verdict(router.retry(id, end, now), id, names),
            Self::Baseline(simple) => simple.retry(id, now),
        }
    }

    /// Notes that a request has ended.
    pub fn finish(&mut self, id: u64, end: End, now: Time) {
        match self {
            Self::Router(router, _) => router.finish(id, end, now),
            Self::Baseline(simple) => simple.finish(id),
        }
    }

    /// The router, if this is the product's policy.
    pub fn router(&mut self) -> Option<&mut Router> {
        match self {
            Self::Router(router, _) => Some(router),
            Self::Baseline(_) => None,
        }
    }
}

fn verdict(outcome: Outcome, id: u64, names: &HashMap<Name, usize>) -> Decision {
    match outcome {
        Outcome::Placed(placement) => event_decision(Event::Placed(placement), names),
        Outcome::Queued => Decision::Wait,
        Outcome::Refused(_) => Decision::Refuse { id },
    }
}

/// The verdict that a polled event stands for.
pub(crate) fn event_decision(event: Event, names: &HashMap<Name, usize>) -> Decision {
    match event {
        Event::Placed(placement) => Decision::Send {
            id: placement.id,
            upstream: names[&placement.upstream],
            priority: placement.priority,
        },
        Event::Refused(refusal) => Decision::Refuse { id: refusal.id },
    }
}

impl Baseline {
    fn new(policy: Policy, trace: &Trace, seed: u64) -> Self {
        let mut upstreams: HashMap<Name, Vec<usize>> = HashMap::new();
        for (at, upstream) in trace.upstreams.iter().enumerate() {
            upstreams.entry(upstream.service.clone()).or_default().push(at);
        }
        Self {
            policy,
            upstreams,
            open: vec![0; trace.upstreams.len()],
            barred: vec![Time::ZERO; trace.upstreams.len()],
            running: HashMap::new(),
            next: seed as usize,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    fn submit(&mut self, id: u64, service: &Name, now: Time) -> Decision {
        let all = self.upstreams.get(service).map_or(&[][..], |all| all);
        let usable: Vec<usize> = all.iter().copied().filter(|&at| self.barred[at] <= now).collect();
        if usable.is_empty() {
            return Decision::Refuse { id };
        }
        let upstream = self.pick(&usable);
        self.open[upstream] += 1;
        self.running.insert(id, (service.clone(), upstream));
        Decision::Send {
            id,
            upstream,
            priority: 0,
        }
    }

    fn pick(&mut self, usable: &[usize]) -> usize {
        let mut draw = || usable[self.random.random_range(0..usable.len())];
        match self.policy {
            Policy::LeastOutstanding => {
                let start = self.random.random_range(0..usable.len());
                let order = usable[start..].iter().chain(&usable[..start]);
                order
                    .copied()
                    .min_by_key(|&at| self.open[at])
                    .unwrap_or(usable[0])
            }
            Policy::TwoChoices => {
                let (a, b) = (draw(), draw());
                if self.open[b] < self.open[a] { b } else { a }
            }
            _ => {
                self.next += 1;
                usable[self.next % usable.len()]
            }
        }
    }

    fn retry(&mut self, id: u64, now: Time) -> Decision {
        let Some((service, upstream)) = self.running.get(&id).cloned() else {
            return Decision::Refuse { id };
        };
        self.finish(id);
        self.barred[upstream] = now + BARRED;
        self.submit(id, &service, now)
    }

    fn finish(&mut self, id: u64) {
        if let Some((_, upstream)) = self.running.remove(&id) {
            self.open[upstream] = self.open[upstream].saturating_sub(1);
        }
    }
}
