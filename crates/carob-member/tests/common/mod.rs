//! Instances that run the product's control code over links in memory, with the clock passed in.
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
use carob_store::{Failure, Notice};
use carob_ticket::{
    Follow, Ledger, Ticket,
    follow::{self, Action as Config},
    head::HEAD_KEY,
    submit::Outcome,
};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use store::Store;

/// Time between two ticks.
pub const TICK: Duration = Duration::from_millis(100);
/// One-way latency of the links.
const LATENCY: Duration = Duration::from_millis(1);

/// A watch in progress.
struct Watch {
    from: u64,
    until: Time,
}

/// One instance.
pub struct Node {
    pub listed: ListEntry,
    pub members: Members,
    pub follow: Follow,
    sealer: Sealer,
    opener: Opener,
    watch: Option<Watch>,
    /// Ticks are spread over the interval between them.
    next_tick: Time,
    /// The process stands still until then; datagrams wait for it.
    pub paused_until: Time,
    /// Whether it reaches the store.
    pub store: bool,
    /// Revisions put in force, with their times.
    pub applied: Vec<(Time, Revision)>,
    pub changes: Vec<(Time, Change)>,
    pub signs: Vec<(Time, u32)>,
    pub suspects: Vec<(Time, Bytes)>,
    pub resumed: Vec<String>,
    pub steps: u64,
}

type Loss = Box<dyn FnMut(&Node, &Node, &mut SmallRng) -> bool>;

/// A fleet on one clock.
pub struct Net {
    pub now: Time,
    pub nodes: BTreeMap<u32, Node>,
    pub platform: Store,
    /// Whether a datagram from one instance to another one is lost.
    pub loss: Loss,
    /// Bytes of configuration that instances have sent each other.
    pub config_bytes: u64,
    flying: BinaryHeap<Reverse<(Time, u64, u32, Bytes)>>,
    count: u64,
    rng: SmallRng,
}

pub fn name(text: &str) -> Name {
    Name::new(text).expect("a valid name")
}

/// The entry of the instance `index` of the domain `domain`.
pub fn listed(index: usize, domain: &str, region: &str) -> ListEntry {
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

/// The lists of `domains` with `count` instances each; every domain is a region of its own.
pub fn fleet(domains: &[&str], count: usize) -> Vec<ListEntry> {
    let of = |domain: &&str| {
        (0..count)
            .map(|index| listed(index, domain, domain))
            .collect::<Vec<_>>()
    };
    domains.iter().flat_map(of).collect()
}

impl Net {
    pub fn new(seed: u64) -> Self {
        Self {
            now: Time::ZERO,
            nodes: BTreeMap::new(),
            platform: Store::default(),
            loss: Box::new(|_, _, _| false),
            config_bytes: 0,
            flying: BinaryHeap::new(),
            count: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// A fleet that has run for `seconds`.
    pub fn started(seed: u64, list: &[ListEntry], seconds: u64) -> Self {
        let mut net = Self::new(seed);
        for listed in list {
            net.start(listed, 1);
        }
        net.publish_list(list);
        net.run(Duration::from_secs(seconds));
        net
    }

    /// Starts a process; `incarnation` is its wall clock in milliseconds.
    pub fn start(&mut self, listed: &ListEntry, incarnation: u64) {
        let id = short_id(&listed.name);
        let seed = self.rng.random();
        let options = Options::new(
            listed.name.clone(),
            listed.domain.clone(),
            listed.region.clone(),
            listed.address,
        );
        let key = Key::new(b"test");
        let node = Node {
            listed: listed.clone(),
            members: Members::new(options.with_incarnation(incarnation).with_seed(seed)),
            follow: Follow::new(follow::Options {
                seed,
                ..follow::Options::default()
            }),
            sealer: Sealer::new(key.clone(), id, incarnation),
            opener: Opener::new(key, id),
            watch: None,
            next_tick: self.now + TICK.mul_f64(self.rng.random()),
            paused_until: Time::ZERO,
            store: true,
            applied: Vec::new(),
            changes: Vec::new(),
            signs: Vec::new(),
            suspects: Vec::new(),
            resumed: Vec::new(),
            steps: 0,
        };
        self.nodes.insert(id, node);
    }

    /// Kills a process.
    pub fn kill(&mut self, text: &str) {
        self.nodes.remove(&short_id(&name(text)));
    }

    /// Shuts a process down.
    pub fn close(&mut self, text: &str) {
        let id = short_id(&name(text));
        let now = self.now;
        let Some(node) = self.nodes.remove(&id) else {
            return;
        };
        let mut sealer = node.sealer;
        for action in node.members.close(now) {
            let Action::Send { to, body } = action else {
                continue;
            };
            self.fly(to.id, sealer.seal(to.id, &body));
        }
    }

    /// Gives every process the platform's list.
    pub fn publish_list(&mut self, list: &[ListEntry]) {
        for id in self.ids() {
            self.step(id, Event::List(list.to_vec()));
        }
    }

    pub fn ids(&self) -> Vec<u32> {
        self.nodes.keys().copied().collect()
    }

    pub fn node(&mut self, text: &str) -> &mut Node {
        self.nodes
            .get_mut(&short_id(&name(text)))
            .unwrap_or_else(|| panic!("{text} does not run"))
    }

    /// Lets the time pass.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(next) = self.next_event().filter(|time| *time <= end) {
            self.now = next;
            self.deliver();
            self.tick();
        }
        self.now = end;
    }

    /// Lets the time pass until `holds`, at most `limit`; returns how long it took.
    pub fn run_until(&mut self, limit: Duration, mut holds: impl FnMut(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) <= limit {
            if holds(self) {
                return Some(self.now.since(start));
            }
            self.run(Duration::from_millis(20));
        }
        None
    }

    /// Submits a ticket from outside.
    pub fn submit(&mut self, ticket: Ticket) -> Outcome {
        store::submit(&mut self.platform, ticket, Ledger::new())
    }

    /// Whether every process has at least `revision` in force.
    pub fn in_force(&self, revision: u64) -> bool {
        self.nodes
            .values()
            .all(|node| node.follow.config().revision >= Revision(revision))
    }

    fn next_event(&self) -> Option<Time> {
        let flying = self.flying.peek().map(|Reverse((time, ..))| *time);
        let tick = |node: &Node| node.next_tick.max(node.paused_until);
        self.nodes.values().map(tick).chain(flying).min()
    }

    fn deliver(&mut self) {
        while let Some(Reverse((time, count, to, frame))) = self.flying.pop() {
            if time > self.now {
                self.flying.push(Reverse((time, count, to, frame)));
                return;
            }
            let Some(node) = self.nodes.get_mut(&to) else {
                continue;
            };
            if node.paused_until > self.now {
                let wake = node.paused_until;
                self.flying.push(Reverse((wake, count, to, frame)));
                continue;
            }
            let event = match node.opener.open(&frame) {
                Ok(opened) => Event::Datagram(Datagram {
                    from: opened.from,
                    incarnation: opened.incarnation,
                    source: SocketAddr::from(([10, 0, 0, 0], 1)),
                    body: opened.body,
                }),
                Err(Error::OldIncarnation { from, known }) => Event::OldIncarnation { from, known },
                Err(error) => panic!("frame refused: {error}"),
            };
            let event = self.with_source(event);
            self.step(to, event);
        }
    }

    /// Sets the address that the sender's datagrams come from.
    fn with_source(&self, event: Event) -> Event {
        let Event::Datagram(mut datagram) = event else {
            return event;
        };
        if let Some(sender) = self.nodes.get(&datagram.from) {
            datagram.source = sender.listed.address;
        }
        Event::Datagram(datagram)
    }

    fn tick(&mut self) {
        for id in self.ids() {
            let now = self.now;
            let Some(node) = self.nodes.get_mut(&id) else {
                continue;
            };
            if node.next_tick.max(node.paused_until) > now {
                continue;
            }
            node.next_tick = now + TICK;
            let highest = node.members.highest_revision();
            let watcher = node.members.is_watcher();
            self.step(id, Event::Tick);
            self.config(id, follow::Event::Watcher(watcher));
            self.config(id, follow::Event::PeerHolds(highest));
            self.watch(id);
        }
    }

    fn step(&mut self, id: u32, event: Event) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        node.steps += 1;
        for action in node.members.step(event, now) {
            self.act(id, action);
        }
    }

    /// Has the instance tell the others of an answer that was resumed there.
    pub fn resume(&mut self, at: &str, answer: &str) {
        let resumed = carob_peer::Resumed {
            upstream: "engine".to_owned(),
            answer: answer.to_owned(),
        };
        let actions = self.node(at).members.announce_resumed(&[resumed]);
        for action in actions {
            self.act(short_id(&name(at)), action);
        }
    }

    fn act(&mut self, id: u32, action: Action) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        match action {
            Action::Send { to, body } => {
                let frame = node.sealer.seal(to.id, &body);
                let (Some(from), Some(receiver)) = (self.nodes.get(&id), self.nodes.get(&to.id)) else {
                    return;
                };
                if !(self.loss)(from, receiver, &mut self.rng) {
                    self.fly(to.id, frame);
                }
            }
            Action::Changed(change) => node.changes.push((now, change)),
            Action::SetIncarnation(incarnation) => node.sealer.set_incarnation(incarnation),
            Action::LoadReported { .. } => {}
            Action::HealthReported { upstream, .. } => node.signs.push((now, upstream)),
            Action::CrashEvidence(suspect) => node.suspects.push((now, suspect)),
            Action::Resumed { answer, .. } => node.resumed.push(answer),
        }
    }

    fn fly(&mut self, to: u32, frame: Bytes) {
        self.count += 1;
        self.flying
            .push(Reverse((self.now + LATENCY, self.count, to, frame)));
    }

    fn config(&mut self, id: u32, event: follow::Event) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        node.steps += 1;
        for action in node.follow.step(event, now) {
            self.act_config(id, action);
        }
    }

    fn act_config(&mut self, id: u32, action: Config) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        match action {
            Config::Call(call) => {
                let result = if node.store {
                    self.platform.call(&call)
                } else {
                    Err(Failure::NotSent)
                };
                self.config(id, follow::Event::Replied(result));
            }
            Config::Watch { from, deadline } => {
                self.platform.calls += 1;
                let until = now + deadline;
                node.watch = Some(Watch { from, until });
            }
            Config::Ask { held } => self.ask(id, held),
            Config::Apply(config) => {
                node.applied.push((now, config.revision));
                node.members.set_applied(config.revision, config.digest());
                let ready = node.follow.ready();
                node.members.set_ready(ready);
            }
        }
    }

    fn ask(&mut self, id: u32, held: Revision) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let Some(target) = node.members.newer_holder(held) else {
            return;
        };
        let (Some(from), Some(peer)) = (self.nodes.get(&id), self.nodes.get(&target.id)) else {
            return;
        };
        if peer.paused_until > self.now
            || (self.loss)(from, peer, &mut self.rng)
            || (self.loss)(peer, from, &mut self.rng)
        {
            return;
        }
        let values = peer.follow.serve(held);
        self.config_bytes += values.iter().map(|value| value.len() as u64).sum::<u64>();
        self.config(id, follow::Event::PeerSent(values));
    }

    fn watch(&mut self, id: u32) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let Some(watch) = &mut node.watch else { return };
        let event = if self.platform.fault == Some(store::Fault::Down) || !node.store {
            follow::Event::WatchEnded(Err(Failure::Unknown))
        } else if let Some(entry) = self.platform.entries.get(HEAD_KEY)
            && entry.revision >= watch.from
        {
            watch.from = entry.revision + 1;
            let change = carob_store::Change::Put(entry.clone());
            follow::Event::Noticed(Notice::Changes(vec![change]))
        } else if now >= watch.until {
            follow::Event::WatchEnded(Ok(watch.from))
        } else {
            return;
        };
        if matches!(event, follow::Event::WatchEnded(_)) {
            node.watch = None;
        }
        self.config(id, event);
    }
}
