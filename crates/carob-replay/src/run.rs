//! Discrete-event simulation that replays a trace in virtual time.
//!
//! Instances route requests, engines process them, and messages between them are delayed and lost as the
//! trace specifies. All events are processed in the order of one heap, by time and then by creation, so a
//! replay with the same trace, policy and seed gives the same report.

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

/// Tokens between two progress calls to the router, besides the call for the first token.
const PROGRESS_INTERVAL: u32 = 8;
/// Time after the last arrival at which a replay stops, even if requests are unfinished.
const DRAIN_TIMEOUT: Duration = Duration::from_mins(30);
/// Time in which a crashed or failing upstream rejects a request.
const FAILURE_DELAY: Duration = Duration::from_millis(1);

/// State of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Not yet arrived, queued at an instance, or about to be retried.
    Waiting,
    /// Sent to an upstream.
    Running { upstream: usize },
    /// Completed, refused, abandoned or lost.
    Finished,
}

/// State of a replay; vectors are indexed by the positions of upstreams, instances or requests in the trace.
pub(crate) struct Replay<'a> {
    pub(crate) trace: &'a Trace,
    pub(crate) policy: Policy,
    pub(crate) seed: u64,
    pub(crate) now: Time,
    /// Times and sequence numbers of the pending events.
    heap: BinaryHeap<Reverse<(Time, u64)>>,
    /// Pending events by sequence number.
    events: HashMap<u64, Event>,
    /// Sequence number of the latest event; orders events of equal times by their creation.
    sequence: u64,
    /// Routing state of each instance.
    pub(crate) policies: Vec<PolicyState>,
    pub(crate) engines: Vec<Engine>,
    /// Number of crashes per upstream; a step of an earlier process is dropped when its number is out of
    /// date.
    pub(crate) restarts: Vec<u32>,
    /// Upstreams whose engine is in the middle of a step.
    pub(crate) stepping: Vec<bool>,
    /// Upstreams that have crashed and not recovered yet.
    pub(crate) down: Vec<bool>,
    /// Upstreams that reject every new request.
    pub(crate) failing: Vec<bool>,
    /// Time of each instance's next scheduled poll.
    next_polls: Vec<Time>,
    /// Last sequence number of each upstream's cache events.
    pub(crate) cache_sequences: Vec<u64>,
    pub(crate) phases: Vec<Phase>,
    /// Attempts per request; an attempt that was superseded by a later one is dropped on arrival.
    attempts: Vec<u32>,
    /// Current delay of load reports; starts at the trace's and changes with `FaultKind::ReportDelay`.
    pub(crate) report_delay: Duration,
    /// Position of each upstream in the trace, by name.
    pub(crate) upstream_indices: HashMap<Name, usize>,
    /// Response timeout of each service.
    response_timeouts: HashMap<Name, Duration>,
    pub(crate) random: SmallRng,
    pub(crate) outcomes: OutcomeRecorder,
    /// Buffer for the tokens of a step, kept to reuse its allocation.
    tokens: Vec<Token>,
}

/// Replays `trace` with `policy`. `seed` sets the phases of periodic messages, the loss of messages and the
/// random choices of policies.
pub fn run(trace: &Trace, policy: Policy, seed: u64) -> Report {
    let mut replay = Replay::new(trace, policy, seed);
    replay.schedule_initial();
    let limit = trace.end() + DRAIN_TIMEOUT;
    while let Some(Reverse((at, sequence))) = replay.heap.pop() {
        if at > limit || replay.outcomes.is_finished() {
            break;
        }
        replay.now = at;
        if let Some(event) = replay.events.remove(&sequence) {
            replay.handle(event);
        }
    }
    let preemptions = replay.engines.iter().map(Engine::preemptions).sum();
    replay.outcomes.into_report(trace, preemptions)
}

impl<'a> Replay<'a> {
    fn new(trace: &'a Trace, policy: Policy, seed: u64) -> Self {
        let upstreams = trace.upstreams.len();
        let policy_state = |(index, instance)| {
            let seed = seed.wrapping_mul(1_000).wrapping_add(index as u64);
            PolicyState::new(policy, trace, instance, seed, Time::ZERO)
        };
        let indexed = |(index, upstream): (usize, &crate::trace::Upstream)| (upstream.name.clone(), index);
        Self {
            trace,
            policy,
            seed,
            now: Time::ZERO,
            heap: BinaryHeap::new(),
            events: HashMap::new(),
            sequence: 0,
            policies: trace.instances.iter().enumerate().map(policy_state).collect(),
            engines: trace
                .upstreams
                .iter()
                .map(|upstream| Engine::new(upstream.model))
                .collect(),
            restarts: vec![0; upstreams],
            stepping: vec![false; upstreams],
            down: vec![false; upstreams],
            failing: vec![false; upstreams],
            next_polls: vec![Time::NEVER; trace.instances.len()],
            cache_sequences: vec![0; upstreams],
            phases: vec![Phase::Waiting; trace.requests.len()],
            attempts: vec![0; trace.requests.len()],
            report_delay: trace.signals.report_delay,
            upstream_indices: trace.upstreams.iter().enumerate().map(indexed).collect(),
            response_timeouts: trace
                .services
                .iter()
                .map(|s| (s.name.clone(), s.response_timeout))
                .collect(),
            random: SmallRng::seed_from_u64(seed),
            outcomes: OutcomeRecorder::new(trace),
            tokens: Vec::new(),
        }
    }

    /// Schedules all arrivals and faults and the first periodic messages.
    fn schedule_initial(&mut self) {
        for (index, request) in self.trace.requests.iter().enumerate() {
            self.schedule(request.at, Event::Arrive(index));
        }
        for (index, fault) in self.trace.faults.iter().enumerate() {
            self.schedule(fault.at, Event::Fault(index));
        }
        for upstream in 0..self.engines.len() {
            // A random phase keeps the upstreams from reporting at the same moments.
            let phase = self.random.random_range(0.0..1.0);
            let first = self.trace.signals.report_interval.mul_f64(phase);
            self.schedule(Time::ZERO + first, Event::SampleLoad(upstream));
        }
        for instance in 0..self.policies.len() {
            let phase = self.random.random_range(0.0..1.0);
            let first = self.trace.signals.peer_interval.mul_f64(phase);
            self.schedule(Time::ZERO + first, Event::SendPeerLoad(instance));
        }
    }

    pub(crate) fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.heap.push(Reverse((at, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Fault(fault) => self.apply_fault(fault),
            Event::Recover(upstream) => self.recover_upstream(upstream),
            Event::Start {
                upstream,
                attempt,
                job,
            } => self.start_job(upstream, attempt, *job),
            Event::StepEnd { upstream, restarts } => self.end_step(upstream, restarts),
            Event::SampleLoad(upstream) => self.sample_load(upstream),
            Event::LoadReport {
                instance,
                upstream,
                report,
                sampled,
            } => {
                let name = &self.trace.upstreams[upstream].name;
                if let Some(router) = self.policies[instance].router() {
                    router.apply_report(name, report, sampled, self.now);
                }
                self.schedule_poll(instance);
            }
            Event::CacheEvents {
                instance,
                upstream,
                events,
            } => {
                let name = &self.trace.upstreams[upstream].name;
                if let Some(router) = self.policies[instance].router() {
                    router.apply_cache_events(name, &events, self.now);
                }
            }
            Event::SendPeerLoad(instance) => self.send_peer_load(instance),
            Event::PeerLoad {
                instance,
                peer,
                loads,
            } => {
                let name = &self.trace.instances[peer].name;
                if let Some(router) = self.policies[instance].router() {
                    router.update_peer_load(name, &loads, self.now);
                }
                self.schedule_poll(instance);
            }
            Event::Poll(instance) => self.poll(instance),
            Event::ResponseTimeout(request) => self.time_out(request),
        }
    }

    fn arrive(&mut self, request: usize) {
        let arrival = &self.trace.requests[request];
        self.schedule(
            self.now + self.response_timeouts[&arrival.service],
            Event::ResponseTimeout(request),
        );
        let prefix: SmallVec<[u64; 4]> = arrival.prefix.iter().map(|&(hash, _)| hash).collect();
        let routed = Request::new(request as u64, arrival.service.clone(), arrival.account.clone())
            .with_tokens(arrival.prompt, None)
            .with_prefix(prefix);
        let instance = self.deciding_instance(request);
        let policy_state = &mut self.policies[instance];
        let decision = policy_state.submit(routed, arrival.output, self.now, &self.upstream_indices);
        self.apply_decision(decision, instance);
        self.schedule_poll(instance);
    }

    pub(crate) fn apply_decision(&mut self, decision: Decision, instance: usize) {
        match decision {
            Decision::Send {
                id,
                upstream,
                priority,
            } => self.send(id as usize, upstream, priority, instance),
            Decision::Wait => {}
            Decision::Refuse { id } => {
                self.phases[id as usize] = Phase::Finished;
                self.outcomes.record_refused(id as usize, self.now);
            }
        }
    }

    fn send(&mut self, request: usize, upstream: usize, priority: i32, instance: usize) {
        self.phases[request] = Phase::Running { upstream };
        self.attempts[request] += 1;
        let arrival = &self.trace.requests[request];
        let at = self.now + self.one_way_latency(instance, upstream) * 2 + self.decision_round_trip(request);
        let job = Job::new(request, priority, at, arrival.prompt, arrival.output)
            .with_prefix(arrival.prefix.clone());
        let attempt = self.attempts[request];
        if !self.is_same_region(instance, upstream) {
            self.outcomes.record_cross_region();
        }
        self.schedule(
            at,
            Event::Start {
                upstream,
                attempt,
                job: Box::new(job),
            },
        );
    }

    /// Position of the instance that routes a request; instance 0 routes all of them with
    /// [`Policy::Centralized`].
    pub(crate) fn deciding_instance(&self, request: usize) -> usize {
        match self.policy {
            Policy::Centralized => 0,
            _ => self.trace.requests[request].instance,
        }
    }

    /// Round trip between the instance that accepts a request and the one that routes it; zero if they are
    /// the same.
    fn decision_round_trip(&self, request: usize) -> Duration {
        let accepting = &self.trace.instances[self.trace.requests[request].instance];
        let deciding = &self.trace.instances[self.deciding_instance(request)];
        match (
            accepting.name == deciding.name,
            accepting.region == deciding.region,
        ) {
            (true, _) => Duration::ZERO,
            (false, true) => self.trace.signals.local_latency * 2,
            (false, false) => self.trace.signals.remote_latency * 2,
        }
    }

    fn is_same_region(&self, instance: usize, upstream: usize) -> bool {
        self.trace.instances[instance].region == self.trace.upstreams[upstream].region
    }

    /// One-way network latency between an instance and an upstream.
    pub(crate) fn one_way_latency(&self, instance: usize, upstream: usize) -> Duration {
        if self.is_same_region(instance, upstream) {
            self.trace.signals.local_latency
        } else {
            self.trace.signals.remote_latency
        }
    }

    /// Hands an attempt to its engine, unless it was superseded, or fails it if the upstream is down or
    /// failing.
    fn start_job(&mut self, upstream: usize, attempt: u32, job: Job) {
        let request = job.index;
        let current =
            self.phases[request] == Phase::Running { upstream } && self.attempts[request] == attempt;
        if !current {
            return;
        }
        if self.down[upstream] || self.failing[upstream] {
            self.now = self.now + FAILURE_DELAY;
            self.fail_attempt(request, End::Failed);
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
        let duration = self.engines[upstream].start_step();
        let restarts = self.restarts[upstream];
        self.schedule(self.now + duration, Event::StepEnd { upstream, restarts });
    }

    fn end_step(&mut self, upstream: usize, restarts: u32) {
        if self.restarts[upstream] != restarts {
            return;
        }
        let mut tokens = std::mem::take(&mut self.tokens);
        self.engines[upstream].end_step(&mut tokens);
        for token in &tokens {
            self.deliver_token(token);
        }
        self.tokens = tokens;
        self.stepping[upstream] = false;
        self.begin_step(upstream);
    }

    /// Delivers a token to the caller and reports the answer's progress to the router.
    fn deliver_token(&mut self, token: &Token) {
        let request = token.index;
        let instance = self.deciding_instance(request);
        self.outcomes.record_token(request, self.now);
        let policy_state = &mut self.policies[instance];
        if token.last {
            self.phases[request] = Phase::Finished;
            self.outcomes.record_completed(request);
            policy_state.finish(
                request as u64,
                End::Complete {
                    tokens: token.produced,
                },
                self.now,
            );
            self.schedule_poll(instance);
            return;
        }
        let reported = token.produced == 1 || token.produced.is_multiple_of(PROGRESS_INTERVAL);
        if let Some(router) = policy_state.router().filter(|_| reported) {
            router.progress(request as u64, token.produced, self.now);
        }
    }

    /// Abandons a request whose first token was not delivered within the response timeout.
    fn time_out(&mut self, request: usize) {
        if self.phases[request] == Phase::Finished || self.outcomes.has_started(request) {
            return;
        }
        let instance = self.deciding_instance(request);
        if let Phase::Running { upstream } = self.phases[request] {
            self.engines[upstream].cancel(request);
        }
        self.phases[request] = Phase::Finished;
        self.outcomes.record_abandoned(request, self.now);
        self.policies[instance].finish(request as u64, End::Cancelled { tokens: 0 }, self.now);
        self.schedule_poll(instance);
    }

    /// Polls the router of an instance; a poll that an earlier one has replaced does nothing.
    fn poll(&mut self, instance: usize) {
        if self.next_polls[instance] > self.now {
            return;
        }
        self.next_polls[instance] = Time::NEVER;
        let now = self.now;
        let Some(router) = self.policies[instance].router() else {
            return;
        };
        for event in router.poll(now) {
            let decision = event_decision(event, &self.upstream_indices);
            self.apply_decision(decision, instance);
        }
        self.schedule_poll(instance);
    }

    /// Schedules a poll at the router's next deadline, unless an earlier one is pending.
    pub(crate) fn schedule_poll(&mut self, instance: usize) {
        let Some(router) = self.policies[instance].router() else {
            return;
        };
        let due = router.deadline().max(self.now);
        if due < self.next_polls[instance] {
            self.next_polls[instance] = due;
            self.schedule(due, Event::Poll(instance));
        }
    }
}
