//! What this instance has to tell the others of its failure domain.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use bytes::Bytes;
use carob_base::Time;
use carob_peer::{Body, DomainSummary, HealthReport, Loads, OwnLoads, State, Suspicion};

use crate::load::{InFlight, Load};

/// Time after which an instance's own state is told again, so that a lost bundle is made good.
const STATE_REFRESH: Duration = Duration::from_secs(10);
/// Upstreams reported in one bundle, so that it fits a datagram.
const LOADS_PER_BUNDLE: usize = 24;
/// Suspects in one bundle, so that it fits a datagram.
const EVIDENCE_PER_BUNDLE: usize = 4;
/// Signs and suspicions in one bundle.
const SIGNS_PER_BUNDLE: usize = 10;

/// Bundles that carry the same sign or suspect, since each may be lost on the way.
const TRANSMISSIONS: u32 = 3;

/// Pending news.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbox {
    pub(crate) state: State,
    /// When the state has to be told again.
    pub(crate) state_due: Time,
    /// Whether the next bundle is due at once and passed on at once.
    pub(crate) urgent: bool,
    /// Earliest time of the next bundle; own load alone waits for longer.
    pub(crate) next_bundle: Time,
    /// Version of the last bundle.
    pub(crate) version: u32,
    loads: BTreeMap<u32, Load>,
    /// Own load that was not told yet, the longest waiting first.
    in_flight: VecDeque<(u32, InFlight)>,
    /// Signs with the number of bundles that still carry them.
    signs: BTreeMap<u32, (HealthReport, u32)>,
    /// Suspects with the number of bundles that still carry them.
    evidence: Vec<(Bytes, u32)>,
    summaries: BTreeMap<String, DomainSummary>,
}

impl Outbox {
    /// Replaces the state; a change is told at once.
    pub(crate) fn set_state(&mut self, state: State) {
        if state != self.state {
            self.state = state;
            self.mark_urgent();
        }
    }

    /// Makes the next bundle urgent, with the state in it.
    pub(crate) fn mark_urgent(&mut self) {
        self.urgent = true;
        self.state_due = Time::ZERO;
    }

    pub(crate) fn queue_load(&mut self, upstream: u32, load: Load) {
        self.loads.insert(upstream, load);
    }

    pub(crate) fn queue_in_flight(&mut self, upstream: u32, own: InFlight) {
        match self.in_flight.iter_mut().find(|(id, _)| *id == upstream) {
            Some((_, waiting)) => *waiting = own,
            None => self.in_flight.push_back((upstream, own)),
        }
    }

    pub(crate) fn queue_sign(&mut self, sign: HealthReport) {
        self.signs.insert(sign.upstream, (sign, TRANSMISSIONS));
        self.urgent = true;
    }

    pub(crate) fn queue_evidence(&mut self, suspect: Bytes) {
        self.evidence.push((suspect, TRANSMISSIONS));
        self.urgent = true;
    }

    pub(crate) fn queue_summary(&mut self, summary: DomainSummary) {
        self.summaries.insert(summary.domain.clone(), summary);
    }

    /// Whether there is more to tell than own load, which waits for the rest.
    pub(crate) fn has_updates(&self, now: Time) -> bool {
        now >= self.state_due
            || !(self.loads.is_empty() && self.signs.is_empty())
            || !(self.evidence.is_empty() && self.summaries.is_empty())
    }

    /// Takes the bodies of the bundles that are due, with at most `owns` entries of own load.
    pub(crate) fn take_bodies(
        &mut self,
        mut suspicions: Vec<Suspicion>,
        owns: usize,
        now: Time,
    ) -> Vec<Body> {
        suspicions.truncate(SIGNS_PER_BUNDLE);
        let mut bodies = vec![Body {
            state: self.take_state(now),
            loads: self.take_loads(),
            own_loads: self.take_in_flight(owns),
            health_reports: self.take_signs(),
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
        for suspects in self.evidence.chunks(EVIDENCE_PER_BUNDLE) {
            bodies.push(Body {
                suspects: suspects.iter().map(|(suspect, _)| suspect.clone()).collect(),
                ..Body::default()
            });
        }
        self.evidence.iter_mut().for_each(|(_, left)| *left -= 1);
        self.evidence.retain(|(_, left)| *left > 0);
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

    /// What does not fit waits for the next bundle.
    fn take_in_flight(&mut self, limit: usize) -> Option<OwnLoads> {
        let count = self.in_flight.len().min(limit);
        let mut owns = OwnLoads::default();
        for (upstream, own) in self.in_flight.drain(..count) {
            owns.upstreams.push(upstream);
            owns.running.push(own.running);
            owns.tokens.push(own.tokens);
            owns.sent.push(own.sent);
        }
        (!owns.upstreams.is_empty()).then_some(owns)
    }

    fn take_signs(&mut self) -> Vec<HealthReport> {
        let mut signs = Vec::new();
        for (sign, left) in self.signs.values_mut().take(SIGNS_PER_BUNDLE) {
            signs.push(*sign);
            *left -= 1;
        }
        self.signs.retain(|_, (_, left)| *left > 0);
        signs
    }
}

/// Tokens in the unit in which memory travels.
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

/// The reports in `loads`; nothing if the lists differ in length.
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

/// The own loads in `owns`; nothing if the lists differ in length.
pub(crate) fn read_in_flight(owns: &OwnLoads) -> Vec<(u32, InFlight)> {
    let count = owns.upstreams.len();
    if [&owns.running, &owns.tokens, &owns.sent]
        .iter()
        .any(|list| list.len() != count)
    {
        return Vec::new();
    }
    let own = |index: usize| InFlight {
        running: owns.running[index],
        tokens: owns.tokens[index],
        sent: owns.sent[index],
    };
    (0..count)
        .map(|index| (owns.upstreams[index], own(index)))
        .collect()
}
