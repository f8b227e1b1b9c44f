//! Pending updates for the other instances of the failure domain.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use bytes::Bytes;
use carob_base::Time;
use carob_peer::{Body, DomainSummary, HealthReport, Loads, OwnLoads, State, Suspicion};

use crate::load::{InFlight, Load};

/// Interval at which an instance repeats its state, so that the loss of a bundle is repaired.
const STATE_REFRESH: Duration = Duration::from_secs(10);
/// Maximum number of load reports in one bundle, so that it fits into a datagram.
const LOADS_PER_BUNDLE: usize = 24;
/// Maximum number of items of crash evidence in one bundle, so that it fits into a datagram.
const EVIDENCE_PER_BUNDLE: usize = 4;
/// Maximum number of health reports, and of suspicions, in one bundle.
const HEALTH_PER_BUNDLE: usize = 10;

/// Number of bundles that carry the same health report or crash evidence, since any of them may be lost.
const TRANSMISSIONS: u32 = 3;

/// Pending updates and the schedule of bundles.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbox {
    /// State of this instance.
    pub(crate) state: State,
    /// When the state has to be repeated.
    pub(crate) state_due: Time,
    /// Whether the next bundle is sent at once and forwarded at once.
    pub(crate) urgent: bool,
    /// Earliest time of the next bundle that is not urgent; in-flight requests alone wait a gossip interval
    /// longer.
    pub(crate) next_bundle: Time,
    /// Version of the last bundle.
    pub(crate) version: u32,
    loads: BTreeMap<u32, Load>,
    /// In-flight requests not yet sent, the longest waiting first.
    in_flight: VecDeque<(u32, InFlight)>,
    /// Health reports by upstream, with the number of bundles that have still to carry them.
    health: BTreeMap<u32, (HealthReport, u32)>,
    /// Crash evidence with the number of bundles that have still to carry it.
    evidence: Vec<(Bytes, u32)>,
    /// Last summary received from each other failure domain and not yet forwarded.
    summaries: BTreeMap<String, DomainSummary>,
}

impl Outbox {
    /// Replaces the state; a change makes the next bundle urgent.
    pub(crate) fn set_state(&mut self, state: State) {
        if state != self.state {
            self.state = state;
            self.mark_urgent();
        }
    }

    /// Makes the next bundle urgent and includes the state in it.
    pub(crate) fn mark_urgent(&mut self) {
        self.urgent = true;
        self.state_due = Time::ZERO;
    }

    pub(crate) fn queue_load(&mut self, upstream: u32, load: Load) {
        self.loads.insert(upstream, load);
    }

    /// Queues the in-flight requests at `upstream`; newer figures take the place of those that still wait.
    pub(crate) fn queue_in_flight(&mut self, upstream: u32, in_flight: InFlight) {
        match self.in_flight.iter_mut().find(|(id, _)| *id == upstream) {
            Some((_, waiting)) => *waiting = in_flight,
            None => self.in_flight.push_back((upstream, in_flight)),
        }
    }

    pub(crate) fn queue_health(&mut self, report: HealthReport) {
        self.health.insert(report.upstream, (report, TRANSMISSIONS));
        self.urgent = true;
    }

    pub(crate) fn queue_evidence(&mut self, evidence: Bytes) {
        self.evidence.push((evidence, TRANSMISSIONS));
        self.urgent = true;
    }

    pub(crate) fn queue_summary(&mut self, summary: DomainSummary) {
        self.summaries.insert(summary.domain.clone(), summary);
    }

    /// Whether there are updates other than in-flight requests, which wait to be sent along with others.
    pub(crate) fn has_updates(&self, now: Time) -> bool {
        now >= self.state_due
            || !(self.loads.is_empty() && self.health.is_empty())
            || !(self.evidence.is_empty() && self.summaries.is_empty())
    }

    /// Takes the bodies of the bundles that are due, with the in-flight requests of at most `limit`
    /// upstreams.
    pub(crate) fn take_bodies(
        &mut self,
        mut suspicions: Vec<Suspicion>,
        limit: usize,
        now: Time,
    ) -> Vec<Body> {
        suspicions.truncate(HEALTH_PER_BUNDLE);
        let mut bodies = vec![Body {
            state: self.take_state(now),
            loads: self.take_loads(),
            own_loads: self.take_in_flight(limit),
            health_reports: self.take_health(),
            suspicions,
            suspects: Vec::new(),
            summaries: Vec::new(),
        }];
        while let Some(loads) = self.take_loads() {
            let loads = Some(loads);
            bodies.push(Body {
                loads,
                ..Body::default()
            });
        }
        for evidence in self.evidence.chunks(EVIDENCE_PER_BUNDLE) {
            bodies.push(Body {
                suspects: evidence.iter().map(|(item, _)| item.clone()).collect(),
                ..Body::default()
            });
        }
        self.evidence
            .iter_mut()
            .for_each(|(_, remaining)| *remaining -= 1);
        self.evidence.retain(|(_, remaining)| *remaining > 0);
        for summary in std::mem::take(&mut self.summaries).into_values() {
            bodies.push(Body {
                summaries: vec![summary],
                ..Body::default()
            });
        }
        self.urgent = false;
        bodies.retain(|body| *body != Body::default());
        bodies
    }

    fn take_state(&mut self, now: Time) -> Option<State> {
        if now < self.state_due {
            return None;
        }
        self.state_due = now + STATE_REFRESH;
        Some(self.state)
    }

    fn take_loads(&mut self) -> Option<Loads> {
        let mut loads = Loads::default();
        while loads.upstreams.len() < LOADS_PER_BUNDLE
            && let Some((upstream, load)) = self.loads.pop_first()
        {
            push_load(&mut loads, upstream, load);
        }
        (!loads.upstreams.is_empty()).then_some(loads)
    }

    /// Takes the in-flight requests of up to `limit` upstreams; the rest waits for the next bundle.
    fn take_in_flight(&mut self, limit: usize) -> Option<OwnLoads> {
        let count = self.in_flight.len().min(limit);
        let mut own_loads = OwnLoads::default();
        for (upstream, in_flight) in self.in_flight.drain(..count) {
            own_loads.upstreams.push(upstream);
            own_loads.running.push(in_flight.running);
            own_loads.tokens.push(in_flight.tokens);
            own_loads.sent.push(in_flight.sent);
        }
        (!own_loads.upstreams.is_empty()).then_some(own_loads)
    }

    fn take_health(&mut self) -> Vec<HealthReport> {
        let mut reports = Vec::new();
        for (report, remaining) in self.health.values_mut().take(HEALTH_PER_BUNDLE) {
            reports.push(*report);
            *remaining -= 1;
        }
        self.health.retain(|_, (_, remaining)| *remaining > 0);
        reports
    }
}

/// Unit of KV-cache memory in messages, in tokens.
const MEMORY_UNIT: u32 = 1_024;

fn push_load(loads: &mut Loads, upstream: u32, load: Load) {
    loads.upstreams.push(upstream);
    loads.incarnations.push(load.incarnation);
    loads.running.push(load.running);
    loads.waiting.push(load.waiting);
    loads.used.push(load.used);
    loads.memory.push(load.memory / MEMORY_UNIT);
    loads.preemptions.push(u32::from(load.preemptions));
    loads.leaving.push(u32::from(load.leaving));
}

/// Decodes `loads`; empty if its lists differ in length.
pub(crate) fn read_loads(loads: &Loads) -> Vec<(u32, Load)> {
    let count = loads.upstreams.len();
    let lists = [
        &loads.incarnations,
        &loads.running,
        &loads.waiting,
        &loads.used,
        &loads.memory,
        &loads.preemptions,
        &loads.leaving,
    ];
    if lists.iter().any(|list| list.len() != count) {
        return Vec::new();
    }
    let load = |index: usize| Load {
        incarnation: loads.incarnations[index],
        running: loads.running[index],
        waiting: loads.waiting[index],
        used: loads.used[index],
        memory: loads.memory[index].saturating_mul(MEMORY_UNIT),
        preemptions: loads.preemptions[index] as u16,
        leaving: loads.leaving[index] > 0,
    };
    (0..count)
        .map(|index| (loads.upstreams[index], load(index)))
        .collect()
}

/// Decodes `own_loads`; empty if its lists differ in length.
pub(crate) fn read_in_flight(own_loads: &OwnLoads) -> Vec<(u32, InFlight)> {
    let count = own_loads.upstreams.len();
    if [&own_loads.running, &own_loads.tokens, &own_loads.sent]
        .iter()
        .any(|list| list.len() != count)
    {
        return Vec::new();
    }
    let in_flight = |index: usize| InFlight {
        running: own_loads.running[index],
        tokens: own_loads.tokens[index],
        sent: own_loads.sent[index],
    };
    (0..count)
        .map(|index| (own_loads.upstreams[index], in_flight(index)))
        .collect()
}
