//! Instances with their fleets, and engines that run what these send, in steps of a millisecond.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use carob_base::Time;
use carob_dispatch::{
    fleet::{
        DirectoryEntry, Fleet, MessageStamp, PeerLoad, Placement, QueuedRequest, RequestSize, Requirements,
        RunKey, Topology, UpstreamKey, UpstreamState, WaitKey,
        urgency::{QueuedLoad, Urgency, longest_wait},
    },
    table::PriorityClass,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const CAPACITY: u64 = 26_881;
const SLOTS: usize = 24;
const SHORT_TARGET: Duration = Duration::from_millis(1_500);

/// Time between two messages of an instance, and their time on the way.
const MESSAGE_MS: u64 = 15;
const LATENCY_MS: u64 = 12;

/// When the burst begins and ends, and when the last request arrives.
const BURST_MS: std::ops::Range<u64> = 4_000..14_000;
const END_MS: u64 = 15_500;

/// Arrivals per second, without the burst, and the factor by which it raises those of long streams.
#[derive(Clone, Copy)]
pub struct Load {
    pub long_target: Duration,
    pub long_rate: f64,
    pub short_rate: f64,
    pub burst: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Engines treat all requests alike, and nothing bounds patient ones.
    Uniform,
    /// Engines know priorities.
    Told,
    /// Patient requests are bounded as well.
    Bounded,
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub urgent: u32,
    pub urgent_late: u32,
    pub long: u32,
    pub long_on_time: u32,
    pub long_refused: u32,
    pub refused_at_once: u32,
    pub preemptions: u32,
}

struct Job {
    instance: usize,
    arrival: u64,
    is_long: bool,
    prompt: u64,
    hint: u64,
    output: u64,
    run: Option<RunKey>,
    /// What its engine has still to prefill, and has generated.
    pending: u64,
    generated: u64,
    started: bool,
}

#[derive(Default)]
struct Engine {
    queue: Vec<usize>,
    running: Vec<usize>,
    next_step: u64,
}

struct Waiting {
    job: usize,
    until: u64,
}

struct Instance {
    fleet: Fleet,
    keys: Vec<UpstreamKey>,
    waiting: HashMap<WaitKey, Waiting>,
    told: HashMap<u64, PeerLoad>,
    told_queue: Vec<QueuedLoad>,
    sent: u64,
}

type Message = (u64, usize, Vec<PeerLoad>, Vec<QueuedLoad>);

pub struct Site {
    load: Load,
    policy: Policy,
    instances: Vec<Instance>,
    engines: Vec<Engine>,
    jobs: Vec<Job>,
    messages: VecDeque<Message>,
    random: StdRng,
    outcome: Outcome,
}

/// A fleet with `engines` engines.
pub fn fleet(engines: usize, seed: u64) -> Fleet {
    let topology = Topology {
        domain: "a".into(),
        regions: [("a".into(), "one".into())].into_iter().collect(),
    };
    let mut fleet = Fleet::new(topology, seed);
    for number in 0..engines {
        let entry = DirectoryEntry {
            id: format!("{number:03}").into(),
            started_ms: 1,
            sequence: 0,
            service: "engines".into(),
            address: ([127, 0, 0, 1], number as u16 + 1).into(),
            domain: "a".into(),
            slots: SLOTS as u32,
            state: UpstreamState::Ready,
            cold_left: Duration::ZERO,
        };
        fleet.update_entry(entry, Time::ZERO);
    }
    fleet
}

impl Instance {
    fn new(engines: usize, seed: u64) -> Self {
        let fleet = fleet(engines, seed);
        let mut keys: Vec<_> = fleet
            .upstreams()
            .map(|(key, upstream)| (upstream.entry.id.clone(), key))
            .collect();
        keys.sort();
        Self {
            fleet,
            keys: keys.into_iter().map(|(_, key)| key).collect(),
            waiting: HashMap::new(),
            told: HashMap::new(),
            told_queue: Vec::new(),
            sent: 0,
        }
    }
}

fn address(instance: usize) -> SocketAddr {
    ([127, 0, 0, 2], instance as u16 + 1).into()
}

impl Job {
    fn size(&self) -> RequestSize {
        RequestSize {
            tokens: self.prompt + (self.hint + self.hint / 4).max(self.generated),
            prefill: if self.started { 0 } else { self.prompt },
        }
    }
}

impl Site {
    pub fn new(instances: usize, engines: usize, load: Load, policy: Policy) -> Self {
        Self {
            load,
            policy,
            instances: (0..instances)
                .map(|number| Instance::new(engines, number as u64 * 7_919))
                .collect(),
            engines: (0..engines).map(|_| Engine::default()).collect(),
            jobs: Vec::new(),
            messages: VecDeque::new(),
            random: StdRng::seed_from_u64(1),
            outcome: Outcome::default(),
        }
    }

    pub fn run(mut self) -> Outcome {
        for now in 0..END_MS {
            let long = self.load.long_rate
                * if BURST_MS.contains(&now) {
                    self.load.burst
                } else {
                    1.0
                };
            for (rate, is_long) in [(self.load.short_rate, false), (long, true)] {
                if self.random.random::<f64>() < rate / 1e3 {
                    self.arrive(is_long, now);
                }
            }
            for engine in 0..self.engines.len() {
                if self.engines[engine].next_step <= now {
                    self.step(engine, now);
                }
            }
            self.tell(now);
            for instance in 0..self.instances.len() {
                if (now + instance as u64).is_multiple_of(10) {
                    self.grant(instance, now);
                }
            }
        }
        for job in self.jobs.iter().filter(|job| !job.started && !job.is_long) {
            self.outcome.urgent_late += u32::from(END_MS - job.arrival > 1_500);
        }
        self.outcome
    }

    fn target(&self, is_long: bool) -> Duration {
        if is_long {
            self.load.long_target
        } else {
            SHORT_TARGET
        }
    }

    fn draw(&mut self, is_long: bool, now: u64) -> Job {
        // Actual lengths scatter to the high side of the hints.
        let scatter = 0.6 + self.random.random::<f64>().powi(4) * 2.0;
        let (prompt, hint, output) = if is_long {
            (3_000, 748, (748.0 * scatter) as u64)
        } else {
            (2_200, 8, 8)
        };
        Job {
            instance: self.random.random_range(0..self.instances.len()),
            arrival: now,
            is_long,
            prompt,
            hint,
            output,
            run: None,
            pending: prompt,
            generated: 0,
            started: false,
        }
    }

    fn arrive(&mut self, is_long: bool, now: u64) {
        let job = self.draw(is_long, now);
        let number = self.jobs.len();
        self.outcome.long += u32::from(is_long);
        self.outcome.urgent += u32::from(!is_long);
        let (size, target, time) = (job.size(), self.target(is_long), Time::from_millis(now));
        let classes = [(0, SHORT_TARGET), (2, self.load.long_target)];
        let classes = classes.map(|(priority, target)| PriorityClass { priority, target });
        let priority = if is_long { 2 } else { 0 };
        let urgency = Urgency::new(&classes, priority, target);
        let instance = job.instance;
        self.jobs.push(job);
        let found = &mut self.instances[instance];
        found
            .fleet
            .record_arrival("engines", (priority, target), size, time);
        let mut requirements = Requirements::new("engines".into(), size, CAPACITY);
        let mut wait = target.mul_f64(0.6);
        if self.policy == Policy::Bounded {
            let bound = urgency.headroom.map(|headroom| {
                found
                    .fleet
                    .patient_bound(&requirements, (priority, headroom), time)
            });
            requirements = requirements.with_patience(bound);
            wait = longest_wait(target, size.prefill, requirements.patience.as_ref());
        }
        let yields = requirements.patience.is_some() && found.fleet.waiting_instances("engines", time) > 0;
        if found.waiting.is_empty()
            && !yields
            && let Placement::Upstream(key) = found.fleet.place(&requirements, time)
        {
            let run = found.fleet.start_request(key, size);
            return self.send(number, key, run);
        }
        let is_full = found.fleet.place(&requirements, time) == Placement::Full;
        if self.policy == Policy::Bounded
            && is_full
            && found
                .fleet
                .forecast("engines", priority, time)
                .refusal(wait)
                .is_some()
        {
            self.jobs[number].started = true;
            self.outcome.refused_at_once += 1;
            return;
        }
        let key = found.fleet.enqueue(QueuedRequest {
            requirements,
            priority,
            queued_at: time,
            share: None,
        });
        let until = now + wait.as_millis() as u64;
        found.waiting.insert(key, Waiting { job: number, until });
        self.grant(instance, now);
    }

    fn grant(&mut self, instance: usize, now: u64) {
        let found = &mut self.instances[instance];
        if let Some((key, upstream, size)) = found.fleet.grant_next(Time::from_millis(now)) {
            let run = found.fleet.start_request(upstream, size);
            let waiting = found.waiting.remove(&key).expect("it waits");
            self.send(waiting.job, upstream, run);
            return self.grant(instance, now);
        }
        let late: Vec<WaitKey> = found
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.until <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in late {
            found.fleet.cancel_wait(key);
            let waiting = found.waiting.remove(&key).expect("it waits");
            let job = &mut self.jobs[waiting.job];
            job.started = true;
            self.outcome.urgent_late += u32::from(!job.is_long);
            self.outcome.long_refused += u32::from(job.is_long);
        }
    }

    fn send(&mut self, job: usize, upstream: UpstreamKey, run: RunKey) {
        let found = &self.instances[self.jobs[job].instance];
        let engine = found.keys.iter().position(|key| *key == upstream);
        self.jobs[job].run = Some(run);
        self.engines[engine.expect("it is known")].queue.push(job);
    }

    /// Tokens that a request holds at its engine.
    fn held(&self, job: usize) -> u64 {
        self.jobs[job].prompt + self.jobs[job].generated
    }

    /// Takes the least urgent of the running requests, the last one, back into the queue if it is less urgent than `than`.
    fn preempt(&mut self, engine: usize, than: Option<usize>) -> bool {
        let running = &self.engines[engine].running;
        let victim = running
            .iter()
            .rposition(|job| self.jobs[*job].is_long)
            .or_else(|| running.len().checked_sub(1));
        let Some(victim) = victim else { return false };
        let is_urgent = |job: usize| self.policy != Policy::Uniform && !self.jobs[job].is_long;
        if than.is_some_and(|than| is_urgent(running[victim]) || !is_urgent(than)) {
            return false;
        }
        let job = self.engines[engine].running.remove(victim);
        self.jobs[job].pending = self.held(job);
        let queue = &mut self.engines[engine].queue;
        let position = queue
            .iter()
            .take_while(|other| !self.jobs[**other].is_long)
            .count();
        queue.insert(position, job);
        self.outcome.preemptions += 1;
        true
    }

    fn step(&mut self, engine: usize, now: u64) {
        let jobs = &self.jobs;
        if self.policy != Policy::Uniform {
            self.engines[engine].queue.sort_by_key(|job| jobs[*job].is_long);
        }
        while let Some(next) = self.engines[engine].queue.first().copied() {
            let running = &self.engines[engine].running;
            let used: u64 = running.iter().map(|job| self.held(*job)).sum();
            if running.len() < SLOTS && used + self.held(next) <= CAPACITY {
                self.engines[engine].queue.remove(0);
                self.engines[engine].running.push(next);
            } else if !self.preempt(engine, Some(next)) {
                break;
            }
        }
        let running = self.engines[engine].running.clone();
        let mut millis = 0.0;
        if let Some(job) = running.iter().find(|job| self.jobs[**job].pending > 0) {
            self.jobs[*job].pending = self.jobs[*job].pending.saturating_sub(112);
            millis += 8.0;
        }
        let decoding: Vec<usize> = running
            .into_iter()
            .filter(|job| self.jobs[*job].pending == 0)
            .collect();
        if !decoding.is_empty() {
            millis += 7.0 + 0.12 * decoding.len() as f64;
        }
        for job in decoding {
            self.generate(engine, job, now);
        }
        let used = |site: &Self| -> u64 {
            let running = &site.engines[engine].running;
            running.iter().map(|job| site.held(*job)).sum()
        };
        while used(self) > CAPACITY && self.preempt(engine, None) {}
        self.engines[engine].next_step = now + (millis as u64).max(1);
    }

    /// Generates a token of a request.
    fn generate(&mut self, engine: usize, number: usize, now: u64) {
        let target = self.target(self.jobs[number].is_long);
        let job = &mut self.jobs[number];
        let fleet = &mut self.instances[job.instance].fleet;
        let run = job.run.expect("it was sent");
        job.generated += 1;
        if !job.started && job.generated >= 4 {
            job.started = true;
            fleet.resize(run, job.size());
            let is_late = now - job.arrival > target.as_millis() as u64;
            self.outcome.urgent_late += u32::from(is_late && !job.is_long);
            self.outcome.long_on_time += u32::from(!is_late && job.is_long);
        }
        if job.generated >= job.output {
            fleet.finish_request(run);
            self.engines[engine].running.retain(|job| *job != number);
        }
    }

    /// Sends and receives messages.
    fn tell(&mut self, now: u64) {
        for (number, instance) in self.instances.iter_mut().enumerate() {
            if !(now + number as u64).is_multiple_of(MESSAGE_MS) {
                continue;
            }
            let loads = instance.fleet.local_loads().into_iter();
            let loads: HashMap<u64, PeerLoad> = loads.map(|load| (load.upstream_hash, load)).collect();
            let queue = instance.fleet.queued_loads();
            let ended = instance.told.keys().filter(|hash| !loads.contains_key(hash));
            let ended = ended.map(|hash| PeerLoad {
                upstream_hash: *hash,
                requests: 0,
                tokens: 0,
                prefill: 0,
            });
            let changed = loads.values().copied();
            let changed = changed.filter(|load| instance.told.get(&load.upstream_hash) != Some(load));
            let changed: Vec<PeerLoad> = changed.chain(ended).collect();
            let is_due = now % 1_000 < MESSAGE_MS;
            if !changed.is_empty() || queue != instance.told_queue || is_due {
                self.messages
                    .push_back((now + LATENCY_MS, number, changed, queue.clone()));
            }
            (instance.told, instance.told_queue) = (loads, queue);
        }
        while self.messages.front().is_some_and(|message| message.0 <= now) {
            let Some((_, sender, loads, queue)) = self.messages.pop_front() else {
                return;
            };
            self.instances[sender].sent += 1;
            let stamp = MessageStamp {
                boot_id: 1,
                number: self.instances[sender].sent,
            };
            let time = Time::from_millis(now);
            for (number, instance) in self.instances.iter_mut().enumerate() {
                if number != sender {
                    let fleet = &mut instance.fleet;
                    fleet.apply_peer_loads(address(sender), stamp, loads.clone(), false, time);
                    fleet.set_peer_queue(address(sender), queue.clone(), time);
                }
            }
        }
    }
}
