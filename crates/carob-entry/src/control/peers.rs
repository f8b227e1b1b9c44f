//! The other instances: membership, and the soft state that instances share with each other.

use std::{collections::HashMap, net::UdpSocket, sync::Arc, time::Duration};

use bytes::Bytes;
use carob_base::{Name, Time};
use carob_config::{Config, short_id};
use carob_link::{Sealer, frame::MAX_DATAGRAM_BODY};
use carob_member::{
    Action, Actions, Change, Event, InFlight, Load, Member, Members, UpstreamHealth,
    event::{ListEntry, Target},
};
use carob_peer::Resumed;
use carob_route::UnreportedLoad;
use carob_ticket::follow;
use carob_wire::load::Report;

use super::{
    Control,
    health::{ProbeFailure, Source},
};
use crate::shared::Phase;

/// Interval at which in-flight loads are exchanged between the router and membership.
const SHARE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a resumed answer is announced again; datagrams may be lost.
const RESUMED_INTERVAL: Duration = Duration::from_secs(1);
/// Number of times that a resumed answer is announced.
const RESUMED_REPEATS: u32 = 4;
/// Maximum number of resumed answers in one datagram.
const RESUMED_BATCH: usize = 8;
/// Name under which the router holds the summed in-flight load of the other instances of the failure domain.
const PEERS_NAME: &str = "others";
/// Assumed age of a load report from another instance; the time of its poll is not shared.
const REPORT_AGE: Duration = Duration::from_millis(300);

/// This instance's view of the others, and the socket to them.
#[derive(Debug)]
pub struct Peers {
    /// The membership state machine.
    pub members: Members,
    socket: Arc<UdpSocket>,
    sealer: Sealer,
    /// Upstreams of the configuration by short id.
    upstreams: HashMap<u32, Name>,
    /// Upstreams for which an in-flight load is being shared.
    shared_loads: Vec<Name>,
    next_share: Time,
    /// Answers that callers resumed here, with the number of announcements left.
    resumed: Vec<(Resumed, u32)>,
    next_resumed: Time,
}

impl Peers {
    /// An instance that knows only itself; frames are sealed with `sealer` and sent from `socket`.
    pub fn new(options: carob_member::Options, socket: Arc<UdpSocket>, sealer: Sealer) -> Self {
        Self {
            members: Members::new(options),
            socket,
            sealer,
            upstreams: HashMap::new(),
            shared_loads: Vec::new(),
            next_share: Time::ZERO,
            resumed: Vec::new(),
            next_resumed: Time::ZERO,
        }
    }

    /// Queues the announcement that a caller has resumed an answer here; it is sent with the next tick.
    pub fn announce_resumed(&mut self, upstream: &str, answer: &str) {
        let resumed = Resumed {
            upstream: upstream.to_owned(),
            answer: answer.to_owned(),
        };
        self.resumed.push((resumed, RESUMED_REPEATS));
        self.next_resumed = Time::ZERO;
    }

    /// Announces the queued resumed answers, if that is due; each [`RESUMED_REPEATS`] times.
    fn repeat_resumed(&mut self, now: Time) -> Actions {
        if now < self.next_resumed || self.resumed.is_empty() {
            return Actions::new();
        }
        self.next_resumed = now + RESUMED_INTERVAL;
        let mut actions = Actions::new();
        let answers: Vec<Resumed> = self.resumed.iter().map(|(resumed, _)| resumed.clone()).collect();
        for batch in answers.chunks(RESUMED_BATCH) {
            actions.extend(self.members.announce_resumed(batch));
        }
        for (_, left) in &mut self.resumed {
            *left -= 1;
        }
        self.resumed.retain(|(_, left)| *left > 0);
        actions
    }
}

impl Control {
    /// Passes an event to membership and carries out the actions that it returns.
    pub(super) fn on_member_event(&mut self, event: Event, now: Time) {
        let actions = self.peers.members.step(event, now);
        self.perform_member(actions, now);
    }

    pub(super) fn tick_peers(&mut self, now: Time) {
        let phase = self.shared.phase();
        self.peers.members.set_ready(phase == Phase::Ready);
        self.peers.members.set_leaving(phase == Phase::Leaving);
        self.on_member_event(Event::Tick, now);
        let actions = self.peers.repeat_resumed(now);
        self.perform_member(actions, now);
        if now < self.peers.next_share {
            return;
        }
        self.peers.next_share = now + SHARE_INTERVAL;
        self.share_load(now);
        self.update_polled();
        let highest = self.peers.members.highest_revision();
        self.on_config_event(follow::Event::PeerRevision(highest), now);
        let watcher = self.peers.members.is_watcher();
        self.on_config_event(follow::Event::Watcher(watcher), now);
    }

    /// Announces the configuration that is now in force here, and replaces the known upstreams by its own.
    pub(super) fn announce_config(&mut self, config: &Config) {
        self.peers.members.set_applied(config.revision, config.digest());
        let names = config.upstreams.keys();
        self.peers.next_share = Time::ZERO;
        self.peers.upstreams = names.map(|name| (short_id(name), name.clone())).collect();
    }

    /// Shares a load report that this instance polled.
    pub(super) fn share_report(&mut self, upstream: &Name, report: &Report, now: Time) {
        let load = Load {
            incarnation: report.incarnation as u32,
            running: report.running,
            waiting: report.waiting,
            used: report.used_tokens,
            memory: report.memory_tokens,
            preemptions: report.preemptions as u16,
            leaving: report.leaving,
        };
        self.peers.members.share_load(short_id(upstream), load, now);
    }

    /// Shares an upstream's health at once, if it was observed here.
    pub(super) fn share_health(&mut self, upstream: &Name, health: UpstreamHealth, source: Source) {
        if source == Source::Remote {
            return;
        }
        let incarnation = self.health.incarnation(upstream).unwrap_or_default();
        self.peers
            .members
            .share_health(short_id(upstream), incarnation as u32, health);
    }

    /// Shares evidence on requests that crash upstreams at once.
    pub(super) fn share_evidence(&mut self, evidence: &Bytes) {
        self.peers.members.share_evidence(evidence);
        self.tick_soon();
    }

    /// Tells the others that this instance leaves, so that they need not detect it by probes.
    pub(super) fn close_peers(self) {
        let now = self.shared.now();
        let Peers {
            members,
            socket,
            mut sealer,
            ..
        } = self.peers;
        for action in members.close(now) {
            if let Action::Send { to, body } = action {
                send(&socket, &mut sealer, &to, &body);
            }
        }
    }

    /// Shares this instance's in-flight load, and passes that of the others in the failure domain to the
    /// router.
    fn share_load(&mut self, now: Time) {
        let own = self.router.unreported_load();
        for name in std::mem::take(&mut self.peers.shared_loads) {
            if !own.iter().any(|load| load.upstream == name) {
                self.peers
                    .members
                    .set_in_flight(short_id(&name), InFlight::default());
            }
        }
        for load in &own {
            let in_flight = InFlight {
                running: load.requests,
                tokens: load.tokens,
                sent: load.requests,
            };
            self.peers
                .members
                .set_in_flight(short_id(&load.upstream), in_flight);
        }
        self.peers.shared_loads = own.into_iter().map(|load| load.upstream).collect();
        let others = Name::new(PEERS_NAME).expect("the text is a valid name");
        let loads: Vec<UnreportedLoad> = self.peers.loads().collect();
        self.router.update_peer_load(&others, &loads, now);
        let alive = self.peers.members.alive_ids().len().saturating_sub(1);
        self.router.set_peer_count(alive);
    }

    /// Sets the upstreams that this instance polls: those that membership assigns to it.
    fn update_polled(&self) {
        let members = &self.peers.members;
        let assigned = self
            .peers
            .upstreams
            .values()
            .filter(|name| members.is_home(name.as_str()));
        self.shared.set_polled(assigned.cloned().collect());
    }

    fn perform_member(&mut self, actions: Actions, now: Time) {
        for action in actions {
            match action {
                Action::Send { to, body } => send(&self.peers.socket, &mut self.peers.sealer, &to, &body),
                Action::Changed(change) => self.on_member_changed(&change, now),
                Action::SetIncarnation(incarnation) => self.peers.sealer.set_incarnation(incarnation),
                Action::LoadReported { upstream, load } => self.on_peer_report(upstream, load, now),
                Action::HealthReported { upstream, health, .. } => self.on_peer_health(upstream, health, now),
                Action::CrashEvidence(evidence) => self.merge_evidence(evidence, now),
                Action::Resumed { upstream, answer_id } => self.on_resumed_elsewhere(upstream, answer_id),
            }
        }
    }

    fn on_member_changed(&mut self, change: &Change, now: Time) {
        log::info!("member: {change:?}");
        if let Change::Joined(_) = change {
            // A process that has just started has no evidence on crashes yet.
            self.share_all_evidence(now);
        }
    }

    /// Applies a load report that another instance polled.
    fn on_peer_report(&mut self, upstream: u32, load: Load, now: Time) {
        let Some(name) = self.peers.upstreams.get(&upstream).cloned() else {
            return;
        };
        let report = Report {
            incarnation: u64::from(load.incarnation),
            running: load.running,
            waiting: load.waiting,
            used_tokens: load.used,
            memory_tokens: load.memory,
            preemptions: u64::from(load.preemptions),
            leaving: load.leaving,
        };
        self.apply_report(&name, report, now - REPORT_AGE, Source::Remote, now);
    }

    fn on_peer_health(&mut self, upstream: u32, health: UpstreamHealth, now: Time) {
        let Some(name) = self.peers.upstreams.get(&upstream).cloned() else {
            return;
        };
        match health {
            UpstreamHealth::Serving => self.on_reachable(&name, Time::ZERO, Source::Remote, now),
            UpstreamHealth::Leaving => self.mark_leaving(&name, Source::Remote),
            UpstreamHealth::Down => self.on_unreachable(&name, Time::ZERO, ProbeFailure::Told, now),
        }
    }

    pub(super) fn on_instance_list(&mut self, list: Vec<ListEntry>, now: Time) {
        // The list holds upstreams too, and may show that one is leaving before its load report does.
        let leaving: Vec<Name> = list
            .iter()
            .filter(|entry| entry.leaving && self.peers.upstreams.contains_key(&short_id(&entry.name)))
            .map(|entry| entry.name.clone())
            .collect();
        for name in leaving {
            self.mark_leaving(&name, Source::Remote);
        }
        let upstreams = &self.peers.upstreams;
        let instances = list
            .into_iter()
            .filter(|entry| !upstreams.contains_key(&short_id(&entry.name)));
        self.on_member_event(Event::List(instances.collect()), now);
    }
}

impl Peers {
    /// The other instances, in the order of their names.
    pub fn sorted(&self) -> Vec<Member> {
        let mut members: Vec<Member> = self.members.iter().cloned().collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        members
    }

    /// The summed in-flight load of the other instances of this failure domain at each upstream.
    fn loads(&self) -> impl Iterator<Item = UnreportedLoad> {
        self.upstreams.iter().filter_map(|(id, name)| {
            let in_flight = self.members.peers_in_flight(*id);
            (in_flight.sent > 0).then(|| UnreportedLoad {
                upstream: name.clone(),
                requests: in_flight.sent,
                tokens: in_flight.tokens,
            })
        })
    }
}

fn send(socket: &UdpSocket, sealer: &mut Sealer, to: &Target, body: &[u8]) {
    if body.len() > MAX_DATAGRAM_BODY {
        log::warn!(
            "member: datagram not sent, {} bytes are over the limit",
            body.len()
        );
        return;
    }
    let frame = sealer.seal(to.id, body);
    if let Err(error) = socket.send_to(&frame, to.address) {
        log::debug!("member: cannot send a datagram to {}: {error}", to.address);
    }
}
