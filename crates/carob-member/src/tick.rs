//! Timers: detection of pauses, probes, expiry of suspicions, and publishing.

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

/// Interval at which queued bundles are sent, so that those for one instance share datagrams.
const FLUSH_INTERVAL: Duration = Duration::from_millis(500);
/// Hellos sent per tick, so that a start causes no burst.
const HELLOS_PER_TICK: usize = 8;
/// One probe in this many may go to a failed instance that is still listed.
const FAILED_PROBE_EVERY: u32 = 8;

impl Members {
    /// Detects that this process was paused.
    ///
    /// Answers missed during the pause are no evidence against other instances, so the probe in progress is
    /// abandoned and the timeouts of suspicions and failure domains are extended by the pause.
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

    /// Whether to publish: there are updates and the minimum time since the last bundle has passed, rather
    /// than at fixed times, so that a load report does not wait for the next one. Urgent updates are
    /// published at once.
    fn is_publish_due(&self, now: Time) -> bool {
        let Outbox {
            urgent, next_bundle, ..
        } = self.outbox;
        let pending = self.outbox.has_updates(now) || self.suspicions.values().any(|s| s.local);
        urgent || (pending && now >= next_bundle) || now >= next_bundle + self.gossip_interval()
    }

    /// Pings members that were added, at most [`HELLOS_PER_TICK`]; the ping carries a hello.
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
            let request = PingRequest { number, target };
            let packet = Packet {
                ping_request: Some(request),
                ..Packet::default()
            };
            self.send(relay, packet, actions);
        }
    }

    fn start_probe(&mut self, now: Time, actions: &mut Actions) {
        self.probe_rounds = self.probe_rounds.wrapping_add(1);
        let include_failed = self.probe_rounds.is_multiple_of(FAILED_PROBE_EVERY);
        let eligible = |member: &&Member| match member.status {
            Status::Unknown | Status::Alive | Status::Suspect => true,
            Status::Failed => include_failed && member.listed,
            Status::Left => false,
        };
        let local = self.arena.values().filter(|m| m.domain == self.options.domain);
        let candidates: Vec<_> = local.filter(eligible).map(|member| member.id).collect();
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

    /// Suspects the target of the last probe if it neither answered nor sent any other datagram since.
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

    /// Pings each suspected member once per probe period.
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

    /// Marks members as failed whose suspicion was not refuted in time.
    fn expire_suspicions(&mut self, now: Time, actions: &mut Actions) {
        let alive = self.ring.len();
        let Options {
            max_suspicion,
            min_suspicion,
            ..
        } = self.options;
        let expired = |(id, s): (&u32, &Suspicion)| {
            (now >= s.deadline(alive, max_suspicion, min_suspicion)).then_some(*id)
        };
        let failed: Vec<_> = self.suspicions.iter().filter_map(expired).collect();
        for id in failed {
            self.suspicions.remove(&id);
            self.in_flight.remove(&id);
            self.set_status(id, Status::Failed, actions);
        }
    }
}
