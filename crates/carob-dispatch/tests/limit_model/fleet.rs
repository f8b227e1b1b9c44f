//! A fleet in virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use carob_base::Time;
use carob_dispatch::limits::{ASK_TIME, Access, Content, Limits, Members, Options, Report};

use crate::random::Random;

const STEP: Duration = Duration::from_millis(10);

/// Disturbances of instances, and changes of limits, in a thousand steps. Between them there has to be time in which
/// instances are in touch and limits hold.
const PER_STEP: u64 = 1_000;
const DISTURBANCES: u64 = 3;
const CHANGES: u64 = 1;

/// Numbers of instances, and limits in requests a second.
const INSTANCES: [usize; 7] = [3, 3, 7, 7, 20, 60, 300];
const RATES: [f64; 9] = [0.0, 0.2, 0.5, 1.0, 4.0, 4.9, 17.0, 60.0, 200.0];

/// Time for which an instance is excused after a disturbance, and that a fleet has to learn of a limit (`ContactMs`).
const CONTACT: Duration = Duration::from_secs(4);
/// How long an instance counts as heard of after its last message, and as registered after its end.
const HEARD_TIME: Duration = Duration::from_millis(2_200);
const REGISTERED_TIME: Duration = Duration::from_secs(10);
/// Interval of complete messages.
const COMPLETE_INTERVAL: Duration = Duration::from_secs(1);
/// Time that an upstream takes for a request, and for which a request may be on its way.
const WORK_TIME: Duration = Duration::from_millis(20);
const LATENCY: u64 = 25;

/// The span in which arrivals are counted, and how many may come in it.
const SPAN: Duration = Duration::from_secs(4);
const SPAN_FACTOR: f64 = 1.5;
const SPAN_EXTRA: f64 = 5.0;

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Nothing happens to the instances, and limits do not change.
    Calm,
    /// Instances are killed and cut off, limits change and end, messages are lost.
    Disturbed,
}

enum Event {
    Reports(usize, usize, Vec<Report>),
    Permits(usize, usize, u64, Content),
    Arrival(usize, usize, Time),
    Answer(usize, u64, usize, Option<f64>, Time),
}

struct Instance {
    limits: Limits,
    process: u64,
    is_up: bool,
    /// When it ended or is to start again.
    changed: Time,
    /// Until when it is cut off from the other instances.
    cut_until: Time,
    /// Until when what it sends is excused.
    excused_until: Time,
    heard: HashMap<usize, Time>,
    next_complete: Time,
    /// Requests a second that come to it.
    demand: f64,
    /// Requests that wait for a permit of an upstream until a time.
    waiting: Vec<(usize, Time)>,
}

struct Upstream {
    rate: Option<f64>,
    /// Rates with the times from which they held.
    rates: Vec<(Time, f64)>,
    arrivals: Vec<Time>,
}

pub struct Fleet {
    random: Random,
    kind: Kind,
    now: Time,
    instances: Vec<Instance>,
    upstreams: Vec<Upstream>,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    contents: HashMap<u64, Event>,
    next_event: u64,
}

fn address(instance: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (instance >> 8) as u8, instance as u8], 7200))
}

impl Fleet {
    pub fn new(mut random: Random, kind: Kind) -> Self {
        let count = random.pick(&INSTANCES);
        let now = Time::ZERO + Duration::from_secs(100);
        let upstreams = (0..=random.below(3)).map(|_| {
            let rate = random.pick(&RATES);
            Upstream {
                rate: Some(rate),
                rates: vec![(now, rate)],
                arrivals: Vec::new(),
            }
        });
        let upstreams: Vec<Upstream> = upstreams.collect();
        let is_even = random.chance(50);
        let total: f64 = upstreams.iter().filter_map(|upstream| upstream.rate).sum();
        // Several times what the upstreams take.
        let demand = total.max(1.0) * 5.0;
        let instances = (0..count).map(|number| Instance {
            limits: Limits::new(Options::default(), number as u64),
            process: 0,
            is_up: true,
            changed: now,
            cut_until: now,
            excused_until: now,
            heard: (0..count).map(|other| (other, now)).collect(),
            next_complete: now + Duration::from_millis(random.below(1_000)),
            waiting: Vec::new(),
            demand: if is_even {
                demand / count as f64
            } else if number < 2 {
                demand / 2.0
            } else {
                0.05
            },
        });
        Self {
            instances: instances.collect(),
            upstreams,
            random,
            kind,
            now,
            events: BinaryHeap::new(),
            contents: HashMap::new(),
            next_event: 0,
        }
    }

    pub fn step(&mut self) {
        self.now = self.now + STEP;
        if self.kind == Kind::Disturbed {
            self.disturb();
        }
        self.deliver();
        for instance in 0..self.instances.len() {
            if self.instances[instance].is_up {
                self.send_requests(instance);
                self.exchange(instance);
            }
        }
    }

    /// The largest part of what the rule permits that arrived in a span.
    pub fn worst_span(&self) -> f64 {
        let upstreams = self.upstreams.iter();
        upstreams.map(Upstream::worst_span).fold(0.0, f64::max)
    }

    /// The least share of a limit that was used after the first seconds; limits below one a second are left out, since
    /// chance decides about few requests.
    pub fn least_used(&self) -> f64 {
        let from = Time::ZERO + Duration::from_secs(100) + CONTACT;
        let time = self.now.since(from).as_secs_f64();
        let shares = self.upstreams.iter().filter_map(|upstream| {
            let rate = upstream.rate.filter(|rate| *rate >= 1.0)?;
            let count = upstream.arrivals.iter().filter(|at| **at >= from).count();
            Some(count as f64 / (rate * time))
        });
        shares.fold(1.0, f64::min)
    }

    /// Number of instances, and limits, for messages.
    pub fn describe(&self) -> (usize, Vec<Option<f64>>) {
        let rates = self.upstreams.iter().map(|upstream| upstream.rate);
        (self.instances.len(), rates.collect())
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.next_event += 1;
        self.contents.insert(self.next_event, event);
        self.events.push(Reverse((self.now + delay, self.next_event)));
    }

    fn latency(&mut self) -> Duration {
        Duration::from_millis(1 + self.random.below(LATENCY))
    }

    fn disturb(&mut self) {
        let (now, count) = (self.now, self.instances.len() as u64);
        if self.random.below(PER_STEP) < DISTURBANCES {
            let victims = 1 + self.random.below(2);
            for _ in 0..victims {
                let victim = self.random.below(count) as usize;
                let down = Duration::from_millis(200 + self.random.below(5_000));
                let cut = self.random.chance(50);
                let instance = &mut self.instances[victim];
                if cut {
                    instance.cut_until = now + down;
                } else if instance.is_up {
                    instance.is_up = false;
                    instance.changed = now + down;
                }
                instance.excused_until = instance.excused_until.max(now + down + CONTACT);
            }
        }
        for number in 0..self.instances.len() {
            let instance = &mut self.instances[number];
            if !instance.is_up && instance.changed <= now {
                instance.is_up = true;
                instance.process += 1;
                instance.heard.clear();
                instance.waiting.clear();
                let boot_id = (instance.process << 32) + number as u64;
                instance.limits = Limits::new(Options::default(), boot_id);
            }
        }
        if self.random.below(PER_STEP) < CHANGES {
            let index = self.random.below(self.upstreams.len() as u64) as usize;
            let rate = self.random.pick(&RATES);
            let ends = self.random.chance(30);
            self.upstreams[index].set_rate((!ends).then_some(rate), now);
        }
    }

    fn deliver(&mut self) {
        while let Some(Reverse((at, number))) = self.events.peek().copied() {
            if at > self.now {
                return;
            }
            self.events.pop();
            let Some(event) = self.contents.remove(&number) else {
                continue;
            };
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Reports(from, to, reports) => {
                if !self.is_connected(from, to) {
                    return;
                }
                let instance = &mut self.instances[to];
                instance.heard.insert(from, now);
                for report in &reports {
                    instance.limits.merge(report, address(from), now);
                }
            }
            Event::Permits(from, to, upstream, content) => {
                if self.is_connected(from, to) {
                    let limits = &mut self.instances[to].limits;
                    limits.receive(address(from), upstream, content, now);
                }
            }
            Event::Arrival(from, upstream, sent) => {
                let instance = &self.instances[from];
                let (process, is_excused) = (instance.process, instance.excused_until > now);
                let target = &mut self.upstreams[upstream];
                if !is_excused {
                    target.arrivals.push(now);
                }
                let rate = target.rate;
                self.schedule(WORK_TIME, Event::Answer(from, process, upstream, rate, sent));
            }
            Event::Answer(to, process, upstream, rate, sent) => {
                let instance = &mut self.instances[to];
                if instance.is_up && instance.process == process {
                    instance.limits.record_answer(upstream as u64, rate, sent, now);
                }
            }
        }
    }

    fn is_connected(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.instances[from], &self.instances[to]);
        to.is_up && from.cut_until <= self.now && to.cut_until <= self.now
    }

    /// Sends what waits, and what comes to the instance in this step, to upstreams that take it.
    fn send_requests(&mut self, number: usize) {
        let now = self.now;
        for (first, until) in std::mem::take(&mut self.instances[number].waiting) {
            if !self.send_request(number, first) && until > now {
                self.instances[number].waiting.push((first, until));
            }
        }
        let mean = self.instances[number].demand * STEP.as_secs_f64();
        let chance = (mean.fract() * 10_000.0) as u64;
        let count = mean.trunc() as usize + usize::from(self.random.below(10_000) < chance);
        for _ in 0..count {
            let first = self.random.below(self.upstreams.len() as u64) as usize;
            let limits = &mut self.instances[number].limits;
            limits.record_demand(first as u64, now);
            let may_wait = limits.is_rarely_wanted(first as u64);
            if !self.send_request(number, first) && may_wait {
                let limits = &mut self.instances[number].limits;
                limits.record_wait(first as u64, now + ASK_TIME);
                self.instances[number].waiting.push((first, now + ASK_TIME));
            }
        }
    }

    /// Sends a request to the upstream `first`, or another one; returns whether one takes it.
    fn send_request(&mut self, number: usize, first: usize) -> bool {
        let now = self.now;
        let all = self.upstreams.len();
        let limits = &mut self.instances[number].limits;
        let open = (0..all)
            .map(|offset| (first + offset) % all)
            .find(|upstream| limits.access(*upstream as u64, now) != Access::Held);
        let Some(upstream) = open else { return false };
        limits.take_permit(upstream as u64, now);
        let delay = Duration::from_millis(1 + self.random.below(4));
        self.schedule(delay, Event::Arrival(number, upstream, now));
        true
    }

    fn exchange(&mut self, number: usize) {
        let now = self.now;
        let registered = self
            .instances
            .iter()
            .filter(|other| other.is_up || now.since(other.changed) < REGISTERED_TIME)
            .count();
        let instance = &mut self.instances[number];
        let heard: Vec<SocketAddr> = instance
            .heard
            .iter()
            .filter(|(other, at)| **other != number && now.since(**at) < HEARD_TIME)
            .map(|(other, _)| address(*other))
            .collect();
        let is_complete = instance.next_complete <= now;
        if is_complete {
            instance.next_complete = now + COMPLETE_INTERVAL;
        }
        let reports = instance.limits.take_reports(is_complete, now);
        let members = Members {
            own: address(number),
            heard: &heard,
            registered,
        };
        let (messages, _) = instance.limits.poll(members, now);
        for message in messages {
            let to = index_of(message.to);
            self.post(
                |from| Event::Permits(from, to, message.incarnation, message.content),
                number,
            );
        }
        if is_complete || !reports.is_empty() {
            for to in (0..self.instances.len()).filter(|to| *to != number) {
                self.post(|from| Event::Reports(from, to, reports.clone()), number);
            }
        }
    }

    /// Sends a datagram, which may be lost.
    fn post(&mut self, make: impl FnOnce(usize) -> Event, from: usize) {
        let loss = if self.kind == Kind::Disturbed { 3 } else { 0 };
        if self.random.chance(loss) || self.instances[from].cut_until > self.now {
            return;
        }
        let delay = self.latency();
        self.schedule(delay, make(from));
    }
}

fn index_of(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[2]) << 8 | usize::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => 0,
    }
}

impl Upstream {
    /// Changes the limit. The fleet has the time of `ContactMs` to learn of one that is new or lower.
    fn set_rate(&mut self, rate: Option<f64>, now: Time) {
        let before = self.highest_rate(now, now + CONTACT);
        self.rates.retain(|(at, _)| *at <= now);
        let after = rate.unwrap_or(f64::INFINITY);
        self.rates.push((now, before.max(after)));
        if rate.is_some() && self.rate.is_none() {
            self.rates.push((now, f64::INFINITY));
        }
        self.rates.push((now + CONTACT, after));
        self.rate = rate;
    }

    fn worst_span(&self) -> f64 {
        let mut worst: f64 = 0.0;
        let mut end = 0;
        let first_bound = self.rates.first().map_or(Time::ZERO, |(at, _)| *at + CONTACT);
        for (index, at) in self.arrivals.iter().enumerate() {
            while end < self.arrivals.len() && self.arrivals[end].since(*at) <= SPAN {
                end += 1;
            }
            if *at < first_bound {
                continue;
            }
            let rate = self.highest_rate(*at, *at + SPAN);
            let allowed = SPAN_FACTOR * rate * SPAN.as_secs_f64() + SPAN_EXTRA;
            worst = worst.max((end - index) as f64 / allowed);
        }
        worst
    }

    /// The highest rate that held at any time from `from` to `to`.
    fn highest_rate(&self, from: Time, to: Time) -> f64 {
        let before = self.rates.iter().rfind(|(at, _)| *at <= from);
        let within = self.rates.iter().filter(|(at, _)| *at > from && *at <= to);
        before
            .into_iter()
            .chain(within)
            .map(|(_, rate)| *rate)
            .fold(0.0, f64::max)
    }
}
