//! Publishes updates: bundles within the failure domain, summaries to other domains.

use std::time::Duration;

use carob_base::{Name, Time};
use carob_peer::{Bundle, DomainSummary, Packet, Resumed, Suspicion, encode};

use crate::{
    event::{Action, Actions, Change},
    member::{Member, Status},
    members::Members,
    spread,
};

/// Bytes that each instance adds to the soft state of a failure domain per gossip interval.
const INSTANCE_COST: usize = 40;
/// Bytes that each upstream adds to it.
const UPSTREAM_COST: usize = 20;
/// Encoded size of the in-flight requests at one upstream, in bytes.
const IN_FLIGHT_COST: usize = 9;
/// Minimum time between two bundles, as a share of the gossip interval. It is below 1 so that the load of
/// upstreams, which are polled once per interval, never has to wait.
const MIN_SPACING: f64 = 0.75;
/// Share of the gossip budget that in-flight requests may take.
const IN_FLIGHT_SHARE: f64 = 0.15;
/// Time after which in-flight requests reported by another instance no longer count.
const IN_FLIGHT_TTL: Duration = Duration::from_secs(10);
/// Items of crash evidence that are remembered, so that each is passed on only once.
const SEEN_EVIDENCE_LIMIT: usize = 1_024;

impl Members {
    /// Tells every other instance that callers have resumed these answers here, so that none of them
    /// cancels one.
    ///
    /// All failure domains are addressed, since a caller may have come from any of them. Datagrams may be
    /// lost, so the driver collects answers into batches and announces each batch several times.
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

    /// Time between two bundles of soft state, which is also the interval at which upstreams should be
    /// polled. It grows with the number of instances and upstreams, so that the gossip budget holds.
    pub fn gossip_interval(&self) -> Duration {
        let bytes = self.ring.len() * INSTANCE_COST + self.loads.len() * UPSTREAM_COST;
        let interval = Duration::from_secs_f64(bytes as f64 / f64::from(self.options.gossip_budget.max(1)));
        interval.clamp(self.options.min_interval, self.options.max_interval)
    }

    /// Sends pending updates to the others of this failure domain.
    pub(crate) fn publish(&mut self, now: Time, actions: &mut Actions) {
        let interval = self.gossip_interval();
        self.outbox.next_bundle = now + interval.mul_f64(MIN_SPACING);
        self.expire_in_flight(now);
        let urgent = self.outbox.urgent;
        let suspicions = self.local_suspicions();
        let share = f64::from(self.options.gossip_budget) * IN_FLIGHT_SHARE * interval.as_secs_f64();
        let limit = (share / (self.ring.len() * IN_FLIGHT_COST) as f64).ceil() as usize;
        for body in self.outbox.take_bodies(suspicions, limit, now) {
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

    /// Drops expired reports of in-flight requests; instances repeat those that still run.
    fn expire_in_flight(&mut self, now: Time) {
        for reports in self.in_flight.values_mut() {
            reports.retain(|_, (_, reported)| now.since(*reported) < IN_FLIGHT_TTL);
        }
    }

    /// Suspicions that rest on this instance's own probes.
    fn local_suspicions(&self) -> Vec<Suspicion> {
        let local = self.suspicions.iter().filter(|(_, suspicion)| suspicion.local);
        local
            .map(|(id, suspicion)| Suspicion {
                member: *id,
                incarnation: self.get(*id).map_or(0, |member| member.incarnation),
                version: suspicion.version,
            })
            .collect()
    }

    /// Sends `bundle` to this instance's children in the tree of its origin; one that is not urgent is queued
    /// to share a datagram with others.
    pub(crate) fn forward(&mut self, bundle: &Bundle, actions: &mut Actions) {
        for child in spread::children(&self.ring, self.own_id, bundle) {
            if bundle.urgent {
                self.send_bundles(child, Packet::default(), vec![bundle.clone()], actions);
            } else {
                self.send_queue.push(child, bundle.clone());
            }
        }
    }

    /// Remembers `evidence`; returns whether it is new.
    pub(crate) fn record_evidence(&mut self, evidence: &[u8]) -> bool {
        let hash = xxhash_rust::xxh3::xxh3_64(evidence);
        if self.seen_evidence.contains(&hash) {
            return false;
        }
        self.seen_evidence.push_back(hash);
        if self.seen_evidence.len() > SEEN_EVIDENCE_LIMIT {
            self.seen_evidence.pop_front();
        }
        true
    }

    /// Sends the summaries that are due to other failure domains, and reports domains that are cut off.
    pub(crate) fn send_summaries(&mut self, now: Time, actions: &mut Actions) {
        let members = &self.arena;
        let listed = |domain: &Name| {
            let candidates = members
                .values()
                .filter(|m| &m.domain == domain && m.listed && !m.leaving);
            candidates.map(|member| member.id).collect()
        };
        let revisions = self.local_peers().map(|member| member.revision.0);
        let lowest = revisions
            .chain([self.outbox.state.revision])
            .min()
            .unwrap_or_default();
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

    /// The summary of this failure domain, as it is sent to others.
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
