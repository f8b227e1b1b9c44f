//! Processing of received datagrams.

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
            log::warn!("member: cannot decode a datagram from {source}");
            return;
        };
        if let Some(hello) = &packet.hello {
            self.handle_hello(from, hello, now);
        }
        let Some(member) = self.get(from) else {
            // The sender is unknown: the answer asks it for a hello.
            let reply = ack(packet.ping.map_or(0, |ping| ping.number), true);
            let target = Target {
                id: from,
                address: source,
            };
            self.send_packet(&target, &reply, actions);
            return;
        };
        if incarnation < member.incarnation {
            let known = member.incarnation;
            self.send_newer_incarnation(from, known, actions);
            return;
        }
        self.current = true;
        self.record_contact(from, incarnation, source, now, actions);
        self.handle_packet(from, packet, now, actions);
    }

    /// Tells `from` that its incarnation is too low, because its wall clock was set back before it started.
    pub(crate) fn send_newer_incarnation(&mut self, from: u32, known: u64, actions: &mut Actions) {
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
        if let Some(request) = packet.ping_request {
            let number = self.prober.record_relay(from, request.number, now);
            self.send(request.target, ping(number), actions);
        }
        if let Some(newer) = packet.newer_incarnation {
            self.raise_incarnation(newer.incarnation, actions);
        }
        for resumed in packet.resumed {
            let (upstream, answer_id) = (resumed.upstream, resumed.answer);
            actions.push(Action::Resumed { upstream, answer_id });
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
            log::warn!("member: invalid hello: {hello:?}");
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

    /// Records that a datagram came from `from` directly.
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

    /// Continues with an incarnation above `known`, the highest one that another instance knows of this one.
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

    /// Applies a bundle and forwards it, unless it was received before.
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
        // Bundles may be reordered; a state older than the last applied one is ignored.
        let latest = bundle.version > member.last_version;
        member.last_version = member.last_version.max(bundle.version);
        self.forward(&bundle, actions);
        match decode::<Body>(bundle.body) {
            Ok(mut body) => {
                body.state = body.state.filter(|_| latest);
                self.apply_body(bundle.origin, body, now, actions);
            }
            Err(error) => log::warn!("member: cannot decode the body of a bundle: {error}"),
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
        for (upstream, in_flight) in body.own_loads.iter().flat_map(outbox::read_in_flight) {
            self.in_flight
                .entry(origin)
                .or_default()
                .insert(upstream, (in_flight, now));
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
        for evidence in body.suspects {
            self.handle_evidence(evidence, actions);
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

    fn handle_evidence(&mut self, evidence: Bytes, actions: &mut Actions) {
        if !self.record_evidence(&evidence) {
            return;
        }
        self.bridges.queue_evidence(&evidence);
        actions.push(Action::CrashEvidence(evidence));
    }

    fn handle_summary(&mut self, summary: carob_peer::DomainSummary, now: Time, actions: &mut Actions) {
        if summary.domain == self.options.domain.as_str() {
            return;
        }
        for evidence in &summary.suspects {
            self.handle_evidence(evidence.clone(), actions);
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
