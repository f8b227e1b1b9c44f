//! A fleet of instances with their budgets, and what happens to it.

use std::time::Duration;

use carob_base::Time;
use carob_dispatch::budget::{Divisor, Options, RetryBudget};

use crate::{
    random::Random,
    windows::{self, Limits, Worst},
};

const WINDOW_MS: u64 = 10_000;

/// Time until all instances in touch have heard of one that has joined, or have caught up after a cut.
const NEWS_MS: u64 = 1_500;

/// Time after which others no longer see the registration of an instance that is cut off.
const LAPSE_MS: u64 = 2_000;

/// Time between the permission for a repeat and its sending, which is that of a connection.
const CONNECT_MS: u64 = 350;

/// Unknown instances that are covered by the shares, for each known one.
const MARGIN: f64 = 1.25;

/// Number of instances that the fixed part is divided among at least.
const MIN_INSTANCES: f64 = 10.0;

/// A process of an instance.
struct Process {
    budget: RetryBudget,
    divisor: Divisor,
}

impl Process {
    /// Starts with a list of `listed` instances in its settings, this one included.
    fn new(limits: Limits, listed: usize, now: Time) -> Self {
        let mut divisor = Divisor::new();
        divisor.observe(listed);
        Self {
            budget: RetryBudget::new(options(limits, divisor), now),
            divisor,
        }
    }

    fn observe(&mut self, limits: Limits, known: usize, now: Time) {
        if self.divisor.observe(known) {
            self.budget.set_options(options(limits, self.divisor), now);
        }
    }
}

fn options(limits: Limits, divisor: Divisor) -> Options {
    Options {
        window: Duration::from_millis(limits.window),
        ratio: limits.ratio,
        extra: divisor.share(limits.extra),
    }
}

struct Instance {
    /// Absent while the instance is down.
    process: Option<Process>,
    /// Number of processes so far.
    processes: u64,
    joined: u64,
    /// Until when nothing happens in its process.
    frozen_until: u64,
    /// From when until when it hears nothing of others, and others do not see its registration.
    deaf_from: u64,
    deaf_until: u64,
    /// When its process comes again, while it is down.
    starts: u64,
}

/// A repeat that is permitted and not sent yet.
struct Connecting {
    instance: usize,
    process: u64,
    due: u64,
    sent: bool,
}

pub struct Fleet {
    random: Random,
    limits: Limits,
    now: u64,
    instances: Vec<Instance>,
    connecting: Vec<Connecting>,
    /// Instances at most.
    size: usize,
    /// In percent of steps, how often something happens to an instance.
    trouble: u64,
    /// Requests that come to an instance at once, at most.
    load: u64,
    /// Number of steps from now on in which every instance repeats all that it can.
    storms: u64,
    requests: Vec<u64>,
    repeats: Vec<u64>,
}

impl Fleet {
    pub fn new(mut random: Random) -> Self {
        let limits = Limits {
            window: WINDOW_MS,
            ratio: random.pick(&[0.0, 0.1, 0.2, 0.2, 0.2, 1.0]),
            extra: random.pick(&[5.0, 20.0, 54.0, 54.0, 206.0, 430.0]),
            known_after: NEWS_MS,
        };
        let size = 3 + random.below(118) as usize;
        let size = if random.chance(50) { size.min(12) } else { size };
        let together = if random.chance(50) { size } else { size.div_ceil(2) };
        let trouble = random.pick(&[1, 5, 20]);
        let load = random.pick(&[1, 4, 16, 60]);
        let mut fleet = Self {
            random,
            limits,
            now: 0,
            instances: Vec::new(),
            connecting: Vec::new(),
            size,
            trouble,
            load,
            storms: 0,
            requests: Vec::new(),
            repeats: Vec::new(),
        };
        for _ in 0..together {
            fleet.add_instance();
        }
        fleet
    }

    pub fn worst_window(&self) -> Worst {
        windows::worst(self.limits, &self.requests, &self.repeats)
    }

    pub fn step(&mut self) {
        self.now += match self.random.below(100) {
            _ if self.storms > 0 => self.random.below(700),
            0 => self.random.below(20_000),
            1..10 => self.random.below(1_000),
            10..60 => self.random.below(60),
            _ => 0,
        };
        self.start_processes();
        self.finish_connecting();
        let index = self.random.below(self.instances.len() as u64) as usize;
        if self.storms > 0 || self.random.chance(5) {
            // A failing service: every instance repeats all that it can.
            self.storms = self.storms.saturating_sub(1);
            for index in 0..self.instances.len() {
                self.serve(index, usize::MAX);
            }
        } else if self.random.chance(self.trouble) {
            self.disturb(index);
        } else {
            let attempts = self.random.pick(&[0, 1, 2, usize::MAX]);
            self.serve(index, attempts);
        }
    }

    fn time(&self) -> Time {
        Time::from_millis(self.now)
    }

    /// Number of instances that the settings list, which is some time behind.
    fn listed(&self) -> usize {
        let listed = |instance: &&Instance| instance.joined + NEWS_MS <= self.now;
        self.instances.iter().filter(listed).count()
    }

    fn add_instance(&mut self) {
        let process = Process::new(self.limits, self.listed() + 1, self.time());
        self.instances.push(Instance {
            process: Some(process),
            processes: 1,
            joined: self.now,
            frozen_until: 0,
            deaf_from: 0,
            deaf_until: 0,
            starts: 0,
        });
    }

    fn start_processes(&mut self) {
        let (now, time, listed) = (self.now, self.time(), self.listed());
        for instance in &mut self.instances {
            if instance.process.is_none() && instance.starts <= now {
                instance.process = Some(Process::new(self.limits, listed, time));
                instance.processes += 1;
            }
        }
    }

    /// Sends the repeats whose connections are established, and gives back the others.
    fn finish_connecting(&mut self) {
        let (now, time) = (self.now, self.time());
        let instances = &mut self.instances;
        let repeats = &mut self.repeats;
        self.connecting.retain(|connecting| {
            let instance = &mut instances[connecting.instance];
            if connecting.due > now || instance.frozen_until > now {
                return true;
            }
            let same = instance.processes == connecting.process;
            if let Some(process) = instance.process.as_mut().filter(|_| same) {
                if connecting.sent {
                    process.budget.commit(time);
                    repeats.push(now);
                } else {
                    process.budget.release();
                }
            }
            false
        });
    }

    /// Requests come to an instance, and it repeats `attempts` of them, as far as it may.
    fn serve(&mut self, index: usize, attempts: usize) {
        let (now, time) = (self.now, self.time());
        let known = self.known_to(index);
        let instance = &mut self.instances[index];
        let Some(process) = instance.process.as_mut().filter(|_| instance.frozen_until <= now) else {
            return;
        };
        if instance.deaf_until <= now {
            process.observe(self.limits, known, time);
        }
        for _ in 0..self.random.below(self.load + 1) {
            process.budget.record_request();
            self.requests.push(now);
        }
        for _ in 0..attempts {
            if !process.budget.reserve(time) {
                break;
            }
            if self.random.chance(80) {
                process.budget.commit(time);
                self.repeats.push(now);
            } else {
                self.connecting.push(Connecting {
                    instance: index,
                    process: instance.processes,
                    due: now + self.random.below(CONNECT_MS),
                    sent: self.random.chance(70),
                });
            }
        }
    }

    /// Number of instances that `index` sees registered if it is in touch, itself included. News travels at a
    /// speed of its own between each two of them.
    fn known_to(&self, index: usize) -> usize {
        let sees = |(other, instance): &(usize, &Instance)| {
            let pair = ((index * 1_000 + other) as u64).to_le_bytes();
            let delay = xxhash_rust::xxh3::xxh3_64_with_seed(&pair, instance.joined) % NEWS_MS;
            let lapsed = instance.deaf_until > self.now && instance.deaf_from + LAPSE_MS < self.now;
            *other == index || (instance.joined + delay <= self.now && !lapsed)
        };
        self.instances.iter().enumerate().filter(sees).count()
    }

    fn disturb(&mut self, index: usize) {
        let now = self.now;
        match self.random.below(9) {
            // Killed, and soon started again.
            0 | 1 => {
                let starts = now + self.random.pick(&[0, 300, 2_000, 8_000]);
                self.kill(index, starts);
            }
            // Restarted in series, each after it has spent what it had.
            2 => {
                for next in index..self.instances.len().min(index + 5) {
                    self.serve(next, usize::MAX);
                    self.kill(next, now);
                }
            }
            // All killed at once.
            3 => {
                let starts = now + self.random.below(2_000);
                for next in 0..self.instances.len() {
                    self.serve(next, usize::MAX);
                    self.kill(next, starts);
                }
                self.storms = self.random.below(20);
            }
            // Frozen; its process goes on with what it knew, and the news comes some time after.
            4 if self.may_be_deaf(index) => {
                let until = now + self.random.below(15_000);
                self.instances[index].frozen_until = until;
                self.cut(index, until);
            }
            // Cut off, with some others or with all.
            5 => {
                let until = now + self.random.below(40_000);
                let cut = if self.random.chance(50) {
                    index..self.instances.len().min(index + 4)
                } else {
                    0..self.instances.len()
                };
                for next in cut {
                    if self.may_be_deaf(next) {
                        self.cut(next, until);
                    }
                }
            }
            // New ones join, as many as those that are cut off have shares for.
            6 | 7 => {
                for _ in 0..self.random.pick(&[1, 2, 20]) {
                    if self.instances.len() < self.size && self.has_room() {
                        self.add_instance();
                        self.serve(self.instances.len() - 1, 0);
                    }
                }
                self.storms = self.random.below(20);
            }
            _ => self.storms = self.random.below(20),
        }
    }

    fn cut(&mut self, index: usize, until: u64) {
        let now = self.now;
        let back = until + self.random.below(NEWS_MS);
        let instance = &mut self.instances[index];
        if instance.deaf_until <= now {
            instance.deaf_from = now;
        }
        instance.deaf_until = instance.deaf_until.max(back);
    }

    fn kill(&mut self, index: usize, starts: u64) {
        let instance = &mut self.instances[index];
        instance.process = None;
        instance.frozen_until = 0;
        instance.starts = starts;
        // A process that starts has the list of instances from its settings.
        instance.deaf_until = 0;
    }

    /// Whether an instance knows all others by now, so that a cut begins with nothing missed.
    fn may_be_deaf(&self, index: usize) -> bool {
        self.instances[index]
            .process
            .as_ref()
            .is_some_and(|process| process.divisor.known() == self.instances.len())
    }

    /// Whether the margin of each instance that hears nothing covers one more.
    fn has_room(&self) -> bool {
        let count = self.instances.len() as f64 + 1.0;
        self.instances
            .iter()
            .filter(|instance| instance.deaf_until + NEWS_MS > self.now)
            .filter_map(|instance| instance.process.as_ref())
            .all(|process| count <= (process.divisor.known() as f64 * MARGIN).max(MIN_INSTANCES))
    }
}
