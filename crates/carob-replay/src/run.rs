//! Replay of a trace in virtual time.
//!
//! Instances decide, engines run, and signals travel between them with the trace's delays. Everything happens in the
//! order of one event heap, so a replay with the same trace, policy and seed gives the same report.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use carob_base::{Name, Time};
use carob_route::{End, Request};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use smallvec::SmallVec;

use crate::{
    engine::{Engine, Job, Token},
    event::Event,
    policy::{Decision, Policy, PolicyState, event_decision},
    report::Report,
    tally::OutcomeRecorder,
    trace::Trace,
};

/// Tokens of an answer between two progress calls after the first token.
const PROGRESS_EVERY: u32 = 8;
/// Longest time that a replay goes on after the last request came.
const DRAIN_LIMIT: Duration = Duration::from_mins(30);
/// Time after which a failing upstream answers with a failure.
const FAIL_AFTER: Duration = Duration::from_millis(1);

/// Where a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Waiting,
    Running { upstream: usize },
    Over,
}

/// A replay in progress.
pub(crate) struct Replay<'a> {
    pub(crate) trace: &'a Trace,
    pub(crate) policy: Policy,
    pub(crate) seed: u64,
    pub(crate) now: Time,
    heap: BinaryHeap<Reverse<(Time, u64)>>,
    events: HashMap<u64, Event>,
    sequence: u64,
    pub(crate) deciders: Vec<PolicyState>,
    pub(crate) engines: Vec<Engine>,
    /// Counts restarts, so that steps of an earlier process are dropped.
    pub(crate) generations: Vec<u32>,
    pub(crate) stepping: Vec<bool>,
    pub(crate) down: Vec<bool>,
    pub(crate) failing: Vec<bool>,
    /// When each instance looks at its queues next.
    polls: Vec<Time>,
    pub(crate) cache_sequences: Vec<u64>,
    pub(crate) phases: Vec<Phase>,
    attempts: Vec<u32>,
    pub(crate) lag: Duration,
    pub(crate) names: HashMap<Name, usize>,
    patience: HashMap<Name, Duration>,
    pub(crate) random: SmallRng,
    pub(crate) ledger: OutcomeRecorder,
    tokens: Vec<Token>,
}

/// Replays `trace` with `policy`.
pub fn run(trace: &Trace, policy: Policy, seed: u64) -> Report {
    let mut replay = Replay::new(trace, policy, seed);
    replay.start();
    let limit = trace.end() + DRAIN_LIMIT;
    while let Some(Reverse((at, sequence))) = replay.heap.pop() {
        if at > limit || replay.ledger.is_settled() {
            break;
        }
        replay.now = at;
        if let Some(event) = replay.events.remove(&sequence) {
            replay.handle(event);
        }
    }
    let preemptions = replay.engines.iter().map(Engine::preemptions).sum();
    replay.ledger.close(trace, preemptions)
}

impl<'a> Replay<'a> {
    fn new(trace: &'a Trace, policy: Policy, seed: u64) -> Self {
        let upstreams = trace.upstreams.len();
        let decider = |(at, instance)| {
            let seed = seed.wrapping_mul(1_000).wrapping_add(at as u64);
            PolicyState::new(policy, trace, instance, seed, Time::ZERO)
        };
        let named = |(at, upstream): (usize, &crate::trace::Upstream)| (upstream.name.clone(), at);
        Self {
            trace,
            policy,
            seed,
            now: Time::ZERO,
            heap: BinaryHeap::new(),
            events: HashMap::new(),
            sequence: 0,
            deciders: trace.instances.iter().enumerate().map(decider).collect(),
            engines: trace
                .upstreams
                .iter()
                .map(|upstream| Engine::new(upstream.model))
                .collect(),
            generations: vec![0; upstreams],
            stepping: vec![false; upstreams],
            down: vec![false; upstreams],
            failing: vec![false; upstreams],
            polls: vec![Time::NEVER; trace.instances.len()],
            cache_sequences: vec![0; upstreams],
            phases: vec![Phase::Waiting; trace.requests.len()],
            attempts: vec![0; trace.requests.len()],
            lag: trace.signals.report_delay,
            names: trace.upstreams.iter().enumerate().map(named).collect(),
            patience: trace
                .services
                .iter()
                .map(|s| (s.name.clone(), s.response_timeout))
                .collect(),
            random: SmallRng::seed_from_u64(seed),
            ledger: OutcomeRecorder::new(trace),
            tokens: Vec::new(),
        }
    }

    fn start(&mut self) {
        for (at, request) in self.trace.requests.iter().enumerate() {
            self.push(request.at, Event::Arrive(at));
        }
        for (at, fault) in self.trace.faults.iter().enumerate() {
            self.push(fault.at, Event::Fault(at));
        }
        for upstream in 0..self.engines.len() {
            // Engines report out of step with each other.
            let part = self.random.random_range(0.0..1.0);
            let first = self.trace.signals.report_interval.mul_f64(part);
            self.push(Time::ZERO + first, Event::Sample(upstream));
        }
        for instance in 0..self.deciders.len() {
            let part = self.random.random_range(0.0..1.0);
            let first = self.trace.signals.peer_interval.mul_f64(part);
            self.push(Time::ZERO + first, Event::Tell(instance));
        }
    }

    pub(crate) fn push(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.heap.push(Reverse((at, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Fault(fault) => self.fault(fault),
            Event::Mend(upstream) => self.mend(upstream),
            Event::Start {
                upstream,
                attempt,
                job,
            } => self.start_job(upstream, attempt, *job),
            Event::Step { upstream, generation } => self.end_step(upstream, generation),
            Event::Sample(upstream) => self.sample(upstream),
            Event::Load {
                instance,
                upstream,
                report,
                sampled,
            } => {
                let name = &self.trace.upstreams[upstream].name;
                if let Some(router) = self.deciders[instance].router() {
                    router.apply_report(name, report, sampled, self.now);
                }
                self.plan_poll(instance);
            }
            Event::Cache {
                instance,
                upstream,
                events,
            } => {
                let name = &self.trace.upstreams[upstream].name;
                if let Some(router) = self.deciders[instance].router() {
                    router.apply_cache_events(name, &events, self.now);
                }
            }
            Event::Tell(instance) => self.tell(instance),
            Event::Told {
                instance,
                from,
                shares,
            } => {
                let name = &self.trace.instances[from].name;
                if let Some(router) = self.deciders[instance].router() {
                    router.update_peer_load(name, &shares, self.now);
                }
                self.plan_poll(instance);
            }
            Event::Poll(instance) => self.poll(instance),
            Event::GiveUp(request) => self.give_up(request),
        }
    }

    fn arrive(&mut self, request: usize) {
        let arrival = &self.trace.requests[request];
        self.push(self.now + self.patience[&arrival.service], Event::GiveUp(request));
        let prefix: SmallVec<[u64; 4]> = arrival.prefix.iter().map(|&(hash, _)| hash).collect();
        let asked = Request::new(request as u64, arrival.service.clone(), arrival.account.clone())
            .with_tokens(arrival.prompt, None)
            .with_prefix(prefix);
        let desk = self.desk(request);
        let decider = &mut self.deciders[desk];
        let verdict = decider.submit(asked, arrival.output, self.now, &self.names);
        self.obey(verdict, desk);
        self.plan_poll(desk);
    }

    pub(crate) fn obey(&mut self, verdict: Decision, instance: usize) {
        match verdict {
            Decision::Send {
                id,
                upstream,
                priority,
            } => self.send(id as usize, upstream, priority, instance),
            Decision::Wait => {}
            Decision::Refuse { id } => {
                self.phases[id as usize] = Phase::Over;
                self.ledger.refused(id as usize, self.now);
            }
        }
    }

    fn send(&mut self, request: usize, upstream: usize, priority: i32, instance: usize) {
        self.phases[request] = Phase::Running { upstream };
        self.attempts[request] += 1;
        let arrival = &self.trace.requests[request];
        let at = self.now + self.way(instance, upstream) * 2 + self.consultation(request);
        let job = Job::new(request, priority, at, arrival.prompt, arrival.output)
            .with_prefix(arrival.prefix.clone());
        let attempt = self.attempts[request];
        if !self.is_near(instance, upstream) {
            self.ledger.sent_far();
        }
        self.push(
            at,
            Event::Start {
                upstream,
                attempt,
                job: Box::new(job),
            },
        );
    }

    /// The instance that decides on a request.
    pub(crate) fn desk(&self, request: usize) -> usize {
        match self.policy {
            Policy::Centralized => 0,
            _ => self.trace.requests[request].instance,
        }
    }

    /// The round trip to the instance that decides.
    fn consultation(&self, request: usize) -> Duration {
        let own = &self.trace.instances[self.trace.requests[request].instance];
        let desk = &self.trace.instances[self.desk(request)];
        match (own.name == desk.name, own.region == desk.region) {
            (true, _) => Duration::ZERO,
            (false, true) => self.trace.signals.local_latency * 2,
            (false, false) => self.trace.signals.remote_latency * 2,
        }
    }

    fn is_near(&self, instance: usize, upstream: usize) -> bool {
        self.trace.instances[instance].region == self.trace.upstreams[upstream].region
    }

    /// One-way time between an instance and an upstream.
    pub(crate) fn way(&self, instance: usize, upstream: usize) -> Duration {
        if self.is_near(instance, upstream) {
            self.trace.signals.local_latency
        } else {
            self.trace.signals.remote_latency
        }
    }

    fn start_job(&mut self, upstream: usize, attempt: u32, job: Job) {
        let request = job.index;
        let current =
            self.phases[request] == Phase::Running { upstream } && self.attempts[request] == attempt;
        if !current {
            return;
        }
        if self.down[upstream] || self.failing[upstream] {
            self.now = self.now + FAIL_AFTER;
            self.fail(request, End::Failed);
            return;
        }
        self.engines[upstream].push(job);
        self.begin_step(upstream);
    }

    fn begin_step(&mut self, upstream: usize) {
        if self.stepping[upstream] || self.engines[upstream].is_idle() {
            return;
        }
        self.stepping[upstream] = true;
        let took = self.engines[upstream].start_step();
        let generation = self.generations[upstream];
        self.push(self.now + took, Event::Step { upstream, generation });
    }

    fn end_step(&mut self, upstream: usize, generation: u32) {
        if self.generations[upstream] != generation {
            return;
        }
        let mut tokens = std::mem::take(&mut self.tokens);
        self.engines[upstream].end_step(&mut tokens);
        for token in &tokens {
            self.note(token);
        }
        self.tokens = tokens;
        self.stepping[upstream] = false;
        self.begin_step(upstream);
    }

    fn note(&mut self, token: &Token) {
        let request = token.index;
        let instance = self.desk(request);
        self.ledger.token(request, self.now);
        let decider = &mut self.deciders[instance];
        if token.last {
            self.phases[request] = Phase::Over;
            self.ledger.completed(request);
            decider.finish(
                request as u64,
                End::Complete {
                    tokens: token.produced,
                },
                self.now,
            );
            self.plan_poll(instance);
            return;
        }
        let told = token.produced == 1 || token.produced.is_multiple_of(PROGRESS_EVERY);
        if let Some(router) = decider.router().filter(|_| told) {
            router.progress(request as u64, token.produced, self.now);
        }
    }

    fn give_up(&mut self, request: usize) {
        if self.phases[request] == Phase::Over || self.ledger.has_begun(request) {
            return;
        }
        let instance = self.desk(request);
        if let Phase::Running { upstream } = self.phases[request] {
            self.engines[upstream].cancel(request);
        }
        self.phases[request] = Phase::Over;
        self.ledger.abandoned(request, self.now);
        self.deciders[instance].finish(request as u64, End::Cancelled { tokens: 0 }, self.now);
        self.plan_poll(instance);
    }

    fn poll(&mut self, instance: usize) {
        if self.polls[instance] > self.now {
            return;
        }
        self.polls[instance] = Time::NEVER;
        let now = self.now;
        let Some(router) = self.deciders[instance].router() else {
            return;
        };
        for event in router.poll(now) {
            let verdict = event_decision(event, &self.names);
            self.obey(verdict, instance);
        }
        self.plan_poll(instance);
    }

    pub(crate) fn plan_poll(&mut self, instance: usize) {
        let Some(router) = self.deciders[instance].router() else {
            return;
        };
        let due = router.deadline().max(self.now);
        if due < self.polls[instance] {
            self.polls[instance] = due;
            self.push(due, Event::Poll(instance));
        }
    }
}
