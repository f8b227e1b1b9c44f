//! Routing policies that a replay can use: the product's router and baselines to compare it with.

use std::collections::HashMap;

use carob_base::{Name, Time};
use carob_route::{End, Event, Options, Outcome, Request, Router, options::Mechanisms};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::trace::{Instance, Trace};

/// Routing policy of a replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The product's router with the given mechanisms enabled.
    Product(Mechanisms),
    /// The product's router with all mechanisms, given the actual answer lengths.
    KnownLengths,
    /// The product's router at one instance that routes for all of them, at the cost of a round trip per
    /// request.
    Centralized,
    /// Upstreams in turn.
    RoundRobin,
    /// The upstream with the fewest requests in flight from the same instance.
    LeastOutstanding,
    /// Of two randomly drawn upstreams, the one with fewer requests in flight from the same instance.
    TwoChoices,
}

/// A policy's state at one instance.
#[derive(Debug)]
pub enum PolicyState {
    /// The product's router; the flag says whether it is given the actual answer lengths.
    Router(Box<Router>, bool),
    /// A baseline policy.
    Baseline(Baseline),
}

/// A baseline policy's state at one instance.
#[derive(Debug)]
pub struct Baseline {
    policy: Policy,
    /// Positions of the upstreams of each service.
    upstreams: HashMap<Name, Vec<usize>>,
    /// Number of requests in flight per upstream.
    in_flight: Vec<u32>,
    /// Time until which each upstream is excluded after a failure.
    excluded_until: Vec<Time>,
    /// Service and upstream of each request in flight.
    running: HashMap<u64, (Name, usize)>,
    /// Counter of [`Policy::RoundRobin`]; starts at the seed, which differs between instances.
    next: usize,
    random: SmallRng,
}

/// Routing decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is sent to an upstream.
    Send {
        /// Position of the request in the trace.
        id: u64,
        /// Position of the upstream in the trace.
        upstream: usize,
        /// Engine priority; lower runs first.
        priority: i32,
    },
    /// The request waits in the router's queue; a later poll decides on it.
    Wait,
    /// The request is refused.
    Refuse {
        /// Position of the request in the trace.
        id: u64,
    },
}

/// Time for which a baseline policy excludes an upstream after a failure.
const FAILURE_EXCLUSION: std::time::Duration = std::time::Duration::from_secs(5);

impl PolicyState {
    /// Creates the initial state of `policy` at `instance`.
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

    /// Routes a new request whose actual answer length is `output`, in tokens.
    pub fn submit(
        &mut self,
        request: Request,
        output: u32,
        now: Time,
        upstream_indices: &HashMap<Name, usize>,
    ) -> Decision {
        match self {
            Self::Router(router, lengths_known) => {
                let request = if *lengths_known {
                    request.with_known_tokens(output)
                } else {
                    request
                };
                let id = request.id;
                outcome_decision(router.submit(request, now), id, upstream_indices)
            }
            Self::Baseline(baseline) => baseline.submit(request.id, &request.service, now),
        }
    }

    /// Routes a request again after its upstream failed.
    pub fn retry(
        &mut self,
        id: u64,
        end: End,
        now: Time,
        upstream_indices: &HashMap<Name, usize>,
    ) -> Decision {
        match self {
            Self::Router(router, _) => outcome_decision(router.retry(id, end, now), id, upstream_indices),
            Self::Baseline(baseline) => baseline.retry(id, now),
        }
    }

    /// Records the end of a request.
    pub fn finish(&mut self, id: u64, end: End, now: Time) {
        match self {
            Self::Router(router, _) => router.finish(id, end, now),
            Self::Baseline(baseline) => baseline.finish(id),
        }
    }

    /// Returns the router, or `None` for a baseline policy.
    pub fn router(&mut self) -> Option<&mut Router> {
        match self {
            Self::Router(router, _) => Some(router),
            Self::Baseline(_) => None,
        }
    }
}

/// Converts the outcome of a submission or retry into a decision.
fn outcome_decision(outcome: Outcome, id: u64, upstream_indices: &HashMap<Name, usize>) -> Decision {
    match outcome {
        Outcome::Placed(placement) => event_decision(Event::Placed(placement), upstream_indices),
        Outcome::Queued => Decision::Wait,
        Outcome::Refused(_) => Decision::Refuse { id },
    }
}

/// Converts an event of the router into a decision.
pub(crate) fn event_decision(event: Event, upstream_indices: &HashMap<Name, usize>) -> Decision {
    match event {
        Event::Placed(placement) => Decision::Send {
            id: placement.id,
            upstream: upstream_indices[&placement.upstream],
            priority: placement.priority,
        },
        Event::Refused(refusal) => Decision::Refuse { id: refusal.id },
    }
}

impl Baseline {
    fn new(policy: Policy, trace: &Trace, seed: u64) -> Self {
        let mut upstreams: HashMap<Name, Vec<usize>> = HashMap::new();
        for (index, upstream) in trace.upstreams.iter().enumerate() {
            upstreams.entry(upstream.service.clone()).or_default().push(index);
        }
        Self {
            policy,
            upstreams,
            in_flight: vec![0; trace.upstreams.len()],
            excluded_until: vec![Time::ZERO; trace.upstreams.len()],
            running: HashMap::new(),
            next: seed as usize,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    fn submit(&mut self, id: u64, service: &Name, now: Time) -> Decision {
        let all = self.upstreams.get(service).map_or(&[][..], |all| all);
        let usable: Vec<usize> = all
            .iter()
            .copied()
            .filter(|&index| self.excluded_until[index] <= now)
            .collect();
        if usable.is_empty() {
            return Decision::Refuse { id };
        }
        let upstream = self.pick(&usable);
        self.in_flight[upstream] += 1;
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
                    .min_by_key(|&index| self.in_flight[index])
                    .unwrap_or(usable[0])
            }
            Policy::TwoChoices => {
                let (a, b) = (draw(), draw());
                if self.in_flight[b] < self.in_flight[a] {
                    b
                } else {
                    a
                }
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
        self.excluded_until[upstream] = now + FAILURE_EXCLUSION;
        self.submit(id, &service, now)
    }

    fn finish(&mut self, id: u64) {
        if let Some((_, upstream)) = self.running.remove(&id) {
            self.in_flight[upstream] = self.in_flight[upstream].saturating_sub(1);
        }
    }
}
