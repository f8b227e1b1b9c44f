//! Instances before an upstream that falls over, in virtual time.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use carob_base::Time;
use carob_dispatch::limits::{Access, Content, Limits, Members, Options, Place, Usage};

use crate::random::Random;

const UPSTREAM: u64 = 9;
const STEP: Duration = Duration::from_millis(5);

/// Time in which the fleet learns (`ContactMs`).
const CONTACT: Duration = Duration::from_secs(4);
/// Time without messages after which an instance is not heard of any more, and after which its registration lapses.
const HEARD_TIME: Duration = Duration::from_millis(2_200);
const LEASE_TIME: Duration = Duration::from_secs(10);
/// Time for which a request waits for a place.
const PATIENCE: Duration = Duration::from_millis(300);
/// Time after which an upstream that fell is back.
const FALL_TIME: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Calm,
    Disturbed,
}

struct Instance {
    limits: Limits,
    address: SocketAddr,
    running: u32,
    /// Until when each request waits.
    queue: VecDeque<Time>,
    /// When the process ended.
    ended: Option<Time>,
    /// Side of the partition that it is on.
    side: bool,
    weight: u64,
    heard: Vec<Time>,
}

struct Running {
    instance: usize,
    boot: u64,
    place: Option<Place>,
    until: Time,
}

pub struct Fleet {
    random: Random,
    kind: Kind,
    now: Time,
    instances: Vec<Instance>,
    boots: Vec<u64>,
    next_boot: u64,
    slots: usize,
    work: Duration,
    endured: u64,
    running: Vec<Running>,
    rejected: VecDeque<Time>,
    back_at: Time,
    messages: Vec<(Time, usize, usize, Content)>,
    split_until: Time,
    pub falls: u32,
    pub served: u64,
    busy: u64,
    possible: u64,
}

impl Fleet {
    pub fn new(mut random: Random, kind: Kind) -> Self {
        let count = random.pick(&[3, 4, 7, 20, 60, 300]) as usize;
        let uneven = random.chance(50);
        let slots = random.pick(&[1, 2, 4, 8, 24]) as usize;
        let work = Duration::from_millis(random.pick(&[60, 100, 300]));
        let endured = random.pick(&[0, 1, 3, 10, 50]);
        let mut fleet = Self {
            kind,
            now: Time::from_millis(1_000),
            instances: Vec::new(),
            boots: Vec::new(),
            next_boot: 1,
            slots,
            work,
            endured,
            running: Vec::new(),
            rejected: VecDeque::new(),
            back_at: Time::ZERO,
            messages: Vec::new(),
            split_until: Time::ZERO,
            falls: 0,
            served: 0,
            busy: 0,
            possible: 0,
            random,
        };
        for number in 0..count {
            let limits = fleet.new_limits();
            let weight = if uneven && number > 1 { 1 } else { 20 };
            let now = fleet.now;
            fleet.boots.push(fleet.next_boot);
            fleet.instances.push(Instance {
                limits,
                address: SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7200)),
                running: 0,
                queue: VecDeque::new(),
                ended: None,
                side: false,
                weight,
                heard: vec![now; count],
            });
        }
        fleet
    }

    fn new_limits(&mut self) -> Limits {
        self.next_boot += 1;
        let mut limits = Limits::new(Options::default(), self.next_boot);
        limits.record_brittle(UPSTREAM, Some(self.endured as f64), self.now, self.now);
        limits
    }

    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.disturb();
        self.finish();
        self.deliver();
        self.arrive();
        self.poll();
        let is_judged = self.now.since(Time::from_millis(1_000)) >= CONTACT;
        if is_judged && self.now >= self.back_at {
            self.possible += self.slots as u64;
            self.busy += self.running.len() as u64;
        }
    }

    fn connected(&self, one: usize, other: usize) -> bool {
        self.now >= self.split_until || self.instances[one].side == self.instances[other].side
    }

    fn disturb(&mut self) {
        if self.kind == Kind::Calm {
            return;
        }
        if self.random.below(400) == 0 && self.now >= self.split_until {
            self.split_until = self.now + Duration::from_millis(500 + self.random.below(5_000));
            for index in 0..self.instances.len() {
                self.instances[index].side = self.random.chance(50);
            }
        }
        if self.random.below(300) == 0 {
            let victim = self.random.below(self.instances.len() as u64) as usize;
            if self.instances[victim].ended.is_none() {
                self.instances[victim].ended = Some(self.now);
                self.running.retain(|running| running.instance != victim);
            }
        }
        if self.random.below(300) == 0 {
            let index = self.random.below(self.instances.len() as u64) as usize;
            if self.instances[index].ended.is_some() {
                let limits = self.new_limits();
                self.boots[index] = self.next_boot;
                let now = self.now;
                let instance = &mut self.instances[index];
                instance.limits = limits;
                instance.running = 0;
                instance.queue.clear();
                instance.ended = None;
                instance.heard.fill(now);
            }
        }
    }

    /// Ends requests whose time is over.
    fn finish(&mut self) {
        let now = self.now;
        let done: Vec<Running> = self
            .running
            .extract_if(.., |running| running.until <= now)
            .collect();
        for running in done {
            let instance = &mut self.instances[running.instance];
            if self.boots[running.instance] == running.boot && instance.ended.is_none() {
                instance.running -= 1;
                if let Some(place) = running.place {
                    instance.limits.give_place_back(place);
                }
                instance
                    .limits
                    .record_brittle(UPSTREAM, Some(self.endured as f64), now, now);
            }
            self.served += 1;
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.messages.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, from, to, content) in due {
            if self.instances[to].ended.is_none() && self.connected(from, to) {
                let sender = self.instances[from].address;
                self.instances[to].limits.receive(sender, UPSTREAM, content, now);
            }
        }
        // Instances announce themselves once a second.
        if now.since(Time::ZERO).as_millis().is_multiple_of(1_000) {
            for to in 0..self.instances.len() {
                for from in 0..self.instances.len() {
                    if self.instances[from].ended.is_none() && self.connected(from, to) {
                        self.instances[to].heard[from] = now;
                    }
                }
            }
        }
    }

    /// Lets new requests arrive, twice as many as the upstream can do, and sends those that have a place.
    fn arrive(&mut self) {
        let rate = 2.0 * self.slots as f64 * STEP.as_secs_f64() / self.work.as_secs_f64();
        let total: u64 = self.instances.iter().map(|instance| instance.weight).sum();
        for index in 0..self.instances.len() {
            if self.instances[index].ended.is_some() {
                continue;
            }
            let expected = rate * self.instances[index].weight as f64 / total as f64;
            let mut count = expected as u64;
            count += u64::from((self.random.below(1_000_000) as f64) < expected.fract() * 1_000_000.0);
            let now = self.now;
            let instance = &mut self.instances[index];
            for _ in 0..count {
                instance.limits.record_demand(UPSTREAM, now);
                instance.limits.record_wait(UPSTREAM, now + PATIENCE);
                instance.queue.push_back(now + PATIENCE);
            }
            while instance.queue.front().is_some_and(|until| *until <= now) {
                instance.queue.pop_front();
            }
            while !self.instances[index].queue.is_empty()
                && self.instances[index].limits.access(UPSTREAM, now) != Access::Held
            {
                self.instances[index].queue.pop_front();
                self.send(index);
            }
        }
    }

    fn send(&mut self, index: usize) {
        let now = self.now;
        let place = self.instances[index].limits.take_place(UPSTREAM, now);
        if now < self.back_at {
            return;
        }
        if self.running.len() >= self.slots {
            if let Some(place) = place {
                self.instances[index].limits.give_place_back(place);
            }
            self.instances[index].limits.record_rejected(UPSTREAM);
            self.reject();
            return;
        }
        self.instances[index].running += 1;
        let spread = self.random.below(self.work.as_millis() as u64 / 2);
        self.running.push(Running {
            instance: index,
            boot: self.boots[index],
            place,
            until: now + self.work * 3 / 4 + Duration::from_millis(spread),
        });
    }

    fn reject(&mut self) {
        let now = self.now;
        self.rejected.push_back(now);
        while self
            .rejected
            .front()
            .is_some_and(|at| now.since(*at) >= Duration::from_secs(1))
        {
            self.rejected.pop_front();
        }
        if self.rejected.len() as u64 <= self.endured {
            return;
        }
        self.rejected.clear();
        if now.since(Time::from_millis(1_000)) >= CONTACT {
            self.falls += 1;
        }
        self.back_at = now + FALL_TIME;
        for running in self.running.drain(..) {
            let instance = &mut self.instances[running.instance];
            if self.boots[running.instance] == running.boot {
                instance.running = instance.running.saturating_sub(1);
            }
        }
    }

    fn poll(&mut self) {
        let now = self.now;
        let is_registered =
            |instance: &Instance| instance.ended.is_none_or(|ended| now.since(ended) < LEASE_TIME);
        let registered = self
            .instances
            .iter()
            .filter(|instance| is_registered(instance))
            .count();
        let addresses: Vec<SocketAddr> = self.instances.iter().map(|instance| instance.address).collect();
        let slots = self.slots as u32;
        let mut sent = Vec::new();
        for (index, instance) in self.instances.iter_mut().enumerate() {
            if instance.ended.is_some() {
                continue;
            }
            let heard: Vec<SocketAddr> = (0..addresses.len())
                .filter(|other| *other != index && now.since(instance.heard[*other]) < HEARD_TIME)
                .map(|other| addresses[other])
                .collect();
            let members = Members {
                own: instance.address,
                heard: &heard,
                registered,
            };
            let usage = Usage {
                running: instance.running,
                slots,
            };
            let (messages, _) = instance.limits.poll_places(members, |_| usage, now);
            for message in messages {
                let to = addresses.iter().position(|address| *address == message.to);
                sent.extend(to.map(|to| (index, to, message.content)));
            }
        }
        for (from, to, content) in sent {
            if !self.random.chance(2) {
                let delay = Duration::from_millis(1 + self.random.below(25));
                self.messages.push((now + delay, from, to, content));
            }
        }
    }

    /// Share of the time that slots were in use.
    pub fn used(&self) -> f64 {
        self.busy as f64 / self.possible.max(1) as f64
    }

    pub fn describe(&self) -> String {
        format!(
            "{} instances, {} slots of {:?}, {} rejections endured",
            self.instances.len(),
            self.slots,
            self.work,
            self.endured
        )
    }
}
