//! Scarce engine capacity: what urgent requests get before patient ones.
//!
//! A request is patient if its service has requests with a more urgent priority and a shorter target. It goes to an engine
//! only while the next urgent request would still meet its target there, and leaves urgent requests the room that their
//! recent arrivals justify. Otherwise it waits in the queue, for what its own target leaves.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use carob_base::Time;
use smallvec::SmallVec;

use super::{
    Fleet, PeerLoad, RequestSize, Requirements, Upstream, UpstreamKey, UpstreamState,
    engine::{CHUNK_TOKENS, PREFILL_RATE, REQUEST_STEP_MS, STEP_MS},
};
use crate::table::PriorityClass;

/// Least urgent priority that engines know.
const MAX_ENGINE_PRIORITY: u8 = 9;

/// Time in which an engine generates a token of a running request, with several of them.
const TOKEN_TIME: Duration = Duration::from_millis(9);

/// Share of a target that is planned with. The rest is for the connection to the engine (up to 50 ms between regions) and
/// for requests that other instances place there meanwhile.
const TARGET_SHARE: f64 = 0.8;

/// Time over which arrivals are averaged. At an instance that gets one urgent request in 2 s, it holds a few of them.
const ARRIVAL_TIME: Duration = Duration::from_secs(5);

/// Time in which placements are not known everywhere, and after which waiting patient requests are tried again: instances
/// tell placements every 15 ms, over ways of up to 12 ms.
pub const TURN_TIME: Duration = Duration::from_millis(30);

/// How long what an instance tells about its queue counts; instances repeat it each second.
const QUEUE_LIFETIME: Duration = Duration::from_millis(2_200);

/// Expected time in which an engine with `running` requests prefills `tokens`.
pub fn prefill_time(tokens: u64, running: u32) -> Duration {
    let step = if running == 0 {
        0.0
    } else {
        STEP_MS + REQUEST_STEP_MS * f64::from(running)
    };
    let millis = tokens as f64 / CHUNK_TOKENS * (CHUNK_TOKENS / PREFILL_RATE + step);
    Duration::from_secs_f64(millis / 1e3)
}

carob_base::plain! {
    /// How urgent a request is among those of its service.
    pub struct Urgency {
        /// Priority that engines are told, so that they admit more urgent requests first; `None` if the requests of the
        /// service do not differ in priority.
        pub engine_priority: Option<u8>,
        /// If the request is patient: time in which an urgent request has to be prefilled, with all that is before it.
        pub headroom: Option<Duration>,
    }

    /// Room on an engine that patient requests leave free.
    pub struct Reserve {
        /// Memory, in tokens.
        pub tokens: u64,
        /// Requests.
        pub slots: u32,
    }

    /// Bounds on the load of an engine up to which a patient request goes there.
    pub struct PatientBound {
        /// Time in which an urgent request has to be prefilled, with all that is before it.
        pub headroom: Duration,
        /// Prompt tokens of an urgent request.
        pub urgent_prompt: u64,
        /// Room for urgent requests.
        pub reserve: Reserve,
        /// Engines that a waiting request may take now; `None` for all.
        pub turn: Option<Turn>,
    }

    /// Draws a share of the engines.
    pub struct Turn {
        /// Differs from instance to instance, and from one [`Turn`] to the next.
        pub seed: u64,
        /// One in how many engines is drawn.
        pub among: u64,
    }

    /// Requests that an instance has in its queue.
    pub struct QueuedLoad {
        /// [`service_hash`](super::service_hash) of their service.
        pub service: u64,
        /// Their priority.
        pub priority: u8,
        /// Their number.
        pub requests: u32,
        /// Their prompt tokens.
        pub tokens: u64,
    }
}

impl Urgency {
    /// Requests of services that have one priority only.
    pub const UNIFORM: Self = Self {
        engine_priority: None,
        headroom: None,
    };

    /// Classifies a request with `priority` and a `target` for its first event, to a service with the given `classes`.
    pub fn new(classes: &[PriorityClass], priority: u8, target: Duration) -> Self {
        if classes.len() < 2 {
            return Self::UNIFORM;
        }
        let urgent = classes.iter().filter(|class| class.priority < priority);
        let shortest = urgent.map(|class| class.target).min();
        Self {
            engine_priority: Some(priority.min(MAX_ENGINE_PRIORITY)),
            headroom: shortest
                .filter(|shortest| *shortest < target)
                .map(|shortest| shortest.mul_f64(TARGET_SHARE)),
        }
    }
}

/// Longest time for which a request with a `target` and `prompt` tokens to prefill waits in the queue: after it, the prompt
/// can still be prefilled in time, also at an engine with as much pending prefill as `bound` permits. Zero if there is no
/// such time.
pub fn longest_wait(target: Duration, prompt: u64, bound: Option<&PatientBound>) -> Duration {
    let alone = prefill_time(prompt, TYPICAL_RUNNING);
    let prefill = bound.map_or(alone, |bound| {
        let urgent = prefill_time(bound.urgent_prompt, TYPICAL_RUNNING);
        bound.headroom.saturating_sub(urgent).max(alone)
    });
    target.mul_f64(TARGET_SHARE).saturating_sub(prefill)
}

/// Requests that an engine runs beside a new one under load.
const TYPICAL_RUNNING: u32 = 8;

impl PatientBound {
    /// Whether an engine has room for a patient request: its memory is not overcommitted by those, so that urgent ones
    /// preempt none.
    pub(super) fn permits(&self, upstream: &Upstream, requirements: &Requirements) -> bool {
        let (size, running) = (requirements.size, upstream.total_requests());
        if self.turn.is_some_and(|turn| !turn.draws(upstream.hash())) {
            return false;
        }
        if running == 0 {
            return true;
        }
        let pending = upstream.pending_prefill();
        let ahead = pending + size.prefill + self.urgent_prompt;
        let tokens = upstream.expected_tokens() + size.tokens + self.reserve.tokens;
        (pending == 0 || prefill_time(ahead, running) <= self.headroom)
            && tokens <= requirements.capacity
            && running + self.reserve.slots < upstream.entry.slots
    }
}

impl Turn {
    /// Draws for an instance with the random number `seed`, beside `others` that have requests waiting as well.
    ///
    /// All of them learn at the same moment that an engine has room. If each took it, it would get far more than it has
    /// room for.
    fn new(seed: u64, others: usize, now: Time) -> Self {
        Self {
            seed: seed.wrapping_add(Self::number(now)),
            among: others as u64 + 1,
        }
    }

    /// Number of the present draw.
    const fn number(now: Time) -> u64 {
        now.as_micros() / TURN_TIME.as_micros() as u64
    }

    fn draws(&self, upstream_hash: u64) -> bool {
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&upstream_hash.to_le_bytes(), self.seed);
        hash.is_multiple_of(self.among.max(1))
    }
}

/// An engine that has not answered a request yet, or has not begun to write its stream.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    /// Time since the request was placed there.
    pub waited: Duration,
    /// Time after which another engine is asked, if the present one says nothing at all.
    pub limit: Duration,
    /// Time to the first event that was expected from the pending prefill there at the placement.
    pub expected: Duration,
    /// Time since the engine is known to have prefilled a prompt of any instance; `None` if it is not known to have.
    pub progress: Option<Duration>,
}

/// Multiple of the expected time to the first event that is waited for: running requests take more of the steps than
/// expected, and some prompts were placed unseen.
const EXPECTED_FACTOR: f64 = 1.5;

/// Time since the last prompt that an engine has prefilled, in which it counts as working through its queue. Prefilling
/// three long prompts takes as long.
const PROGRESS_TIME: Duration = Duration::from_millis(1_500);

impl Silence {
    /// How much longer to wait before this is decided again; `None` if the engine is to be given up.
    ///
    /// A request that its engine merely holds in its queue is not sent a second time: its prompt would be prefilled twice,
    /// when engines are scarce.
    pub fn hold(&self) -> Option<Duration> {
        let earliest = self.limit.max(self.expected.mul_f64(EXPECTED_FACTOR));
        if self.waited < earliest {
            return Some(earliest.saturating_sub(self.waited));
        }
        let left = PROGRESS_TIME.saturating_sub(self.progress?);
        (!left.is_zero()).then_some(left)
    }
}

/// Recent arrivals of one priority at this instance.
#[derive(Clone, Copy, Debug)]
struct Arrivals {
    priority: u8,
    /// Exponentially decaying number.
    count: f64,
    /// Mean target in seconds; requests of several routes may have the same priority.
    target: f64,
    /// Mean size.
    prompt: f64,
    tokens: f64,
    updated: Time,
}

impl Arrivals {
    /// Number of recent arrivals by now.
    fn count(&self, now: Time) -> f64 {
        let passed = now.since(self.updated).as_secs_f64() / ARRIVAL_TIME.as_secs_f64();
        self.count * (-passed).exp()
    }

    fn record(&mut self, target: Duration, size: RequestSize, now: Time) {
        self.count = self.count(now) + 1.0;
        self.updated = now;
        let weight = 1.0 / self.count.max(1.0);
        self.target += weight * (target.as_secs_f64() - self.target);
        self.prompt += weight * (size.prefill as f64 - self.prompt);
        self.tokens += weight * (size.tokens as f64 - self.tokens);
    }

    /// Requests that run at a time, if each ends within its target and the time for its answer.
    fn running(&self, now: Time) -> f64 {
        let answer = TOKEN_TIME.mul_f64((self.tokens - self.prompt).max(0.0));
        let seconds = self.target * TARGET_SHARE + answer.as_secs_f64();
        self.count(now) / ARRIVAL_TIME.as_secs_f64() * seconds
    }
}

/// What this instance has learned about urgent requests and the queues of others.
#[derive(Debug, Default)]
pub(super) struct State {
    seed: u64,
    /// By service.
    arrivals: HashMap<Box<str>, SmallVec<[Arrivals; 2]>>,
    /// Queues of other instances, and when they told of them.
    queues: HashMap<SocketAddr, (Time, Vec<QueuedLoad>)>,
    /// Number of the last draw in which no waiting patient request found an engine.
    finished_turn: Option<u64>,
}

impl State {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }
}

impl Fleet {
    /// Counts the arrival of a request with a `priority` and a `target` for its first event.
    pub fn record_arrival(
        &mut self,
        service: &str,
        (priority, target): (u8, Duration),
        size: RequestSize,
        now: Time,
    ) {
        if !self.urgency.arrivals.contains_key(service) {
            self.urgency.arrivals.insert(service.into(), SmallVec::new());
        }
        let Some(known) = self.urgency.arrivals.get_mut(service) else {
            return;
        };
        let position = known.iter().position(|arrivals| arrivals.priority == priority);
        let position = position.unwrap_or_else(|| {
            known.push(Arrivals {
                priority,
                count: 0.0,
                target: 0.0,
                prompt: 0.0,
                tokens: 0.0,
                updated: now,
            });
            known.len() - 1
        });
        known[position].record(target, size, now);
    }

    /// Bounds for a patient request with `priority` and the given `headroom`.
    pub fn patient_bound(
        &self,
        requirements: &Requirements,
        (priority, headroom): (u8, Duration),
        now: Time,
    ) -> PatientBound {
        let service = &*requirements.service;
        // Arrivals elsewhere are taken to be as many as here.
        let instances = self.recent_peers(QUEUE_LIFETIME, now) + 1;
        let known = self.urgency.arrivals.get(service);
        let urgent = known.into_iter().flatten();
        let urgent = urgent.filter(|arrivals| arrivals.priority < priority);
        let (mut tokens, mut requests, mut prompt) = (0.0, 0.0, None::<f64>);
        for arrivals in urgent {
            let running = arrivals.running(now) * instances as f64;
            requests += running;
            tokens += running * arrivals.tokens;
            prompt = Some(prompt.unwrap_or(0.0).max(arrivals.prompt));
        }
        let is_ready = |upstream: &&Upstream| {
            *upstream.entry.service == *service && upstream.entry.state == UpstreamState::Ready
        };
        let engines = self.upstreams.values().filter(is_ready).count().max(1) as f64;
        PatientBound {
            headroom,
            urgent_prompt: prompt.map_or(requirements.size.prefill, |prompt| prompt as u64),
            reserve: Reserve {
                tokens: (tokens / engines) as u64,
                slots: (requests / engines).ceil() as u32,
            },
            turn: None,
        }
    }

    /// Requirements of a patient request that waits with `priority`, with its bounds as of now; `None` for others.
    pub(super) fn renew_bound(
        &self,
        requirements: &Requirements,
        priority: u8,
        now: Time,
    ) -> Option<Requirements> {
        let bound = requirements.patience?;
        let others = self.waiting_instances(&requirements.service, now);
        let renewed = PatientBound {
            turn: Some(Turn::new(self.urgency.seed, others, now)),
            ..self.patient_bound(requirements, (priority, bound.headroom), now)
        };
        Some(requirements.clone().with_patience(Some(renewed)))
    }

    /// Records that no waiting patient request finds an engine until the next [`Turn`].
    pub(super) fn finish_turn(&mut self, now: Time) {
        self.urgency.finished_turn = Some(Turn::number(now));
    }

    /// Whether no waiting patient request finds an engine until the next [`Turn`].
    pub(super) fn is_turn_finished(&self, now: Time) -> bool {
        self.urgency.finished_turn == Some(Turn::number(now))
    }

    /// Records that an upstream has prefilled a prompt.
    pub fn record_prefilled(&mut self, key: UpstreamKey, now: Time) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.prefilled_at = Some(now);
        }
    }

    /// Records what a change of another instance's load says about an upstream: as many requests as before with less to
    /// prefill.
    pub(super) fn record_peer_prefilled(&mut self, before: &PeerLoad, load: &PeerLoad, now: Time) {
        if load.prefill < before.prefill
            && load.requests >= before.requests
            && let Some(key) = self.by_hash.get(&load.upstream_hash)
        {
            self.record_prefilled(*key, now);
        }
    }

    /// Number of other instances that have requests to `service` in their queues.
    pub fn waiting_instances(&self, service: &str, now: Time) -> usize {
        let service = super::service_hash(service);
        let fresh = self.urgency.queues.values();
        fresh
            .filter(|(told, queued)| {
                now.since(*told) < QUEUE_LIFETIME
                    && queued
                        .iter()
                        .any(|load| load.service == service && load.requests > 0)
            })
            .count()
    }

    /// Applies what the instance at `peer` tells about its queue.
    pub fn set_peer_queue(&mut self, peer: SocketAddr, queued: Vec<QueuedLoad>, now: Time) {
        self.urgency
            .queues
            .retain(|_, (told, _)| now.since(*told) < QUEUE_LIFETIME);
        if queued.is_empty() {
            self.urgency.queues.remove(&peer);
        } else {
            self.urgency.queues.insert(peer, (now, queued));
        }
    }
}
