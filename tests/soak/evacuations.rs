//! A failure domain that the operator takes out of service and back, and whether requests still reach it. It is the one whose
//! upstreams the load does not need: other faults would leave too few to serve.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use carob_platform_standin::{Arrival, Ledger};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    checks,
    domains::{DOMAINS, Domains},
    faults::Harm,
    fleet::Fleet,
    operator::Operator,
    traffic::Observation,
};

const PREFIX: &str = "op/evacuate/";

/// Time between two evacuations, and the time that one lasts, in milliseconds.
const PAUSE: std::ops::Range<u64> = 500..3_500;
const LASTING: std::ops::Range<u64> = 6_500..11_500;

/// Time after which an evacuation is in force (`EvacuateMs`), and its extension around faults of the store (`MaxStretchMs`).
const APPLY_TIME: Duration = Duration::from_secs(5);
const STRETCH: Duration = Duration::from_secs(6);

/// Time for which the store held the key of a failure domain.
struct Span {
    domain: &'static str,
    /// When the store had acknowledged the key.
    from: Instant,
    /// Just before the key was removed, or when it was found missing.
    to: Option<Instant>,
}

/// Takes failure domains out of service and back.
pub struct Evacuations {
    /// Draws all of it, so that it does not change the sequences of the faults.
    rng: StdRng,
    next: Instant,
    active: Option<&'static str>,
    spans: Vec<Span>,
    /// Faults of the store, from beginning to end.
    faults: Vec<(Instant, Option<Instant>)>,
}

impl Evacuations {
    pub fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let next = Instant::now() + Duration::from_millis(rng.random_range(PAUSE));
        Self {
            rng,
            next,
            active: None,
            spans: Vec::new(),
            faults: Vec::new(),
        }
    }

    /// Begins or ends an evacuation if it is due. A key that the store has lost is judged no further until it is written again.
    pub fn poll(&mut self, fleet: &Fleet) -> Option<String> {
        if self.active.is_some() && fleet.store.keys(PREFIX).is_empty() {
            self.close_span();
        }
        let now = Instant::now();
        if now < self.next {
            return None;
        }
        if let Some(domain) = self.active.take() {
            self.next = now + Duration::from_millis(self.rng.random_range(PAUSE));
            self.close_span();
            fleet.store.remove(&format!("{PREFIX}{domain}"));
            return Some(format!("{domain} back in service"));
        }
        self.next = now + Duration::from_millis(self.rng.random_range(LASTING));
        let domain = DOMAINS[1];
        self.active = Some(domain);
        self.write_again(fleet);
        Some(format!("{domain} out of service"))
    }

    /// Writes what the operator has written, and removes keys that are out of date.
    pub fn write_again(&mut self, fleet: &Fleet) {
        for key in fleet.store.keys(PREFIX) {
            if self
                .active
                .is_none_or(|domain| key != format!("{PREFIX}{domain}"))
            {
                fleet.store.remove(&key);
            }
        }
        let Some(domain) = self.active else { return };
        fleet.store.put_bytes(&format!("{PREFIX}{domain}"), b"{}");
        let is_open = self.spans.last().is_some_and(|span| span.to.is_none());
        if !is_open {
            self.spans.push(Span {
                domain,
                from: Instant::now(),
                to: None,
            });
        }
    }

    /// Takes all failure domains back into service.
    pub fn end(&mut self, fleet: &Fleet) {
        self.close_span();
        self.active = None;
        self.write_again(fleet);
        self.next = Instant::now() + Duration::from_hours(1);
    }

    fn close_span(&mut self) {
        if let Some(span) = self.spans.last_mut() {
            span.to.get_or_insert_with(Instant::now);
        }
    }

    pub fn begin_fault(&mut self) {
        self.faults.push((Instant::now(), None));
    }

    pub fn end_faults(&mut self) {
        for (_, end) in &mut self.faults {
            end.get_or_insert_with(Instant::now);
        }
    }

    /// When an evacuation has to be in force. The bound is extended by the time for which the store was partly unavailable.
    fn in_force(&self, span: &Span) -> Instant {
        let bound = span.from + APPLY_TIME;
        let overlaps = self.faults.iter().map(|(begin, end)| {
            let end = end.unwrap_or(bound).min(bound);
            end.saturating_duration_since((*begin).max(span.from))
        });
        bound + overlaps.sum::<Duration>().min(STRETCH)
    }

    /// Requests from gateways in touch that reached a failure domain which was out of service. One that was sent before
    /// is excused if faults of the upstream's link may have held it back.
    pub fn violations(
        &self,
        ledger: &Ledger,
        observations: &[Observation],
        (operator, domains, harms): (&Operator, &Domains, &[Harm]),
    ) -> Vec<String> {
        let by_id: HashMap<&str, &Observation> = observations
            .iter()
            .map(|seen| (&*seen.request.id, seen))
            .collect();
        let arrivals = ledger.arrivals();
        let (mut judged, mut time) = (0, Duration::ZERO);
        let mut violations = Vec::new();
        for span in &self.spans {
            let from = self.in_force(span);
            let to = span.to.unwrap_or_else(Instant::now);
            if from >= to {
                continue;
            }
            judged += 1;
            time += to - from;
            let is_late = |arrival: &&Arrival| {
                (from..to).contains(&arrival.at)
                    && domains.domain(&arrival.upstream) == Some(span.domain)
                    && by_id.get(&*arrival.id).is_some_and(|seen| {
                        let was_held_back = seen.begun < from
                            && harms.iter().any(|harm| {
                                domains.address(&arrival.upstream) == Some(harm.address)
                                    && harm.touches(seen.begun, arrival.at)
                            });
                        checks::is_in_touch(seen, operator) && !was_held_back
                    })
            };
            violations.extend(arrivals.iter().filter(is_late).map(|arrival| {
                format!(
                    "{} reached {} in {} {:?} after the evacuation, by gateway {}, begun {:?} before",
                    arrival.id,
                    arrival.upstream,
                    span.domain,
                    arrival.at - span.from,
                    by_id[&*arrival.id].gateway,
                    arrival.at.saturating_duration_since(by_id[&*arrival.id].begun)
                )
            }));
        }
        eprintln!(
            "{judged} of {} evacuations judged, for {time:?}",
            self.spans.len()
        );
        violations
    }
}
