//! What the passing of time brings: pauses, probes, ends of suspicions.

use std::time::Duration;

use carob_base::Time;
use carob_peer::{Packet, PingRequest};

use crate::{
    event::{Action, Actions, Change},
    member::{Member, Status},
    members::Members,
    options::Options,
    outbox::Outbox,
    probe::{Probe, Prober},
    send::ping,
    suspicion::Suspicion,
};

/// Time that bundles for one instance wait for each other.
const FLUSH_INTERVAL: Duration = Duration::from_millis(500);
/// Instances greeted in one step, so that a start makes no burst.
const HELLOS_PER_TICK: usize = 8;
/// One in this many probes may go to a failed instance that is still on the list.
const FAILED_PROBE_EVERY: u32 = 8;

impl Members {
    /// A process that was paused draws no conclusion from what it did not hear meanwhile.
    pub(crate) fn detect_pause(&mut self, now: Time, actions: &mut Actions) {
        let Some(last) = self.last_tick else {
            return;
        };
        let gap = now.since(last);
        if gap <= self.options.pause_threshold {
            return;
        }
        self.last_tick = Some(now);
        self.current = false;
        self.prober.abandon(now + self.options.probe_period);
        self.suspicions.values_mut().for_each(|s| s.postpone(gap));
        self.bridges.postpone(gap);
        log::warn!("member: paused for {gap:?}; the view is old");
        actions.push(Action::Changed(Change::Woke(gap)));
    }

    pub(crate) fn tick(&mut self, now: Time, actions: &mut Actions) {
        self.last_tick = Some(now);
        self.send_hellos(actions);
        self.probe(now, actions);
        self.ping_suspects(now, actions);
        self.expire_suspicions(now, actions);
        if self.is_publish_due(now) {
            self.publish(now, actions);
        }
        if now >= self.next_flush {
            self.next_flush = now + FLUSH_INTERVAL;
            for (to, bundles) in self.send_queue.take() {
                self.send_bundles(to, Packet::default(), bundles, actions);
            }
        }
        self.send_summaries(now, actions);
    }

    /// A bundle goes out as soon as there is news and the last one is long enough ago, so that a report does not
    /// wait for a fixed time.
    fn is_publish_due(&self, now: Time) -> bool {
        let Outbox {
            urgent, next_bundle, ..
        } = self.outbox;
        let pending = self.outbox.has_updates(now) || self.suspicions.values().any(|s| s.local);
        urgent || (pending && now >= next_bundle) || now >= next_bundle + self.gossip_interval()
    }

    fn send_hellos(&mut self, actions: &mut Actions) {
        for _ in 0..HELLOS_PER_TICK {
            let Some(id) = self.hello_queue.pop_front() else {
                return;
            };
            let number = self.prober.next_number();
            self.send(id, ping(number), actions);
        }
    }

    fn probe(&mut self, now: Time, actions: &mut Actions) {
        if now >= self.prober.next_probe {
            self.conclude_probe(actions, now);
            self.prober.next_probe = now + self.options.probe_period;
            self.start_probe(now, actions);
            return;
        }
        let Some(probe) = &mut self.prober.probe else {
            return;
        };
        if probe.answered || probe.relayed || now.since(probe.sent) < self.options.probe_timeout {
            return;
        }
        probe.relayed = true;
        let Probe { target, number, .. } = *probe;
        let candidates: Vec<_> = self
            .ring
            .iter()
            .copied()
            .filter(|id| *id != self.own_id)
            .collect();
        for relay in Prober::choose_relays(&candidates, target, &mut self.rng) {
            let relayed = PingRequest { number, target };
            let packet = Packet {
                ping_request: Some(relayed),
                ..Packet::default()
            };
            self.send(relay, packet, actions);
        }
    }

    fn start_probe(&mut self, now: Time, actions: &mut Actions) {
        self.probe_rounds = self.probe_rounds.wrapping_add(1);
        let failed_too = self.probe_rounds.is_multiple_of(FAILED_PROBE_EVERY);
        let wanted = |member: &&Member| match member.status {
            Status::Unknown | Status::Alive | Status::Suspect => true,
            Status::Failed => failed_too && member.listed,
            Status::Left => false,
        };
        let near = self.arena.values().filter(|m| m.domain == self.options.domain);
        let candidates: Vec<_> = near.filter(wanted).map(|member| member.id).collect();
        let Some(target) = self.prober.next_target(&candidates, &mut self.rng) else {
            return;
        };
        let number = self.prober.next_number();
        self.prober.probe = Some(Probe {
            target,
            number,
            sent: now,
            relayed: false,
            answered: false,
        });
        self.send(target, ping(number), actions);
    }

    /// Suspects the target of the last probe if neither an answer nor anything else came from it.
    fn conclude_probe(&mut self, actions: &mut Actions, now: Time) {
        let Some(probe) = self.prober.probe.take() else {
            return;
        };
        let Some(member) = self.get(probe.target) else {
            return;
        };
        if probe.answered || member.last_seen >= probe.sent || !member.is_alive() {
            return;
        }
        let (id, version) = (member.id, member.last_version);
        self.suspect_member(id, version, self.own_id, now, actions);
    }

    fn ping_suspects(&mut self, now: Time, actions: &mut Actions) {
        let mut due = Vec::new();
        for (id, suspicion) in &mut self.suspicions {
            if now >= suspicion.next_ping {
                suspicion.next_ping = now + self.options.probe_period;
                due.push(*id);
            }
        }
        for id in due {
            let number = self.prober.next_number();
            self.send(id, ping(number), actions);
        }
    }

    fn expire_suspicions(&mut self, now: Time, actions: &mut Actions) {
        let alive = self.ring.len();
        let Options {
            max_suspicion,
            min_suspicion,
            ..
        } = self.options;
        let over = |(id, s): (&u32, &Suspicion)| {
            (now >= s.deadline(alive, max_suspicion, min_suspicion)).then_some(*id)
        };
        let failed: Vec<_> = self.suspicions.iter().filter_map(over).collect();
        for id in failed {
            self.suspicions.remove(&id);
            self.in_flight.remove(&id);
            self.set_status(id, Status::Failed, actions);
        }
    }
}
