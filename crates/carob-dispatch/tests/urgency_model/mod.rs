//! Instances with their fleets, and engines that run what these send, in steps of a millisecond.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

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
const SHORT_TARGET: u64 = 1_500;

/// Time between two messages of an instance, and their time on the way.
const MESSAGE_MS: u64 = 15;
const LATENCY_MS: u64 = 12;

/// When the burst begins and ends, and when the last request arrives.
const BURST_MS: std::ops::Range<u64> = 4_000..14_000;
const END_MS: u64 = 15_500;

/// Requests of a deployment per second, without the burst, and the factor by which it raises those of long streams.
#[derive(Clone, Copy)]
pub struct Load {
    pub long_target: u64,
    pub long_rate: f64,
    pub short_rate: f64,
    pub burst: f64,
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub urgent: u32,
    pub urgent_late: u32,
    pub long: u32,
    pub long_on_time: u32,
    pub long_refused: u32,
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
}

#[derive(Default)]
struct Engine {
    queue: Vec<usize>,
    running: Vec<usize>,
    next_step: u64,
}

struct Instance {
    fleet: Fleet,
    /// Queued jobs, and until when they wait.
    waiting: Vec<(WaitKey, usize, u64)>,
    told: (Vec<PeerLoad>, Vec<QueuedLoad>),
    sent: u64,
}

pub struct Site {
    load: Load,
    /// Whether patient requests are bounded; engines know priorities in any case.
    is_bounded: bool,
    instances: Vec<Instance>,
    engines: Vec<Engine>,
    jobs: Vec<Job>,
    messages: VecDeque<(u64, usize, Vec<PeerLoad>, Vec<QueuedLoad>)>,
    random: StdRng,
    outcome: Outcome,
}

/// A fleet with `engines` engines, whose ports are their numbers from 1 on.
pub fn fleet(engines: usize, seed: u64) -> Fleet {
    let topology = Topology {
        domain: "a".into(),
        regions: [("a".into(), "one".into())].into_iter().collect(),
    };
    let mut fleet = Fleet::new(topology, seed);
    for number in 1..=engines {
        let entry = DirectoryEntry {
            id: number.to_string().into(),
            started_ms: 1,
            sequence: 0,
            service: "engines".into(),
            address: ([127, 0, 0, 1], number as u16).into(),
            domain: "a".into(),
            slots: SLOTS as u32,
            state: UpstreamState::Ready,
            cold_left: Duration::ZERO,
        };
        fleet.update_entry(entry, Time::ZERO);
    }
    fleet
}

impl Job {
    fn size(&self) -> RequestSize {
        RequestSize {
            tokens: self.prompt + (self.hint + self.hint / 4).max(self.generated),
            prefill: if self.generated == 0 { self.prompt } else { 0 },
        }
    }
}

impl Site {
    pub fn new(instances: usize, engines: usize, load: Load, is_bounded: bool) -> Self {
        let instance = |number| Instance {
            fleet: fleet(engines, number as u64 * 7_919),
            waiting: Vec::new(),
            told: Default::default(),
            sent: 0,
        };
        Self {
            load,
            is_bounded,
            instances: (0..instances).map(instance).collect(),
            engines: (0..engines).map(|_| Engine::default()).collect(),
            jobs: Vec::new(),
            messages: VecDeque::new(),
            random: StdRng::seed_from_u64(1),
            outcome: Outcome::default(),
        }
    }

    pub fn run(mut self) -> Outcome {
        for now in 0..END_MS {
            let is_burst = BURST_MS.contains(&now);
            let long = self.load.long_rate * if is_burst { self.load.burst } else { 1.0 };
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
            for instance in
                (0..self.instances.len()).filter(|number| (now + *number as u64).is_multiple_of(10))
            {
                self.grant(instance, now);
            }
        }
        let unstarted = self.jobs.iter().filter(|job| job.generated == 0 && !job.is_long);
        let late = unstarted.filter(|job| END_MS - job.arrival > SHORT_TARGET);
        self.outcome.urgent_late += late.count() as u32;
        self.outcome
    }

    fn target(&self, is_long: bool) -> u64 {
        if is_long {
            self.load.long_target
        } else {
            SHORT_TARGET
        }
    }

    fn draw(&mut self, is_long: bool, now: u64) -> Job {
        // Actual lengths scatter to the high side of the hints.
        let scatter = 0.6 + self.random.random::<f64>().powi(4) * 2.0;
        let (prompt, hint) = if is_long { (3_000, 748) } else { (2_200, 8) };
        Job {
            instance: self.random.random_range(0..self.instances.len()),
            arrival: now,
            is_long,
            prompt,
            hint,
            output: if is_long { (748.0 * scatter) as u64 } else { hint },
            run: None,
            pending: prompt,
            generated: 0,
        }
    }

    fn arrive(&mut self, is_long: bool, now: u64) {
        let job = self.draw(is_long, now);
        *(if is_long {
            &mut self.outcome.long
        } else {
            &mut self.outcome.urgent
        }) += 1;
        let (size, instance, number) = (job.size(), job.instance, self.jobs.len());
        self.jobs.push(job);
        let (target, time) = (
            Duration::from_millis(self.target(is_long)),
            Time::from_millis(now),
        );
        let classes =
            [(0, SHORT_TARGET), (2, self.load.long_target)].map(|(priority, target)| PriorityClass {
                priority,
                target: Duration::from_millis(target),
            });
        let priority = if is_long { 2 } else { 0 };
        let found = &mut self.instances[instance];
        let fleet = &mut found.fleet;
        fleet.record_arrival("engines", (priority, target), size, time);
        let mut requirements = Requirements::new("engines".into(), size, CAPACITY);
        let mut wait = target.mul_f64(0.6);
        if self.is_bounded {
            let headroom = Urgency::new(&classes, priority, target).headroom;
            let bound =
                headroom.map(|headroom| fleet.patient_bound(&requirements, (priority, headroom), time));
            requirements = requirements.with_patience(bound);
            wait = longest_wait(target, size.prefill, bound.as_ref());
        }
        let yields = requirements.patience.is_some() && fleet.waiting_instances("engines", time) > 0;
        match fleet.place(&requirements, time) {
            Placement::Upstream(key) if found.waiting.is_empty() && !yields => {
                let run = fleet.start_request(key, size);
                return self.send(number, key, run);
            }
            Placement::Full
                if self.is_bounded && fleet.forecast("engines", priority, time).refusal(wait).is_some() =>
            {
                return self.refuse(number);
            }
            _ => {}
        }
        let key = fleet.enqueue(QueuedRequest {
            requirements,
            priority,
            queued_at: time,
            share: None,
        });
        found.waiting.push((key, number, now + wait.as_millis() as u64));
        self.grant(instance, now);
    }

    fn refuse(&mut self, job: usize) {
        let job = &mut self.jobs[job];
        // It does not count as unstarted.
        job.generated = 1;
        *(if job.is_long {
            &mut self.outcome.long_refused
        } else {
            &mut self.outcome.urgent_late
        }) += 1;
    }

    fn grant(&mut self, instance: usize, now: u64) {
        let mut sent = Vec::new();
        let found = &mut self.instances[instance];
        while let Some((key, upstream, size)) = found.fleet.grant_next(Time::from_millis(now)) {
            let run = found.fleet.start_request(upstream, size);
            let position = found.waiting.iter().position(|waiting| waiting.0 == key);
            let (_, job, _) = found.waiting.remove(position.expect("it waits"));
            sent.push((job, upstream, run));
        }
        let (late, waiting): (Vec<_>, Vec<_>) = found.waiting.iter().partition(|(_, _, until)| *until <= now);
        found.waiting = waiting;
        for (job, upstream, run) in sent {
            self.send(job, upstream, run);
        }
        for (key, job, _) in late {
            self.instances[instance].fleet.cancel_wait(key);
            self.refuse(job);
        }
    }

    fn send(&mut self, job: usize, upstream: UpstreamKey, run: RunKey) {
        let found = &self.instances[self.jobs[job].instance].fleet;
        let port = found.upstream(upstream).map(|found| found.entry.address.port());
        self.jobs[job].run = Some(run);
        self.engines[usize::from(port.expect("it is known")) - 1]
            .queue
            .push(job);
    }

    /// Tokens that a request holds at its engine.
    fn held(&self, job: usize) -> u64 {
        self.jobs[job].prompt + self.jobs[job].generated
    }

    fn used(&self, engine: usize) -> u64 {
        self.engines[engine]
            .running
            .iter()
            .map(|job| self.held(*job))
            .sum()
    }

    /// Takes the last of the least urgent running requests back into the queue, if it is less urgent than `than`.
    fn preempt(&mut self, engine: usize, than: Option<usize>) -> bool {
        let jobs = &self.jobs;
        let Engine { queue, running, .. } = &mut self.engines[engine];
        let victim = running.iter().rposition(|job| jobs[*job].is_long);
        let Some(victim) = victim.filter(|_| than.is_none_or(|than| !jobs[than].is_long)) else {
            return false;
        };
        let job = running.remove(victim);
        let position = queue.iter().take_while(|other| !jobs[**other].is_long).count();
        queue.insert(position, job);
        self.jobs[job].pending = self.held(job);
        self.outcome.preemptions += 1;
        true
    }

    /// Admits requests, prefills a chunk and generates a token of each running request.
    fn step(&mut self, engine: usize, now: u64) {
        let jobs = &self.jobs;
        self.engines[engine].queue.sort_by_key(|job| jobs[*job].is_long);
        while let Some(next) = self.engines[engine].queue.first().copied() {
            let is_free = self.engines[engine].running.len() < SLOTS;
            if is_free && self.used(engine) + self.held(next) <= CAPACITY {
                self.engines[engine].queue.remove(0);
                self.engines[engine].running.push(next);
            } else if !self.preempt(engine, Some(next)) {
                break;
            }
        }
        let running = self.engines[engine].running.clone();
        let (prefilling, decoding): (Vec<usize>, Vec<usize>) =
            running.into_iter().partition(|job| self.jobs[*job].pending > 0);
        let mut millis: f64 = 0.0;
        if let Some(job) = prefilling.first() {
            self.jobs[*job].pending = self.jobs[*job].pending.saturating_sub(112);
            millis = 8.0;
        }
        if !decoding.is_empty() {
            millis += 7.0 + 0.12 * decoding.len() as f64;
        }
        for job in decoding {
            self.generate(engine, job, now);
        }
        while self.used(engine) > CAPACITY && self.preempt(engine, None) {}
        self.engines[engine].next_step = now + millis.max(1.0) as u64;
    }

    fn generate(&mut self, engine: usize, number: usize, now: u64) {
        let target = self.target(self.jobs[number].is_long);
        let job = &mut self.jobs[number];
        let fleet = &mut self.instances[job.instance].fleet;
        let run = job.run.expect("it was sent");
        job.generated += 1;
        // The first event.
        if job.generated == 4 {
            fleet.resize(run, job.size());
            let is_late = now - job.arrival > target;
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
            let turn = now + number as u64;
            if !turn.is_multiple_of(MESSAGE_MS) {
                continue;
            }
            let news = (instance.fleet.local_loads(), instance.fleet.queued_loads());
            if news != instance.told || turn.is_multiple_of(60 * MESSAGE_MS) {
                instance.told = news.clone();
                self.messages
                    .push_back((now + LATENCY_MS, number, news.0, news.1));
            }
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
            let (address, time) = (
                SocketAddr::from(([127, 0, 0, 2], sender as u16 + 1)),
                Time::from_millis(now),
            );
            let others = self.instances.iter_mut().enumerate();
            for (_, instance) in others.filter(|(number, _)| *number != sender) {
                instance
                    .fleet
                    .apply_peer_loads(address, stamp, loads.clone(), true, time);
                instance.fleet.set_peer_queue(address, queue.clone(), time);
            }
        }
    }
}
