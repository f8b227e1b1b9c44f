//! The other instances: membership, and the soft state that instances share.

use std::{collections::HashMap, net::UdpSocket, sync::Arc, time::Duration};

use bytes::Bytes;
use carob_base::{Name, Time};
use carob_config::{Config, short_id};
use carob_link::{Sealer, frame::DATAGRAM_LIMIT};
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
    health::{Miss, Source},
};
use crate::shared::Phase;

/// Time between two exchanges of own load with the router.
const SHARE_EVERY: Duration = Duration::from_millis(500);
/// Time between two tellings of the same resumed answer; datagrams may be lost.
const RESUMED_EVERY: Duration = Duration::from_secs(1);
/// How often a resumed answer is told.
const RESUMED_TIMES: u32 = 4;
/// Most resumed answers in one datagram.
const RESUMED_BATCH: usize = 8;
/// What all other instances of the failure domain have under way, as the router names it.
const OTHERS: &str = "others";
/// Typical age of a load report that another instance has passed on.
const GOSSIP_AGE: Duration = Duration::from_millis(300);

/// The other instances, as this one knows them.
#[derive(Debug)]
pub struct Peers {
    /// Who they are and what they said.
    pub members: Members,
    socket: Arc<UdpSocket>,
    sealer: Sealer,
    /// Upstreams of the configuration by short id.
    upstreams: HashMap<u32, Name>,
    /// Upstreams whose own load has been shared.
    shared: Vec<Name>,
    next_share: Time,
    /// Answers that callers resumed here, with how often they are still told.
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
            shared: Vec::new(),
            next_share: Time::ZERO,
            resumed: Vec::new(),
            next_resumed: Time::ZERO,
        }
    }

    /// A caller has resumed an answer here; the others are told at the next tick.
    pub fn note_resumed(&mut self, upstream: &str, answer: &str) {
        let resumed = Resumed {
            upstream: upstream.to_owned(),
            answer: answer.to_owned(),
        };
        self.resumed.push((resumed, RESUMED_TIMES));
        self.next_resumed = Time::ZERO;
    }

    /// Tells the others of resumed answers again and again for a while.
    fn tell_resumed(&mut self, now: Time) -> Actions {
        if now < self.next_resumed || self.resumed.is_empty() {
            return Actions::new();
        }
        self.next_resumed = now + RESUMED_EVERY;
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
    /// Feeds membership and carries out what it asks for.
    pub(super) fn member(&mut self, event: Event, now: Time) {
        let actions = self.peers.members.step(event, now);
        self.perform_member(actions, now);
    }

    pub(super) fn tick_peers(&mut self, now: Time) {
        let phase = self.shared.phase();
        self.peers.members.set_ready(phase == Phase::Ready);
        self.peers.members.set_leaving(phase == Phase::Leaving);
        self.member(Event::Tick, now);
        let actions = self.peers.tell_resumed(now);
        self.perform_member(actions, now);
        if now < self.peers.next_share {
            return;
        }
        self.peers.next_share = now + SHARE_EVERY;
        self.share_load(now);
        self.share_polls();
        let highest = self.peers.members.highest_revision();
        self.follow(follow::Event::PeerRevision(highest), now);
        let watcher = self.peers.members.is_watcher();
        self.follow(follow::Event::Watcher(watcher), now);
    }

    /// A new configuration is in force here.
    pub(super) fn tell_applied(&mut self, config: &Config) {
        self.peers.members.set_applied(config.revision, config.digest());
        let names = config.upstreams.keys();
        self.peers.next_share = Time::ZERO;
        self.peers.upstreams = names.map(|name| (short_id(name), name.clone())).collect();
    }

    /// Shares a report that this instance polled.
    pub(super) fn share_report(&mut self, upstream: &Name, report: &Report, now: Time) {
        let load = Load {
            incarnation: report.incarnation as u32,
            running: report.running,
            waiting: report.waiting,
            used: report.used,
            memory: report.memory,
            preemptions: report.preemptions as u16,
            leaving: report.leaving,
        };
        self.peers.members.share_load(short_id(upstream), load, now);
    }

    /// Shares a sign of an upstream's state at once, if it was seen here.
    pub(super) fn share_sign(&mut self, upstream: &Name, health: UpstreamHealth, source: Source) {
        if source == Source::Told {
            return;
        }
        let incarnation = self.health.incarnation(upstream).unwrap_or_default();
        self.peers
            .members
            .share_health(short_id(upstream), incarnation as u32, health);
    }

    /// Shares evidence on requests that crash upstreams.
    pub(super) fn share_suspect(&mut self, suspect: &Bytes) {
        self.peers.members.share_evidence(suspect);
        self.hasten();
    }

    /// Goodbye to the others, so that they need not find out by probes.
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

    /// Exchanges requests under way: own ones go out, those of the others come in.
    fn share_load(&mut self, now: Time) {
        let own = self.router.unreported_load();
        for name in std::mem::take(&mut self.peers.shared) {
            if !own.iter().any(|share| share.upstream == name) {
                self.peers
                    .members
                    .set_in_flight(short_id(&name), InFlight::default());
            }
        }
        for share in &own {
            let load = InFlight {
                running: share.requests,
                tokens: share.tokens,
                sent: share.requests,
            };
            self.peers.members.set_in_flight(short_id(&share.upstream), load);
        }
        self.peers.shared = own.into_iter().map(|share| share.upstream).collect();
        let others = Name::new(OTHERS).expect("the text is a valid name");
        let shares: Vec<UnreportedLoad> = self.peers.others().collect();
        self.router.update_peer_load(&others, &shares, now);
        let alive = self.peers.members.alive_ids().len().saturating_sub(1);
        self.router.set_peer_count(alive);
    }

    /// Tells the poll thread which upstreams this instance looks after.
    fn share_polls(&self) {
        let members = &self.peers.members;
        let mine = self
            .peers
            .upstreams
            .values()
            .filter(|name| members.is_home(name.as_str()));
        self.shared.set_polled(mine.cloned().collect());
    }

    fn perform_member(&mut self, actions: Actions, now: Time) {
        for action in actions {
            match action {
                Action::Send { to, body } => send(&self.peers.socket, &mut self.peers.sealer, &to, &body),
                Action::Changed(change) => self.member_changed(&change, now),
                Action::SetIncarnation(incarnation) => self.peers.sealer.set_incarnation(incarnation),
                Action::LoadReported { upstream, load } => self.reported(upstream, load, now),
                Action::HealthReported { upstream, health, .. } => self.signed(upstream, health, now),
                Action::CrashEvidence(suspect) => self.take_suspect(suspect, now),
                Action::Resumed { upstream, answer_id } => self.resumed_elsewhere(upstream, answer_id),
            }
        }
    }

    fn member_changed(&mut self, change: &Change, now: Time) {
        log::info!("member: {change:?}");
        if let Change::Joined(_) = change {
            // A process that has just started knows of no crashes yet.
            self.share_all_suspects(now);
        }
    }

    /// Another instance polled an upstream.
    fn reported(&mut self, upstream: u32, load: Load, now: Time) {
        let Some(name) = self.peers.upstreams.get(&upstream).cloned() else {
            return;
        };
        let report = Report {
            incarnation: u64::from(load.incarnation),
            running: load.running,
            waiting: load.waiting,
            used: load.used,
            memory: load.memory,
            preemptions: u64::from(load.preemptions),
            leaving: load.leaving,
        };
        self.report(&name, report, now - GOSSIP_AGE, Source::Told, now);
    }

    fn signed(&mut self, upstream: u32, health: UpstreamHealth, now: Time) {
        let Some(name) = self.peers.upstreams.get(&upstream).cloned() else {
            return;
        };
        match health {
            UpstreamHealth::Serving => self.reachable(&name, Time::ZERO, Source::Told, now),
            UpstreamHealth::Leaving => self.leaving(&name, Source::Told),
            UpstreamHealth::Down => self.unreachable(&name, Time::ZERO, Miss::Told, now),
        }
    }

    pub(super) fn listed(&mut self, list: Vec<ListEntry>, now: Time) {
        // The list shows upstreams too; their leaving may be seen here before their load report says so.
        let leaving: Vec<Name> = list
            .iter()
            .filter(|entry| entry.leaving && self.peers.upstreams.contains_key(&short_id(&entry.name)))
            .map(|entry| entry.name.clone())
            .collect();
        for name in leaving {
            self.leaving(&name, Source::Told);
        }
        let upstreams = &self.peers.upstreams;
        let instances = list
            .into_iter()
            .filter(|entry| !upstreams.contains_key(&short_id(&entry.name)));
        self.member(Event::List(instances.collect()), now);
    }
}

impl Peers {
    /// The other instances, in the order of their names.
    pub fn sorted(&self) -> Vec<Member> {
        let mut members: Vec<Member> = self.members.iter().cloned().collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        members
    }

    /// What the other instances have under way at each upstream.
    fn others(&self) -> impl Iterator<Item = UnreportedLoad> {
        self.upstreams.iter().filter_map(|(id, name)| {
            let own = self.members.peers_in_flight(*id);
            (own.sent > 0).then(|| UnreportedLoad {
                upstream: name.clone(),
                requests: own.sent,
                tokens: own.tokens,
            })
        })
    }
}

fn send(socket: &UdpSocket, sealer: &mut Sealer, to: &Target, body: &[u8]) {
    if body.len() > DATAGRAM_LIMIT {
        log::warn!("member: a datagram of {} bytes is too long", body.len());
        return;
    }
    let frame = sealer.seal(to.id, body);
    if let Err(error) = socket.send_to(&frame, to.address) {
        log::debug!("member: no datagram to {}: {error}", to.address);
    }
}
