//! Simulated model engine: continuous batching in limited memory, with preemption by recomputation.
//!
//! Memory is counted in tokens. A step prefills up to one chunk of the admitted prompts and adds one token to
//! each answer whose prompt is prefilled; its time grows with the batch size, the tokens in memory and the
//! prefilled tokens. If the batch outgrows the memory, the request with the largest priority number, the
//! latest one among equals, is preempted: its memory is freed, and it is queued to prefill its prompt and the
//! tokens produced so far again. Prefixes stay cached in the memory that the batch leaves free.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use carob_base::Time;
use carob_wire::load::Report;
use smallvec::SmallVec;

/// Share of the memory that must stay free when a request is admitted to a batch that is not empty.
const WATERMARK: f64 = 0.01;

/// Memory, batch and timing parameters of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Model {
    /// Capacity of the memory, in tokens.
    pub memory: u32,
    /// Maximum number of requests in a batch.
    pub slots: u32,
    /// Fixed time of a step, in microseconds.
    pub step_us: f64,
    /// Additional step time per request in the batch, in microseconds.
    pub answer_us: f64,
    /// Additional step time per token that the batch holds in memory, in microseconds.
    pub token_us: f64,
    /// Additional step time per prefilled token, in microseconds.
    pub prefill_us: f64,
    /// Maximum number of tokens prefilled in a step.
    pub chunk: u32,
}

/// A request in the queue or the batch of an engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// Position of the request in the trace.
    pub index: usize,
    /// Scheduling priority; lower numbers run first.
    pub priority: i32,
    /// Arrival time at the engine; orders requests of equal priority.
    pub arrived: Time,
    /// Length of the prompt, in tokens.
    pub prompt: u32,
    /// Length of the answer, in tokens, at which the request ends; at least 1.
    pub output: u32,
    /// Tokens of the answer produced so far.
    pub produced: u32,
    /// Hash and length in tokens of each cacheable prefix of the prompt, longest last.
    pub prefix: SmallVec<[(u64, u32); 4]>,
    /// Tokens still to be prefilled before the answer can grow.
    remaining_prefill: u32,
}

/// A token that a step added to an answer.
#[derive(Clone, Copy, Debug)]
pub struct Token {
    /// Position of the request in the trace.
    pub index: usize,
    /// Tokens of the answer produced so far, including this one.
    pub produced: u32,
    /// Whether it completes the answer.
    pub last: bool,
}

/// Changes of the prefix cache since the previous call of [`Engine::take_cache_change`].
#[derive(Clone, Debug, Default)]
pub struct CacheChange {
    /// Hashes of the added prefixes.
    pub stored: Vec<u64>,
    /// Hashes of the evicted prefixes.
    pub removed: Vec<u64>,
}

/// A simulated engine with its queue, batch and prefix cache.
#[derive(Debug)]
pub struct Engine {
    model: Model,
    incarnation: u64,
    running: Vec<Job>,
    /// Queue, ordered by priority, arrival time and position in the trace.
    waiting: BTreeMap<(i32, Time, usize), Job>,
    /// Memory held by the batch, in tokens.
    used_tokens: u32,
    preemptions: u64,
    /// Cached prefixes by hash: tokens beyond the next shorter prefix, and the value of `use_clock` at the
    /// last use.
    cache: HashMap<u64, (u32, u64)>,
    /// Memory held by the cache, in tokens.
    cached_tokens: u32,
    /// Logical clock for least-recently-used eviction; advances with each prefix lookup.
    use_clock: u64,
    cache_change: CacheChange,
}

impl Job {
    /// Creates a job without prefixes or produced tokens; an `output` of 0 becomes 1.
    pub fn new(index: usize, priority: i32, arrived: Time, prompt: u32, output: u32) -> Self {
        Self {
            index,
            priority,
            arrived,
            prompt,
            output: output.max(1),
            produced: 0,
            prefix: SmallVec::new(),
            remaining_prefill: 0,
        }
    }

    /// Sets the cacheable prefixes of the prompt: hash and length in tokens of each, longest last.
    #[must_use]
    pub fn with_prefix(mut self, prefix: SmallVec<[(u64, u32); 4]>) -> Self {
        self.prefix = prefix;
        self
    }

    /// Memory that the request needs, in tokens.
    fn memory_tokens(&self) -> u32 {
        self.prompt + self.produced
    }

    /// Sort key of the queue; its maximum is the first to be preempted.
    fn sort_key(&self) -> (i32, Time, usize) {
        (self.priority, self.arrived, self.index)
    }
}

impl Engine {
    /// Creates an idle engine with an empty cache and incarnation 1.
    pub fn new(model: Model) -> Self {
        Self {
            model,
            incarnation: 1,
            running: Vec::new(),
            waiting: BTreeMap::new(),
            used_tokens: 0,
            preemptions: 0,
            cache: HashMap::new(),
            cached_tokens: 0,
            use_clock: 0,
            cache_change: CacheChange::default(),
        }
    }

    /// Whether there is no running and no waiting request.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Number of preemptions since the start of the replay; a restart does not reset it.
    pub fn preemptions(&self) -> u64 {
        self.preemptions
    }

    /// Reports the current load.
    pub fn report(&self) -> Report {
        Report {
            incarnation: self.incarnation,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            used_tokens: self.used_tokens,
            memory_tokens: self.model.memory,
            preemptions: self.preemptions,
            leaving: false,
        }
    }

    /// Adds a request to the queue.
    pub fn push(&mut self, job: Job) {
        self.waiting.insert(job.sort_key(), job);
    }

    /// Removes a request, whether it is running or waiting.
    pub fn cancel(&mut self, index: usize) {
        if let Some(position) = self.running.iter().position(|job| job.index == index) {
            let job = self.running.swap_remove(position);
            self.used_tokens -= job.memory_tokens();
        }
        self.waiting.retain(|_, job| job.index != index);
    }

    /// Simulates a crash and restart: clears the queue, the batch and the cache, increments the incarnation
    /// and returns the trace positions of the lost requests.
    pub fn restart(&mut self) -> Vec<usize> {
        let waiting = std::mem::take(&mut self.waiting);
        let lost = self
            .running
            .drain(..)
            .chain(waiting.into_values())
            .map(|job| job.index)
            .collect();
        self.incarnation += 1;
        self.used_tokens = 0;
        self.cache.clear();
        self.cached_tokens = 0;
        self.cache_change = CacheChange::default();
        lost
    }

    /// Starts a step and returns its duration.
    pub fn start_step(&mut self) -> Duration {
        self.admit();
        self.preempt_for_growth();
        let prefilled = self.prefill();
        let model = &self.model;
        let micros = model.step_us
            + model.answer_us * self.running.len() as f64
            + model.token_us * f64::from(self.used_tokens)
            + model.prefill_us * f64::from(prefilled);
        Duration::from_micros(micros as u64)
    }

    /// Moves waiting requests into the batch while slots and memory suffice; an empty batch takes any
    /// request.
    fn admit(&mut self) {
        let limit = (f64::from(self.model.memory) * (1.0 - WATERMARK)) as u32;
        while self.running.len() < self.model.slots as usize {
            let Some(first) = self.waiting.first_entry() else {
                return;
            };
            let fits = self.used_tokens + first.get().memory_tokens() < limit || self.running.is_empty();
            if !fits {
                return;
            }
            let mut job = first.remove();
            job.remaining_prefill = job.memory_tokens() - self.use_prefixes(&job);
            self.used_tokens += job.memory_tokens();
            self.running.push(job);
        }
    }

    /// Preempts requests until every answer that may grow in this step has room for one more token, then
    /// evicts the cached prefixes that no longer fit. A batch of one request is not preempted.
    fn preempt_for_growth(&mut self) {
        loop {
            let growing = self
                .running
                .iter()
                .filter(|job| job.remaining_prefill <= self.model.chunk)
                .count() as u32;
            if self.used_tokens + growing <= self.model.memory || self.running.len() <= 1 {
                self.evict_prefixes(self.model.memory.saturating_sub(self.used_tokens + growing));
                return;
            }
            let victim = (0..self.running.len()).max_by_key(|&position| self.running[position].sort_key());
            let Some(victim) = victim else {
                return;
            };
            let job = self.running.swap_remove(victim);
            self.used_tokens -= job.memory_tokens();
            self.preemptions += 1;
            self.waiting.insert(job.sort_key(), job);
        }
    }

    /// Prefills up to one chunk of the batch, in batch order; returns the number of prefilled tokens.
    fn prefill(&mut self) -> u32 {
        let mut budget = self.model.chunk;
        for job in &mut self.running {
            let tokens = job.remaining_prefill.min(budget);
            job.remaining_prefill -= tokens;
            budget -= tokens;
        }
        self.model.chunk - budget
    }

    /// Ends the step: adds a token to every answer whose prompt is prefilled, and replaces the content of
    /// `tokens` with the added ones. Completed requests leave the batch.
    pub fn end_step(&mut self, tokens: &mut Vec<Token>) {
        tokens.clear();
        for job in self.running.iter_mut().filter(|job| job.remaining_prefill == 0) {
            job.produced += 1;
            self.used_tokens += 1;
            tokens.push(Token {
                index: job.index,
                produced: job.produced,
                last: job.produced >= job.output,
            });
        }
        let used = &mut self.used_tokens;
        self.running.retain(|job| {
            let completed = job.produced >= job.output;
            if completed {
                *used -= job.memory_tokens();
            }
            !completed
        });
    }

    /// Returns the number of cached prompt tokens, at most all but one, and adds all prefixes of the prompt
    /// to the cache.
    fn use_prefixes(&mut self, job: &Job) -> u32 {
        let longest = job
            .prefix
            .iter()
            .rev()
            .find(|(hash, _)| self.cache.contains_key(hash));
        let cached = longest.map_or(0, |&(_, length)| length.min(job.prompt.saturating_sub(1)));
        let mut previous = 0;
        for &(hash, length) in &job.prefix {
            self.use_clock += 1;
            let added = length.saturating_sub(previous);
            previous = length;
            if self.cache.insert(hash, (added, self.use_clock)).is_none() {
                self.cached_tokens += added;
                self.cache_change.stored.push(hash);
            }
        }
        cached
    }

    /// Evicts the least recently used prefixes until the cache fits into `room` tokens.
    fn evict_prefixes(&mut self, room: u32) {
        while self.cached_tokens > room {
            let oldest = self.cache.iter().min_by_key(|(_, (_, used))| *used);
            let Some((&hash, &(length, _))) = oldest else {
                return;
            };
            self.cache.remove(&hash);
            self.cached_tokens -= length;
            self.cache_change.removed.push(hash);
        }
    }

    /// Returns the changes of the prefix cache since the previous call.
    pub fn take_cache_change(&mut self) -> CacheChange {
        std::mem::take(&mut self.cache_change)
    }
}
