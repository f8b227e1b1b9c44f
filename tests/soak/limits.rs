//! Upstreams that name limits, which change and end, and whether the gateways keep to them together.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use carob_platform_standin::{Arrival, Ledger, Upstream};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};

use crate::{cuts, faults::Harm, operator::Operator, traffic::Observation};

/// Limits in requests a second, and for how long they are named and not changed, in milliseconds.
const RATES: [f64; 5] = [0.0, 0.5, 2.0, 4.9, 9.0];
const NAMED_TIME: std::ops::Range<u64> = 5_000..12_000;
/// Time between two upstreams that begin to name a limit, in milliseconds.
const PAUSE: std::ops::Range<u64> = 300..2_000;
/// Every so manieth limit is followed by another one of the same upstream.
const CHANGE_SHARE: f64 = 0.4;

/// Time in which the gateways learn of a limit (`ContactMs`).
const CONTACT: Duration = Duration::from_secs(4);
/// Time for which a gateway is excused after its start or a pause.
const EXCUSED: Duration = Duration::from_millis(1_500);
/// Span in which arrivals are counted, and how many may come in it.
const SPAN: Duration = Duration::from_secs(4);
const SPAN_FACTOR: f64 = 1.5;
const SPAN_EXTRA: f64 = 5.0;

/// A limit that an upstream named.
struct Named {
    upstream: String,
    address: SocketAddr,
    rate: f64,
    /// When the upstream first named a limit, or a lower one.
    from: Instant,
    to: Instant,
}

/// Lets upstreams name limits.
pub struct Limits {
    rng: StdRng,
    next: Instant,
    active: Vec<(Upstream, Named)>,
    ended: Vec<Named>,
}

impl Limits {
    pub fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            next: Instant::now(),
            active: Vec::new(),
            ended: Vec::new(),
        }
    }

    /// Begins, changes and ends limits that are due. At most half of the upstreams of each of `services` name one at a
    /// time. Returns what it did.
    pub fn poll(&mut self, services: [&[Upstream]; 2]) -> Vec<String> {
        let now = Instant::now();
        let mut texts = Vec::new();
        for index in (0..self.active.len()).rev() {
            if self.active[index].1.to > now {
                continue;
            }
            let (upstream, named) = self.active.swap_remove(index);
            let id = named.upstream.clone();
            self.ended.push(named);
            if self.rng.random_bool(CHANGE_SHARE) {
                texts.push(self.name(&upstream));
            } else {
                upstream.set_limit(None);
                texts.push(format!("{id}: no limit"));
            }
        }
        if now >= self.next {
            self.next = now + Duration::from_millis(self.rng.random_range(PAUSE));
            let upstreams = services.choose(&mut self.rng).copied().unwrap_or_default();
            let is_limited =
                |upstream: &&Upstream| self.active.iter().any(|(other, _)| other.id() == upstream.id());
            let limited = upstreams.iter().filter(is_limited).count();
            let free: Vec<&Upstream> = upstreams
                .iter()
                .filter(|upstream| !is_limited(upstream))
                .collect();
            if (limited + 1) * 2 <= upstreams.len()
                && let Some(upstream) = free.choose(&mut self.rng)
            {
                texts.push(self.name(upstream));
            }
        }
        texts
    }

    fn name(&mut self, upstream: &Upstream) -> String {
        let rate = *RATES.choose(&mut self.rng).expect("there are rates");
        upstream.set_limit(Some(&rate.to_string()));
        let from = Instant::now();
        let named = Named {
            upstream: upstream.id().to_owned(),
            address: upstream.address(),
            rate,
            from,
            to: from + Duration::from_millis(self.rng.random_range(NAMED_TIME)),
        };
        self.active.push((upstream.clone(), named));
        format!("{}: limit {rate}", upstream.id())
    }

    /// Spans in which an upstream got more requests from gateways in touch than its limit permits. An upstream that
    /// crashed or whose link was harmed meanwhile is left out.
    pub fn violations(
        &self,
        ledger: &Ledger,
        observations: &[Observation],
        operator: &Operator,
        harms: &[Harm],
    ) -> Vec<String> {
        let by_id: HashMap<&str, &Observation> = observations
            .iter()
            .map(|observation| (&*observation.request.id, observation))
            .collect();
        let arrivals = ledger.arrivals();
        let crashes = ledger.crashes();
        let active = self.active.iter().map(|(_, named)| named);
        let mut violations = Vec::new();
        let (mut judged, mut fullest): (usize, f64) = (0, 0.0);
        for named in self.ended.iter().chain(active) {
            let (from, to) = (named.from + CONTACT, named.to);
            let is_harmed = harms.iter().any(|harm| {
                harm.gateway.is_none() && harm.address == named.address && harm.touches(named.from, to)
            });
            let has_crashed = crashes
                .iter()
                .any(|crash| crash.upstream == named.upstream && crash.at >= named.from && crash.at <= to);
            if is_harmed || has_crashed || from >= to {
                continue;
            }
            judged += 1;
            let in_touch = arrivals.iter().filter(|arrival| {
                let observation = by_id.get(&*arrival.id);
                arrival.upstream == named.upstream
                    && (from..to).contains(&arrival.at)
                    && observation.is_some_and(|observation| {
                        !is_excused(observation, operator)
                            && !was_held_back(arrival, observation, named, harms)
                    })
            });
            let mut counted: Vec<&Arrival> = in_touch.collect();
            counted.sort_unstable_by_key(|arrival| arrival.at);
            let times: Vec<Instant> = counted.iter().map(|arrival| arrival.at).collect();
            let in_span = |first: &Instant| {
                let later = times.iter().skip_while(|at| *at < first);
                later.take_while(|at| **at <= *first + SPAN).count()
            };
            let most = times.iter().map(in_span).max().unwrap_or(0) as f64;
            let allowed = SPAN_FACTOR * named.rate * SPAN.as_secs_f64() + SPAN_EXTRA;
            fullest = fullest.max(most / allowed);
            if most > allowed {
                let seen: Vec<String> = counted
                    .iter()
                    .map(|arrival| describe(arrival, named, by_id[&*arrival.id], operator))
                    .collect();
                violations.push(format!(
                    "{} with a limit of {} a second got {most} requests in {SPAN:?}; allowed {allowed}; from gateways in touch: \
                     {seen:?}",
                    named.upstream, named.rate
                ));
            }
        }
        eprintln!("{judged} limits judged, the fullest span has {fullest:.2} of what is allowed");
        violations
    }
}

/// Whether the link of a request's gateway to the upstream was cut, or a cut of it ended or was replaced by another, while the
/// request was on its way: bytes that a cut held back arrive then. The cut of a gateway excuses it.
fn was_held_back(arrival: &Arrival, observation: &Observation, named: &Named, harms: &[Harm]) -> bool {
    harms
        .iter()
        .filter(|harm| harm.gateway == Some(observation.gateway) && harm.address == named.address)
        .any(|harm| {
            let ended = harm.to.and_then(|to| to.checked_sub(cuts::CONTACT));
            let mut changes = [Some(harm.from), ended].into_iter().flatten();
            changes.any(|at| observation.begun <= at && at <= arrival.at)
        })
}

/// Tells when a request reached the upstream and how old the process was by then that the client had connected to.
fn describe(arrival: &Arrival, named: &Named, observation: &Observation, operator: &Operator) -> String {
    let lives = operator.lives_at(observation.gateway, observation.opened);
    let ages: Vec<u128> = lives
        .iter()
        .map(|life| arrival.at.saturating_duration_since(life.started).as_millis())
        .collect();
    format!(
        "{} {} ms after the limit, by gateway {}, begun {} ms before, process {ages:?} ms old",
        arrival.id,
        arrival.at.saturating_duration_since(named.from).as_millis(),
        observation.gateway,
        arrival
            .at
            .saturating_duration_since(observation.begun)
            .as_millis(),
    )
}

/// Whether the gateway of a request had just started, or had been suspended. One that shuts down is not excused.
fn is_excused(observation: &Observation, operator: &Operator) -> bool {
    let Observation { begun, ended, .. } = *observation;
    let lives = operator.lives_at(observation.gateway, observation.opened);
    lives.iter().any(|life| {
        life.started + EXCUSED > begun || life.was_frozen(begun.checked_sub(EXCUSED).unwrap_or(begun), ended)
    })
}
