//! What a datagram changes.

use std::net::SocketAddr;

use bytes::Bytes;
use carob_base::{Name, Time};
use carob_config::{Digest, Revision, short_id};
use carob_peer::{Body, Bundle, HealthReport, Hello, NewerIncarnation, Packet, State, decode};

use crate::{
    event::{Action, Actions, Change, Datagram, ListEntry, Target},
    load::UpstreamHealth,
    member::Status,
    members::Members,
    outbox,
    send::{ack, ping},
};

impl Members {
    pub(crate) fn handle_datagram(&mut self, datagram: Datagram, now: Time, actions: &mut Actions) {
        let Datagram {
            from,
            incarnation,
            source,
            body,
        } = datagram;
        let Ok(packet) = decode::<Packet>(body) else {
            log::warn!("member: a datagram from {source} is no message");
            return;
        };
        if let Some(hello) = &packet.hello {
            self.handle_hello(from, hello, now);
        }
        let Some(member) = self.get(from) else {
            let stranger = ack(packet.ping.map_or(0, |ping| ping.number), true);
            let target = Target {
                id: from,
                address: source,
            };
            self.send_packet(&target, &stranger, actions);
            return;
        };
        if incarnation < member.incarnation {
            let known = member.incarnation;
            self.send_known_incarnation(from, known, actions);
            return;
        }
        self.current = true;
        self.record_contact(from, incarnation, source, now, actions);
        self.handle_packet(from, packet, now, actions);
    }

    /// Tells `from` that it goes by too low an incarnation: its clock went back before it started.
    pub(crate) fn send_known_incarnation(&mut self, from: u32, known: u64, actions: &mut Actions) {
        let packet = Packet {
            newer_incarnation: Some(NewerIncarnation { incarnation: known }),
            ..Packet::default()
        };
        self.send(from, packet, actions);
    }

    fn handle_packet(&mut self, from: u32, packet: Packet, now: Time, actions: &mut Actions) {
        if let Some(ping) = packet.ping {
            self.send(from, ack(ping.number, false), actions);
        }
        if let Some(ack) = packet.ack {
            self.handle_ack(from, ack, actions);
        }
        if let Some(relay) = packet.ping_request {
            let number = self.prober.record_relay(from, relay.number, now);
            self.send(relay.target, ping(number), actions);
        }
        if let Some(known) = packet.newer_incarnation {
            self.raise_incarnation(known.incarnation, actions);
        }
        for resumed in packet.resumed {
            let (upstream, answer) = (resumed.upstream, resumed.answer);
            actions.push(Action::Resumed { upstream, answer });
        }
        for bundle in packet.bundles {
            self.handle_bundle(bundle, now, actions);
        }
        if let Some(summary) = packet.summary {
            self.outbox.queue_summary(summary.clone());
            self.handle_summary(summary, now, actions);
        }
    }

    fn handle_hello(&mut self, from: u32, hello: &Hello, now: Time) {
        let name = |text: &str| Name::new(text).ok();
        let (Some(name), Some(domain), Some(region), Ok(address)) = (
            name(&hello.name),
            name(&hello.domain),
            name(&hello.region),
            hello.address.parse(),
        ) else {
            log::warn!("member: a greeting is not understood: {hello:?}");
            return;
        };
        if short_id(&name) != from {
            return;
        }
        self.add_member(
            &ListEntry {
                name,
                domain,
                region,
                address,
                leaving: false,
            },
            now,
        );
    }

    /// Something came from `from` directly.
    fn record_contact(
        &mut self,
        from: u32,
        incarnation: u64,
        source: SocketAddr,
        now: Time,
        actions: &mut Actions,
    ) {
        let member = &mut self.arena[self.by_id[&from]];
        member.last_seen = now;
        member.address = source;
        self.record_alive(from, incarnation, actions);
    }

    fn handle_ack(&mut self, from: u32, ack: carob_peer::Ack, actions: &mut Actions) {
        let member = &mut self.arena[self.by_id[&from]];
        member.hello_acked = (!ack.needs_hello).then_some(member.incarnation);
        if ack.needs_hello {
            let number = self.prober.next_number();
            self.send(from, ping(number), actions);
            return;
        }
        if let Some((requester, number)) = self.prober.record_ack(ack.number) {
            self.send(requester, crate::send::ack(number, false), actions);
        }
    }

    /// Goes on as an incarnation after `known`.
    fn raise_incarnation(&mut self, known: u64, actions: &mut Actions) {
        if known <= self.options.incarnation {
            return;
        }
        log::warn!(
            "member: the clock went back before the start; going on as incarnation {}",
            known + 1
        );
        self.options.incarnation = known + 1;
        self.outbox.version = 0;
        self.outbox.mark_urgent();
        actions.push(Action::SetIncarnation(known + 1));
    }

    /// Takes in a bundle if it is new, and passes it on.
    fn handle_bundle(&mut self, bundle: Bundle, now: Time, actions: &mut Actions) {
        let Some(key) = self.by_id.get(&bundle.origin).copied() else {
            return;
        };
        let member = &self.arena[key];
        if bundle.incarnation < member.incarnation {
            return;
        }
        let restarted = bundle.incarnation > member.incarnation;
        let suspected = self.suspicions.get(&bundle.origin);
        if restarted || suspected.is_none_or(|suspicion| bundle.version > suspicion.version) {
            self.record_alive(bundle.origin, bundle.incarnation, actions);
        }
        let member = &mut self.arena[key];
        if bundle.incarnation != member.incarnation || !member.seen_versions.accept(bundle.version) {
            return;
        }
        // Bundles may overtake each other; of the state only the latest counts.
        let latest = bundle.version > member.last_version;
        member.last_version = member.last_version.max(bundle.version);
        self.forward(&bundle, actions);
        match decode::<Body>(bundle.body) {
            Ok(mut body) => {
                body.state = body.state.filter(|_| latest);
                self.apply_body(bundle.origin, body, now, actions);
            }
            Err(error) => log::warn!("member: a bundle is no message: {error}"),
        }
    }

    fn apply_body(&mut self, origin: u32, body: Body, now: Time, actions: &mut Actions) {
        if let Some(state) = body.state {
            self.apply_state(origin, state, actions);
        }
        for (upstream, load) in body.loads.iter().flat_map(outbox::read_loads) {
            self.loads.insert(upstream, (load, now));
            actions.push(Action::LoadReported { upstream, load });
        }
        for (upstream, own) in body.own_loads.iter().flat_map(outbox::read_in_flight) {
            self.in_flight
                .entry(origin)
                .or_default()
                .insert(upstream, (own, now));
        }
        for HealthReport {
            upstream,
            incarnation,
            kind,
        } in body.health_reports
        {
            let health = UpstreamHealth::from_wire(kind);
            actions.push(Action::HealthReported {
                upstream,
                incarnation,
                health,
            });
        }
        for suspicion in body.suspicions {
            self.handle_suspicion(origin, suspicion, now, actions);
        }
        for suspect in body.suspects {
            self.handle_evidence(suspect, actions);
        }
        for summary in body.summaries {
            self.handle_summary(summary, now, actions);
        }
    }

    fn apply_state(&mut self, origin: u32, state: State, actions: &mut Actions) {
        let member = &mut self.arena[self.by_id[&origin]];
        member.ready = state.ready;
        member.leaving = state.leaving;
        member.revision = Revision(state.revision);
        member.digest = Digest(state.digest);
        if state.left {
            self.suspicions.remove(&origin);
            self.in_flight.remove(&origin);
            self.set_status(origin, Status::Left, actions);
        }
    }

    fn handle_evidence(&mut self, suspect: Bytes, actions: &mut Actions) {
        if !self.record_evidence(&suspect) {
            return;
        }
        self.bridges.queue_evidence(&suspect);
        actions.push(Action::CrashEvidence(suspect));
    }

    fn handle_summary(&mut self, summary: carob_peer::DomainSummary, now: Time, actions: &mut Actions) {
        if summary.domain == self.options.domain.as_str() {
            return;
        }
        for suspect in &summary.suspects {
            self.handle_evidence(suspect.clone(), actions);
        }
        let domain = Name::new(&summary.domain);
        if self.bridges.record_summary(summary, now)
            && let Ok(domain) = domain
        {
            log::info!("member: failure domain {domain} is heard of again");
            actions.push(Action::Changed(Change::Joint(domain)));
        }
    }
}
