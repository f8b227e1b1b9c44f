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

/// Time between two evacuations, and the time that one lasts once its key is in the store, in milliseconds: longer than the
/// bound with the longest extension that faults of the store within the bound cause, so that each evacuation is judged.
const PAUSE: std::ops::Range<u64> = 500..3_500;
const LASTING: std::ops::Range<u64> = 12_000..15_000;
/// Time for which the evacuations of a run of [`RUN_TIME`] are judged at least: the shortest of [`LASTING`] less the longest bound.
const JUDGED_TIME: Duration = Duration::from_secs(1);
/// Duration of the shortest run in which one evacuation certainly ends: a pause, a loss of the key, and its time.
const RUN_TIME: Duration = Duration::from_secs(24);

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
    /// Whether the store has come back without the key, which is not written again yet.
    lost: bool,
    /// Keys that the store did not hold although it had acknowledged them and came back from no copy since.
    missing: Vec<String>,
    /// When the run began, without its setup, and when it ended.
    start: Option<Instant>,
    ended: Option<Instant>,
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
            lost: false,
            missing: Vec::new(),
            start: None,
            ended: None,
            spans: Vec::new(),
            faults: Vec::new(),
        }
    }

    /// Begins or ends an evacuation if it is due.
    pub fn poll(&mut self, fleet: &Fleet) -> Option<String> {
        let now = Instant::now();
        self.start.get_or_insert(now);
        if let Some(domain) = self.active
            && !self.lost
            && self.missing.is_empty()
            && !has_key(fleet, domain)
        {
            self.missing.push(format!("{PREFIX}{domain}"));
        }
        if now < self.next {
            return None;
        }
        if let Some(domain) = self.active.take() {
            self.next = now + Duration::from_millis(self.rng.random_range(PAUSE));
            self.close_span();
            fleet.store.remove(&format!("{PREFIX}{domain}"));
            return Some(format!("{domain} back in service"));
        }
        let domain = DOMAINS[1];
        self.active = Some(domain);
        self.write_again(fleet);
        Some(format!("{domain} out of service"))
    }

    /// Notes that the store has come back from a copy. A key that it lacks is judged no further until it is written again.
    pub fn note_return(&mut self, fleet: &Fleet) {
        if self.active.is_some_and(|domain| !has_key(fleet, domain)) {
            self.close_span();
            self.lost = true;
        }
    }

    /// Writes what the operator has written, and removes keys that are out of date. An evacuation whose key was lost lasts as
    /// long as one that begins.
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
        self.lost = false;
        let is_open = self.spans.last().is_some_and(|span| span.to.is_none());
        if !is_open {
            self.next = Instant::now() + Duration::from_millis(self.rng.random_range(LASTING));
            self.spans.push(Span {
                domain,
                from: Instant::now(),
                to: None,
            });
        }
    }

    /// Takes all failure domains back into service for good.
    pub fn end(&mut self, fleet: &Fleet) {
        self.close_span();
        self.ended.get_or_insert_with(Instant::now);
        self.active = None;
        self.lost = false;
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
        let mut violations: Vec<String> = self
            .missing
            .iter()
            .map(|key| format!("the store does not hold {key}"))
            .collect();
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
        let time_run = self.start.zip(self.ended).map(|(start, end)| end - start);
        if time_run.is_some_and(|run| run >= RUN_TIME) && time < JUDGED_TIME {
            violations.push(format!(
                "evacuations were judged for {time:?}, expected {JUDGED_TIME:?} at least"
            ));
        }
        eprintln!(
            "{judged} of {} evacuations judged, for {time:?}",
            self.spans.len()
        );
        violations
    }
}

fn has_key(fleet: &Fleet, domain: &str) -> bool {
    let key = format!("{PREFIX}{domain}");
    fleet.store.keys(PREFIX).contains(&key)
}
