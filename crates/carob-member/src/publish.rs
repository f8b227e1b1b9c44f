//! Tells the others what is new: bundles within the failure domain, summaries to other domains.

use std::time::Duration;

use carob_base::{Name, Time};
use carob_peer::{Bundle, DomainSummary, Packet, Resumed, Suspicion, encode};

use crate::{
    event::{Action, Actions, Change},
    member::{Member, Status},
    members::Members,
    spread,
};

/// Bytes that one more instance adds to the soft state of a failure domain between two bundles.
const INSTANCE_COST: usize = 40;
/// Bytes that one more upstream adds.
const UPSTREAM_COST: usize = 20;
/// Bytes that the own load on one upstream takes.
const IN_FLIGHT_COST: usize = 9;
/// Part of the pace before which no further bundle goes out; upstreams polled at the pace never wait for it.
const MIN_SPACING: f64 = 0.75;
/// Share of the budget that own load may take.
const IN_FLIGHT_SHARE: f64 = 0.15;
/// How long the own load of another instance counts after it was told.
const IN_FLIGHT_TTL: Duration = Duration::from_secs(10);
/// Suspects that are remembered so that each is passed on once.
const SEEN_EVIDENCE_LIMIT: usize = 1_024;

impl Members {
    /// Tells every other instance that callers have resumed these answers here, so that none of them cancels one.
    ///
    /// A caller may have come from any failure domain, and the datagrams may be lost: the driver gathers answers
    /// for a moment and repeats them.
    pub fn announce_resumed(&mut self, answers: &[Resumed]) -> Actions {
        let mut actions = Actions::new();
        let known = self.iter().filter(|member| member.status != Status::Left);
        let others: Vec<u32> = known.map(|member| member.id).collect();
        for id in others {
            let packet = Packet {
                resumed: answers.to_vec(),
                ..Packet::default()
            };
            self.send(id, packet, &mut actions);
        }
        actions
    }

    /// Time between two bundles of soft state, at which upstreams should be polled: the more instances and upstreams,
    /// the longer.
    pub fn gossip_interval(&self) -> Duration {
        let bytes = self.ring.len() * INSTANCE_COST + self.loads.len() * UPSTREAM_COST;
        let pace = Duration::from_secs_f64(bytes as f64 / f64::from(self.options.gossip_budget.max(1)));
        pace.clamp(self.options.min_interval, self.options.max_interval)
    }

    /// Tells the others of this failure domain what is new.
    pub(crate) fn publish(&mut self, now: Time, actions: &mut Actions) {
        let pace = self.gossip_interval();
        self.outbox.next_bundle = now + pace.mul_f64(MIN_SPACING);
        self.expire_in_flight(now);
        let urgent = self.outbox.urgent;
        let suspicions = self.local_suspicions();
        let share = f64::from(self.options.gossip_budget) * IN_FLIGHT_SHARE * pace.as_secs_f64();
        let owns = (share / (self.ring.len() * IN_FLIGHT_COST) as f64).ceil() as usize;
        for body in self.outbox.take_bodies(suspicions, owns, now) {
            self.outbox.version += 1;
            let bundle = Bundle {
                origin: self.own_id,
                incarnation: self.options.incarnation,
                version: self.outbox.version,
                urgent,
                body: encode(&body),
            };
            self.forward(&bundle, actions);
        }
    }

    /// Forgets what others have said too long ago: what they still have under way they say again.
    fn expire_in_flight(&mut self, now: Time) {
        for owns in self.in_flight.values_mut() {
            owns.retain(|_, (_, told)| now.since(*told) < IN_FLIGHT_TTL);
        }
    }

    fn local_suspicions(&self) -> Vec<Suspicion> {
        let own = self.suspicions.iter().filter(|(_, suspicion)| suspicion.local);
        own.map(|(id, suspicion)| Suspicion {
            member: *id,
            incarnation: self.get(*id).map_or(0, |member| member.incarnation),
            version: suspicion.version,
        })
        .collect()
    }

    pub(crate) fn forward(&mut self, bundle: &Bundle, actions: &mut Actions) {
        for child in spread::children(&self.ring, self.own_id, bundle) {
            if bundle.urgent {
                self.send_bundles(child, Packet::default(), vec![bundle.clone()], actions);
            } else {
                self.send_queue.push(child, bundle.clone());
            }
        }
    }

    /// Whether `suspect` is seen for the first time.
    pub(crate) fn record_evidence(&mut self, suspect: &[u8]) -> bool {
        let hash = xxhash_rust::xxh3::xxh3_64(suspect);
        if self.seen_evidence.contains(&hash) {
            return false;
        }
        self.seen_evidence.push_back(hash);
        if self.seen_evidence.len() > SEEN_EVIDENCE_LIMIT {
            self.seen_evidence.pop_front();
        }
        true
    }

    pub(crate) fn send_summaries(&mut self, now: Time, actions: &mut Actions) {
        let members = &self.arena;
        let listed = |domain: &Name| {
            let there = members
                .values()
                .filter(|m| &m.domain == domain && m.listed && !m.leaving);
            there.map(|member| member.id).collect()
        };
        let near = self.local_peers().map(|member| member.revision.0);
        let lowest = near.chain([self.outbox.state.revision]).min().unwrap_or_default();
        self.bridges.expedite(lowest, now);
        let due = self
            .bridges
            .take_due(self.own_id, &self.options, &self.ring, listed, now);
        for id in due {
            let packet = Packet {
                summary: Some(self.own_summary()),
                ..Packet::default()
            };
            self.send(id, packet, actions);
        }
        for domain in self.bridges.detect_cut_off(self.options.domain_timeout, now) {
            log::warn!("member: failure domain {domain} is cut off");
            actions.push(Action::Changed(Change::Cut(domain)));
        }
    }

    /// The other instances alive in this failure domain.
    fn local_peers(&self) -> impl Iterator<Item = &Member> {
        self.iter()
            .filter(|m| m.is_alive() && m.domain == self.options.domain)
    }

    /// The summary of this failure domain.
    pub fn own_summary(&self) -> DomainSummary {
        let state = self.outbox.state;
        let mut summary = DomainSummary {
            domain: self.options.domain.as_str().to_owned(),
            alive: 1,
            ready: u32::from(state.ready),
            lowest: state.revision,
            highest: state.revision,
            holder: self.own_id,
            ..DomainSummary::default()
        };
        for member in self.local_peers() {
            summary.alive += 1;
            summary.ready += u32::from(member.ready);
            summary.lowest = summary.lowest.min(member.revision.0);
            if member.revision.0 > summary.highest {
                (summary.highest, summary.holder) = (member.revision.0, member.id);
            }
        }
        let behind = self
            .local_peers()
            .filter(|member| member.revision.0 < summary.highest);
        summary.behind = behind.map(|member| member.name.as_str().to_owned()).collect();
        if state.revision < summary.highest {
            summary.behind.insert(0, self.options.name.as_str().to_owned());
        }
        self.bridges.fill_summary(&mut summary);
        summary
    }
}
