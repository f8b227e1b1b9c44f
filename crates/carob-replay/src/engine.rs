//! A model engine: continuous batching in limited memory, with preemption by recomputation.
//!
//! Memory is counted in tokens. A step prefills part of the waiting prompts and adds one token to each answer of the
//! batch; its time grows with the batch, with the tokens in memory and with the prefill. If the batch outgrows the
//! memory, the request with the largest priority number, the latest one among equals, loses its memory and starts
//! over from its prompt and the tokens produced so far. Prefixes stay cached in the memory that the batch leaves free.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use carob_base::Time;
use carob_wire::load::Report;
use smallvec::SmallVec;

/// Part of the memory that must stay free when a request joins the batch.
const WATERMARK: f64 = 0.01;

/// Figures of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Model {
    /// Memory, in tokens.
    pub memory: u32,
    /// Most requests of a batch.
    pub slots: u32,
    /// Time of an empty step, in microseconds.
    pub step_us: f64,
    /// Time per answer of the batch, in microseconds.
    pub answer_us: f64,
    /// Time per token in memory, in microseconds.
    pub token_us: f64,
    /// Time per prefilled token, in microseconds.
    pub prefill_us: f64,
    /// Most tokens prefilled in a step.
    pub chunk: u32,
}

/// A request as the engine sees it.
#[derive(Clone, Debug)]
pub struct Job {
    /// Position in the trace.
    pub index: usize,
    /// Lower runs first.
    pub priority: i32,
    /// When it came.
    pub arrived: Time,
    /// Length of the prompt, in tokens.
    pub prompt: u32,
    /// True length of the answer, in tokens.
    pub output: u32,
    /// Tokens of the answer so far.
    pub produced: u32,
    /// Hashes and lengths of the prompt's prefixes, longest last.
    pub prefix: SmallVec<[(u64, u32); 4]>,
    prefill: u32,
}

/// A token that a step has added to an answer.
#[derive(Clone, Copy, Debug)]
pub struct Token {
    /// Position of the request in the trace.
    pub index: usize,
    /// Tokens of the answer so far.
    pub produced: u32,
    /// Whether it was the last one.
    pub last: bool,
}

/// What has changed in the prefix cache since the last look.
#[derive(Clone, Debug, Default)]
pub struct CacheChange {
    /// Hashes of prefixes cached anew.
    pub stored: Vec<u64>,
    /// Hashes of prefixes cached no more.
    pub removed: Vec<u64>,
}

/// An engine.
#[derive(Debug)]
pub struct Engine {
    model: Model,
    incarnation: u64,
    running: Vec<Job>,
    waiting: BTreeMap<(i32, Time, usize), Job>,
    used: u32,
    preemptions: u64,
    /// Cached prefixes by hash: length and last use.
    cache: HashMap<u64, (u32, u64)>,
    cached: u32,
    uses: u64,
    change: CacheChange,
}

impl Job {
    /// A job of which nothing has been produced.
    pub fn new(index: usize, priority: i32, arrived: Time, prompt: u32, output: u32) -> Self {
        Self {
            index,
            priority,
            arrived,
            prompt,
            output: output.max(1),
            produced: 0,
            prefix: SmallVec::new(),
            prefill: 0,
        }
    }

    /// Sets the prompt's prefixes.
    #[must_use]
    pub fn with_prefix(mut self, prefix: SmallVec<[(u64, u32); 4]>) -> Self {
        self.prefix = prefix;
        self
    }

    fn size(&self) -> u32 {
        self.prompt + self.produced
    }

    fn order(&self) -> (i32, Time, usize) {
        (self.priority, self.arrived, self.index)
    }
}

impl Engine {
    /// An idle engine.
    pub fn new(model: Model) -> Self {
        Self {
            model,
            incarnation: 1,
            running: Vec::new(),
            waiting: BTreeMap::new(),
            used: 0,
            preemptions: 0,
            cache: HashMap::new(),
            cached: 0,
            uses: 0,
            change: CacheChange::default(),
        }
    }

    /// Whether it has nothing to do.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Preemptions since the start of the replay.
    pub fn preemptions(&self) -> u64 {
        self.preemptions
    }

    /// The load now.
    pub fn report(&self) -> Report {
        Report {
            incarnation: self.incarnation,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            used_tokens: self.used,
            memory_tokens: self.model.memory,
            preemptions: self.preemptions,
            leaving: false,
        }
    }

    /// Takes in a request.
    pub fn push(&mut self, job: Job) {
        self.waiting.insert(job.order(), job);
    }

    /// Drops a request, wherever it is.
    pub fn cancel(&mut self, index: usize) {
        if let Some(at) = self.running.iter().position(|job| job.index == index) {
            let job = self.running.swap_remove(at);
            self.used -= job.size();
        }
        self.waiting.retain(|_, job| job.index != index);
    }

    /// Dies and starts anew; returns the requests that it held.
    pub fn restart(&mut self) -> Vec<usize> {
        let waiting = std::mem::take(&mut self.waiting);
        let lost = self
            .running
            .drain(..)
            .chain(waiting.into_values())
            .map(|job| job.index)
            .collect();
        self.incarnation += 1;
        self.used = 0;
        self.cache.clear();
        self.cached = 0;
        self.change = CacheChange::default();
        lost
    }

    /// Starts a step; returns how long it takes.
    pub fn start_step(&mut self) -> Duration {
        self.admit();
        self.make_room();
        let prefilled = self.prefill();
        let model = &self.model;
        let micros = model.step_us
            + model.answer_us * self.running.len() as f64
            + model.token_us * f64::from(self.used)
            + model.prefill_us * f64::from(prefilled);
        Duration::from_micros(micros as u64)
    }

    /// Moves waiting requests into the batch while there is room.
    fn admit(&mut self) {
        let limit = (f64::from(self.model.memory) * (1.0 - WATERMARK)) as u32;
        while self.running.len() < self.model.slots as usize {
            let Some(first) = self.waiting.first_entry() else {
                return;
            };
            let fits = self.used + first.get().size() < limit || self.running.is_empty();
            if !fits {
                return;
            }
            let mut job = first.remove();
            job.prefill = job.size() - self.look_up(&job);
            self.used += job.size();
            self.running.push(job);
        }
    }

    /// Preempts until every answer of the batch can grow by one token.
    fn make_room(&mut self) {
        loop {
            let growing = self
                .running
                .iter()
                .filter(|job| job.prefill <= self.model.chunk)
                .count() as u32;
            if self.used + growing <= self.model.memory || self.running.len() <= 1 {
                self.shrink_cache(self.model.memory.saturating_sub(self.used + growing));
                return;
            }
            let victim = (0..self.running.len()).max_by_key(|&at| self.running[at].order());
            let Some(victim) = victim else {
                return;
            };
            let job = self.running.swap_remove(victim);
            self.used -= job.size();
            self.preemptions += 1;
            self.waiting.insert(job.order(), job);
        }
    }

    fn prefill(&mut self) -> u32 {
        let mut budget = self.model.chunk;
        for job in &mut self.running {
            let part = job.prefill.min(budget);
            job.prefill -= part;
            budget -= part;
        }
        self.model.chunk - budget
    }

    /// Ends the step: every answer whose prompt is prefilled grows by a token.
    pub fn end_step(&mut self, tokens: &mut Vec<Token>) {
        tokens.clear();
        for job in self.running.iter_mut().filter(|job| job.prefill == 0) {
            job.produced += 1;
            self.used += 1;
            tokens.push(Token {
                index: job.index,
                produced: job.produced,
                last: job.produced >= job.output,
            });
        }
        let used = &mut self.used;
        self.running.retain(|job| {
            let ended = job.produced >= job.output;
            if ended {
                *used -= job.size();
            }
            !ended
        });
    }

    /// Tokens of the prompt that are cached; all its prefixes are from now on.
    fn look_up(&mut self, job: &Job) -> u32 {
        let held = job
            .prefix
            .iter()
            .rev()
            .find(|(hash, _)| self.cache.contains_key(hash));
        let held = held.map_or(0, |&(_, length)| length.min(job.prompt.saturating_sub(1)));
        let mut before = 0;
        for &(hash, length) in &job.prefix {
            self.uses += 1;
            let own = length.saturating_sub(before);
            before = length;
            if self.cache.insert(hash, (own, self.uses)).is_none() {
                self.cached += own;
                self.change.stored.push(hash);
            }
        }
        held
    }

    /// Drops the prefixes used longest ago until the cache fits `room`.
    fn shrink_cache(&mut self, room: u32) {
        while self.cached > room {
            let oldest = self.cache.iter().min_by_key(|(_, (_, used))| *used);
            let Some((&hash, &(length, _))) = oldest else {
                return;
            };
            self.cache.remove(&hash);
            self.cached -= length;
            self.change.removed.push(hash);
        }
    }

    /// Takes what has changed in the prefix cache.
    pub fn take_cache_change(&mut self) -> CacheChange {
        std::mem::take(&mut self.change)
    }
}
