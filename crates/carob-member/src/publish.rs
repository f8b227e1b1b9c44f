//! Tells the others what is new: bundles within the failure domain, summaries to other domains.

use std::time::Duration;

use carob_base::{Name, Time};
use carob_peer::{Bundle, Packet, Resumed, Summary, Suspicion, encode};

use crate::{
    event::{Action, Actions, Change},
    member::{Member, Status},
    members::Members,
    spread,
};

/// Bytes that one more instance adds to the soft state of a failure domain between two bundles.
const BUNDLE_COST: usize = 40;
/// Bytes that one more upstream adds.
const LOAD_COST: usize = 20;
/// Bytes that the own load on one upstream takes.
const OWN_COST: usize = 9;
/// Part of the pace before which no further bundle goes out; upstreams polled at the pace never wait for it.
const PACE_SHARE: f64 = 0.75;
/// Share of the budget that own load may take.
const OWN_SHARE: f64 = 0.15;
/// How long the own load of another instance counts after it was told.
const OWN_LIFETIME: Duration = Duration::from_secs(10);
/// Suspects that are remembered so that each is passed on once.
const SEEN_LIMIT: usize = 1_024;

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
        let bytes = self.ring.len() * BUNDLE_COST + self.loads.len() * LOAD_COST;
        let pace = Duration::from_secs_f64(bytes as f64 / f64::from(self.options.gossip_budget.max(1)));
        pace.clamp(self.options.min_interval, self.options.max_interval)
    }

    /// Tells the others of this failure domain what is new.
    pub(crate) fn publish(&mut self, now: Time, actions: &mut Actions) {
        let pace = self.gossip_interval();
        self.outbox.next = now + pace.mul_f64(PACE_SHARE);
        self.forget_owns(now);
        let urgent = self.outbox.urgent;
        let suspicions = self.own_suspicions();
        let share = f64::from(self.options.gossip_budget) * OWN_SHARE * pace.as_secs_f64();
        let owns = (share / (self.ring.len() * OWN_COST) as f64).ceil() as usize;
        for body in self.outbox.take(suspicions, owns, now) {
            self.outbox.version += 1;
            let bundle = Bundle {
                origin: self.own_id,
                incarnation: self.options.incarnation,
                version: self.outbox.version,
                urgent,
                body: encode(&body),
            };
            self.pass_on(&bundle, actions);
        }
    }

    /// Forgets what others have said too long ago: what they still have under way they say again.
    fn forget_owns(&mut self, now: Time) {
        for owns in self.owns.values_mut() {
            owns.retain(|_, (_, told)| now.since(*told) < OWN_LIFETIME);
        }
    }

    fn own_suspicions(&self) -> Vec<Suspicion> {
        let own = self.suspicions.iter().filter(|(_, suspicion)| suspicion.own);
        own.map(|(id, suspicion)| Suspicion {
            member: *id,
            incarnation: self.get(*id).map_or(0, |member| member.incarnation),
            version: suspicion.version,
        })
        .collect()
    }

    pub(crate) fn pass_on(&mut self, bundle: &Bundle, actions: &mut Actions) {
        for child in spread::children(&self.ring, self.own_id, bundle) {
            if bundle.urgent {
                self.send_bundles(child, Packet::default(), vec![bundle.clone()], actions);
            } else {
                self.queue.push(child, bundle.clone());
            }
        }
    }

    /// Whether `suspect` is seen for the first time.
    pub(crate) fn first_seen(&mut self, suspect: &[u8]) -> bool {
        let hash = xxhash_rust::xxh3::xxh3_64(suspect);
        if self.seen.contains(&hash) {
            return false;
        }
        self.seen.push_back(hash);
        if self.seen.len() > SEEN_LIMIT {
            self.seen.pop_front();
        }
        true
    }

    pub(crate) fn bridge(&mut self, now: Time, actions: &mut Actions) {
        let members = &self.arena;
        let listed = |domain: &Name| {
            let there = members
                .values()
                .filter(|m| &m.domain == domain && m.listed && !m.leaving);
            there.map(|member| member.id).collect()
        };
        let near = self.members_near().map(|member| member.revision.0);
        let lowest = near.chain([self.outbox.state.revision]).min().unwrap_or_default();
        self.bridges.hurry(lowest, now);
        let due = self
            .bridges
            .due(self.own_id, &self.options, &self.ring, listed, now);
        for id in due {
            let packet = Packet {
                summary: Some(self.own_summary()),
                ..Packet::default()
            };
            self.send(id, packet, actions);
        }
        for domain in self.bridges.cut(self.options.domain_timeout, now) {
            log::warn!("member: failure domain {domain} is cut off");
            actions.push(Action::Changed(Change::Cut(domain)));
        }
    }

    /// The other instances alive in this failure domain.
    fn members_near(&self) -> impl Iterator<Item = &Member> {
        self.iter()
            .filter(|m| m.is_alive() && m.domain == self.options.domain)
    }

    /// The summary of this failure domain.
    pub fn own_summary(&self) -> Summary {
        let state = self.outbox.state;
        let mut summary = Summary {
            domain: self.options.domain.as_str().to_owned(),
            alive: 1,
            ready: u32::from(state.ready),
            lowest: state.revision,
            highest: state.revision,
            holder: self.own_id,
            ..Summary::default()
        };
        for member in self.members_near() {
            summary.alive += 1;
            summary.ready += u32::from(member.ready);
            summary.lowest = summary.lowest.min(member.revision.0);
            if member.revision.0 > summary.highest {
                (summary.highest, summary.holder) = (member.revision.0, member.id);
            }
        }
        let behind = self
            .members_near()
            .filter(|member| member.revision.0 < summary.highest);
        summary.behind = behind.map(|member| member.name.as_str().to_owned()).collect();
        if state.revision < summary.highest {
            summary.behind.insert(0, self.options.name.as_str().to_owned());
        }
        self.bridges.complete(&mut summary);
        summary
    }
}
