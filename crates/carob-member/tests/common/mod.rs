//! Simulation of a fleet: instances run the product's control code over in-memory links and a virtual clock.
#![allow(dead_code, reason = "each test file uses a part of this module")]

#[path = "../../../carob-ticket/tests/common/mod.rs"]
pub mod store;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use carob_base::{Name, Time};
use carob_config::{Revision, short_id};
use carob_link::{Error, Key, Opener, Sealer};
use carob_member::{Action, Change, Datagram, Event, ListEntry, Members, Options};
use carob_store::{Failure, WatchEvent};
use carob_ticket::{
    Follower, Ledger, Ticket,
    follow::{self, Action as FollowAction},
    head::HEAD_KEY,
    submit::Outcome,
};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use store::Store;

/// Interval of [`Event::Tick`] at each instance.
pub const TICK: Duration = Duration::from_millis(100);
/// One-way latency of the links.
const LATENCY: Duration = Duration::from_millis(1);

/// A watch of the store in progress.
struct Watch {
    /// First revision of the store that it reports.
    from: u64,
    until: Time,
}

/// A simulated instance and what it has reported.
pub struct Instance {
    pub entry: ListEntry,
    pub members: Members,
    pub follow: Follower,
    sealer: Sealer,
    opener: Opener,
    watch: Option<Watch>,
    /// Time of the next tick; ticks of different instances are spread over the interval.
    next_tick: Time,
    /// The process is paused until then; datagrams to it are delivered afterwards.
    pub paused_until: Time,
    /// Whether the store is reachable from it.
    pub reaches_store: bool,
    /// Revisions put in force, with the times.
    pub applied: Vec<(Time, Revision)>,
    pub changes: Vec<(Time, Change)>,
    pub health_updates: Vec<(Time, u32)>,
    pub evidence: Vec<(Time, Bytes)>,
    pub resumed: Vec<String>,
    pub steps: u64,
}

type Loss = Box<dyn FnMut(&Instance, &Instance, &mut SmallRng) -> bool>;

/// A simulated fleet with its links and store, on one virtual clock.
pub struct Net {
    pub now: Time,
    pub instances: BTreeMap<u32, Instance>,
    pub store: Store,
    /// Decides whether a datagram from the first instance to the second one is lost.
    pub loss: Loss,
    /// Bytes of configuration that instances have sent to each other.
    pub config_bytes: u64,
    /// Frames by arrival time, then by order of sending, with the receiver.
    in_transit: BinaryHeap<Reverse<(Time, u64, u32, Bytes)>>,
    frames_sent: u64,
    rng: SmallRng,
}

pub fn name(text: &str) -> Name {
    Name::new(text).expect("a valid name")
}

/// The list entry of the instance `index` of `domain`, with an address derived from its short id.
pub fn list_entry(index: usize, domain: &str, region: &str) -> ListEntry {
    let text = format!("{domain}-{index}");
    let id = short_id(&name(&text)).to_be_bytes();
    ListEntry {
        name: name(&text),
        domain: name(domain),
        region: name(region),
        address: SocketAddr::from(([10, id[0], id[1], id[2]], u16::from(id[3]) + 1)),
        leaving: false,
    }
}

/// The list of a fleet of `domains` with `count` instances each; every domain is a region of its own.
pub fn fleet(domains: &[&str], count: usize) -> Vec<ListEntry> {
    let of = |domain: &&str| {
        (0..count)
            .map(|index| list_entry(index, domain, domain))
            .collect::<Vec<_>>()
    };
    domains.iter().flat_map(of).collect()
}

impl Net {
    pub fn new(seed: u64) -> Self {
        Self {
            now: Time::ZERO,
            instances: BTreeMap::new(),
            store: Store::default(),
            loss: Box::new(|_, _, _| false),
            config_bytes: 0,
            in_transit: BinaryHeap::new(),
            frames_sent: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Starts the instances of `list`, gives them the list and runs them for `seconds`.
    pub fn started(seed: u64, list: &[ListEntry], seconds: u64) -> Self {
        let mut net = Self::new(seed);
        for entry in list {
            net.start(entry, 1);
        }
        net.publish_list(list);
        net.run(Duration::from_secs(seconds));
        net
    }

    /// Starts a process; `incarnation` is the time of its wall clock, in milliseconds.
    pub fn start(&mut self, entry: &ListEntry, incarnation: u64) {
        let id = short_id(&entry.name);
        let seed = self.rng.random();
        let options = Options::new(
            entry.name.clone(),
            entry.domain.clone(),
            entry.region.clone(),
            entry.address,
        );
        let key = Key::new(b"test");
        let instance = Instance {
            entry: entry.clone(),
            members: Members::new(options.with_incarnation(incarnation).with_seed(seed)),
            follow: Follower::new(follow::Options {
                seed,
                ..follow::Options::default()
            }),
            sealer: Sealer::new(key.clone(), id, incarnation),
            opener: Opener::new(key, id),
            watch: None,
            next_tick: self.now + TICK.mul_f64(self.rng.random()),
            paused_until: Time::ZERO,
            reaches_store: true,
            applied: Vec::new(),
            changes: Vec::new(),
            health_updates: Vec::new(),
            evidence: Vec::new(),
            resumed: Vec::new(),
            steps: 0,
        };
        self.instances.insert(id, instance);
    }

    /// Kills a process without notice to the others.
    pub fn kill(&mut self, text: &str) {
        self.instances.remove(&short_id(&name(text)));
    }

    /// Shuts a process down; it announces that to the others.
    pub fn close(&mut self, text: &str) {
        let id = short_id(&name(text));
        let now = self.now;
        let Some(instance) = self.instances.remove(&id) else {
            return;
        };
        let mut sealer = instance.sealer;
        for action in instance.members.close(now) {
            let Action::Send { to, body } = action else {
                continue;
            };
            self.transmit(to.id, sealer.seal(to.id, &body));
        }
    }

    /// Passes `list` to every process as the platform's instance list.
    pub fn publish_list(&mut self, list: &[ListEntry]) {
        for id in self.ids() {
            self.step(id, Event::List(list.to_vec()));
        }
    }

    pub fn ids(&self) -> Vec<u32> {
        self.instances.keys().copied().collect()
    }

    pub fn instance(&mut self, text: &str) -> &mut Instance {
        self.instances
            .get_mut(&short_id(&name(text)))
            .unwrap_or_else(|| panic!("{text} is not running"))
    }

    /// Advances the clock by `duration`.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(next) = self.next_event().filter(|time| *time <= end) {
            self.now = next;
            self.deliver();
            self.tick();
        }
        self.now = end;
    }

    /// Advances the clock until `condition` holds, at most by `limit`; returns the time that it took.
    pub fn run_until(
        &mut self,
        limit: Duration,
        mut condition: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) <= limit {
            if condition(self) {
                return Some(self.now.since(start));
            }
            self.run(Duration::from_millis(20));
        }
        None
    }

    /// Submits a ticket to the store as a client outside of the fleet.
    pub fn submit(&mut self, ticket: Ticket) -> Outcome {
        store::submit(&mut self.store, ticket, Ledger::new())
    }

    /// Whether every process has `revision` or a later one in force.
    pub fn in_force(&self, revision: u64) -> bool {
        self.instances
            .values()
            .all(|instance| instance.follow.config().revision >= Revision(revision))
    }

    fn next_event(&self) -> Option<Time> {
        let arrival = self.in_transit.peek().map(|Reverse((time, ..))| *time);
        let tick = |instance: &Instance| instance.next_tick.max(instance.paused_until);
        self.instances.values().map(tick).chain(arrival).min()
    }

    fn deliver(&mut self) {
        while let Some(Reverse((time, count, to, frame))) = self.in_transit.pop() {
            if time > self.now {
                self.in_transit.push(Reverse((time, count, to, frame)));
                return;
            }
            let Some(instance) = self.instances.get_mut(&to) else {
                continue;
            };
            if instance.paused_until > self.now {
                let wake = instance.paused_until;
                self.in_transit.push(Reverse((wake, count, to, frame)));
                continue;
            }
            let event = match instance.opener.open(&frame) {
                Ok(opened) => Event::Datagram(Datagram {
                    from: opened.from,
                    incarnation: opened.incarnation,
                    source: SocketAddr::from(([10, 0, 0, 0], 1)),
                    body: opened.body,
                }),
                Err(Error::OldIncarnation { from, known }) => Event::OldIncarnation { from, known },
                Err(error) => panic!("frame rejected: {error}"),
            };
            let event = self.with_source(event);
            self.step(to, event);
        }
    }

    /// Sets the source of a datagram to its sender's address.
    fn with_source(&self, event: Event) -> Event {
        let Event::Datagram(mut datagram) = event else {
            return event;
        };
        if let Some(sender) = self.instances.get(&datagram.from) {
            datagram.source = sender.entry.address;
        }
        Event::Datagram(datagram)
    }

    fn tick(&mut self) {
        for id in self.ids() {
            let now = self.now;
            let Some(instance) = self.instances.get_mut(&id) else {
                continue;
            };
            if instance.next_tick.max(instance.paused_until) > now {
                continue;
            }
            instance.next_tick = now + TICK;
            let highest = instance.members.highest_revision();
            let watcher = instance.members.is_watcher();
            self.step(id, Event::Tick);
            self.step_follow(id, follow::Event::Watcher(watcher));
            self.step_follow(id, follow::Event::PeerRevision(highest));
            self.poll_watch(id);
        }
    }

    fn step(&mut self, id: u32, event: Event) {
        let now = self.now;
        let Some(instance) = self.instances.get_mut(&id) else {
            return;
        };
        instance.steps += 1;
        for action in instance.members.step(event, now) {
            self.perform(id, action);
        }
    }

    /// Makes the instance `at` announce that a caller resumed the answer `answer` there.
    pub fn resume(&mut self, at: &str, answer: &str) {
        let resumed = carob_peer::Resumed {
            upstream: "engine".to_owned(),
            answer: answer.to_owned(),
        };
        let actions = self.instance(at).members.announce_resumed(&[resumed]);
        for action in actions {
            self.perform(short_id(&name(at)), action);
        }
    }

    fn perform(&mut self, id: u32, action: Action) {
        let now = self.now;
        let Some(instance) = self.instances.get_mut(&id) else {
            return;
        };
        match action {
            Action::Send { to, body } => {
                let frame = instance.sealer.seal(to.id, &body);
                let (Some(from), Some(receiver)) = (self.instances.get(&id), self.instances.get(&to.id))
                else {
                    return;
                };
                if !(self.loss)(from, receiver, &mut self.rng) {
                    self.transmit(to.id, frame);
                }
            }
            Action::Changed(change) => instance.changes.push((now, change)),
            Action::SetIncarnation(incarnation) => instance.sealer.set_incarnation(incarnation),
            Action::LoadReported { .. } => {}
            Action::HealthReported { upstream, .. } => instance.health_updates.push((now, upstream)),
            Action::CrashEvidence(evidence) => instance.evidence.push((now, evidence)),
            Action::Resumed { answer_id, .. } => instance.resumed.push(answer_id),
        }
    }

    fn transmit(&mut self, to: u32, frame: Bytes) {
        self.frames_sent += 1;
        self.in_transit
            .push(Reverse((self.now + LATENCY, self.frames_sent, to, frame)));
    }

    fn step_follow(&mut self, id: u32, event: follow::Event) {
        let now = self.now;
        let Some(instance) = self.instances.get_mut(&id) else {
            return;
        };
        instance.steps += 1;
        for action in instance.follow.step(event, now) {
            self.perform_follow(id, action);
        }
    }

    fn perform_follow(&mut self, id: u32, action: FollowAction) {
        let now = self.now;
        let Some(instance) = self.instances.get_mut(&id) else {
            return;
        };
        match action {
            FollowAction::Call(call) => {
                let result = if instance.reaches_store {
                    self.store.call(&call)
                } else {
                    Err(Failure::NotSent)
                };
                self.step_follow(id, follow::Event::StoreReplied(result));
            }
            FollowAction::Watch { from, lifetime } => {
                self.store.calls += 1;
                let until = now + lifetime;
                instance.watch = Some(Watch { from, until });
            }
            FollowAction::FetchFromPeer { held } => self.fetch_from_peer(id, held),
            FollowAction::Apply(config) => {
                instance.applied.push((now, config.revision));
                instance.members.set_applied(config.revision, config.digest());
                let ready = instance.follow.is_ready();
                instance.members.set_ready(ready);
            }
        }
    }

    fn fetch_from_peer(&mut self, id: u32, held: Revision) {
        let Some(instance) = self.instances.get_mut(&id) else {
            return;
        };
        let Some(target) = instance.members.newer_holder(held) else {
            return;
        };
        let (Some(from), Some(peer)) = (self.instances.get(&id), self.instances.get(&target.id)) else {
            return;
        };
        if peer.paused_until > self.now
            || (self.loss)(from, peer, &mut self.rng)
            || (self.loss)(peer, from, &mut self.rng)
        {
            return;
        }
        let values = peer.follow.updates_since(held);
        self.config_bytes += values.iter().map(|value| value.len() as u64).sum::<u64>();
        self.step_follow(id, follow::Event::PeerReplied(values));
    }

    fn poll_watch(&mut self, id: u32) {
        let now = self.now;
        let Some(instance) = self.instances.get_mut(&id) else {
            return;
        };
        let Some(watch) = &mut instance.watch else { return };
        let event = if self.store.fault == Some(store::Fault::Down) || !instance.reaches_store {
            follow::Event::WatchEnded(Err(Failure::Unknown))
        } else if let Some(entry) = self.store.entries.get(HEAD_KEY)
            && entry.revision >= watch.from
        {
            watch.from = entry.revision + 1;
            let change = carob_store::Change::Put(entry.clone());
            follow::Event::WatchReported(WatchEvent::Changes(vec![change]))
        } else if now >= watch.until {
            follow::Event::WatchEnded(Ok(watch.from))
        } else {
            return;
        };
        if matches!(event, follow::Event::WatchEnded(_)) {
            instance.watch = None;
        }
        self.step_follow(id, event);
    }
}
