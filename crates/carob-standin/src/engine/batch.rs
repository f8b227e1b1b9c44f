//! Continuous batching within a memory of tokens, with preemption by recomputation.

use std::time::Instant;

use carob_wire::load::Report;

use super::{
    Options,
    cache::Cache,
    event,
    generation::{Generation, Record, Status},
    prompt::{self, Plan},
};

/// Every request of one incarnation.
#[derive(Debug)]
pub(super) struct Batch {
    memory: u32,
    slots: usize,
    model: String,
    /// In the order of arrival.
    generations: Vec<Generation>,
    /// Places of those that have not ended, in the order of arrival.
    open: Vec<usize>,
    preemptions: u64,
}

impl Batch {
    pub(super) fn new(options: &Options) -> Self {
        Self {
            memory: options.memory_tokens,
            slots: options.slots,
            model: options.model.clone(),
            generations: Vec::new(),
            open: Vec::new(),
            preemptions: 0,
        }
    }

    /// Takes a request in; returns its place among the requests.
    pub(super) fn add(&mut self, incarnation: u64, plan: Plan) -> usize {
        let at = self.generations.len();
        let tag = prompt::mix(incarnation.wrapping_add(at as u64));
        let model = plan.model.clone().unwrap_or_else(|| self.model.clone());
        let mut generation = Generation {
            id: format!("resp_{tag:016x}"),
            item: format!("msg_{tag:016x}"),
            model,
            plan,
            status: Status::Queued,
            produced: 0,
            preemptions: 0,
            ready: Instant::now(),
            events: Vec::new(),
        };
        event::begin(&mut generation);
        self.generations.push(generation);
        self.open.push(at);
        at
    }

    pub(super) fn get(&self, at: usize) -> Option<&Generation> {
        self.generations.get(at)
    }

    pub(super) fn find(&self, id: &str) -> Option<usize> {
        self.generations
            .iter()
            .rposition(|generation| generation.id == id)
    }

    /// Cancels a request that has not ended; whether it had not.
    pub(super) fn cancel(&mut self, at: usize) -> bool {
        let generation = &mut self.generations[at];
        let open = !generation.status.is_terminal();
        if open {
            finish(generation, Status::Cancelled);
            self.open.retain(|place| *place != at);
        }
        open
    }

    pub(super) const fn open_count(&self) -> usize {
        self.open.len()
    }

    pub(super) fn records(&self, incarnation: u64) -> Vec<Record> {
        let each = self.generations.iter();
        each.map(|generation| generation.record(incarnation)).collect()
    }

    /// The load, without what the process itself knows.
    pub(super) fn load(&self, options: &Options) -> Report {
        let count = |status| self.with_status(status).count() as u32;
        Report {
            running: count(Status::InProgress),
            waiting: count(Status::Queued),
            used_tokens: self.used(),
            memory_tokens: options.memory_tokens,
            preemptions: self.preemptions,
            ..Report::default()
        }
    }

    /// Admits what fits and gives every running request one token; returns whether a prompt crashed the engine.
    pub(super) fn step(&mut self, now: Instant, options: &Options, cache: &mut Cache) -> bool {
        let crashed = self.admit(now, options, cache);
        for at in self.order(Status::InProgress) {
            // An earlier one of this step may have taken its memory.
            let generation = &self.generations[at];
            if generation.status == Status::InProgress && generation.ready <= now && self.make_room(at) {
                produce(&mut self.generations[at]);
            }
        }
        self.open.retain(|at| !self.generations[*at].status.is_terminal());
        crashed
    }

    fn admit(&mut self, now: Instant, options: &Options, cache: &mut Cache) -> bool {
        for at in self.order(Status::Queued) {
            let fits = self.used() + self.generations[at].size() < self.memory;
            if !fits && self.with_status(Status::InProgress).count() == 0 {
                finish(&mut self.generations[at], Status::Failed);
                continue;
            }
            if !fits || self.with_status(Status::InProgress).count() >= self.slots {
                return false;
            }
            let generation = &mut self.generations[at];
            if is_poison(options, &generation.plan.prompt) {
                return true;
            }
            let cached = cache.read(&generation.plan.prompt, now);
            generation.status = Status::InProgress;
            generation.ready = now + options.prefill_time * generation.size().saturating_sub(cached);
        }
        false
    }

    /// Makes room for one more token of the request at `at`, at the cost of those that come after it.
    fn make_room(&mut self, at: usize) -> bool {
        while self.used() >= self.memory {
            let last = self.order(Status::InProgress).pop();
            let Some(victim) = last else {
                return false;
            };
            if self.with_status(Status::InProgress).count() == 1 {
                finish(&mut self.generations[victim], Status::Failed);
                return false;
            }
            let generation = &mut self.generations[victim];
            generation.status = Status::Queued;
            generation.preemptions += 1;
            self.preemptions += 1;
            if victim == at {
                return false;
            }
        }
        true
    }

    fn used(&self) -> u32 {
        self.with_status(Status::InProgress).map(Generation::size).sum()
    }

    fn with_status(&self, status: Status) -> impl Iterator<Item = &Generation> {
        let open = self.open.iter().map(|at| &self.generations[*at]);
        open.filter(move |generation| generation.status == status)
    }

    /// The requests of a status by priority, then by arrival.
    fn order(&self, status: Status) -> Vec<usize> {
        let with_status = |at: &usize| self.generations[*at].status == status;
        let mut order: Vec<usize> = self.open.iter().copied().filter(with_status).collect();
        order.sort_by_key(|at| (self.generations[*at].plan.priority, *at));
        order
    }
}

fn is_poison(options: &Options, prompt: &str) -> bool {
    options
        .poison
        .as_ref()
        .is_some_and(|poison| prompt.contains(poison))
}

fn produce(generation: &mut Generation) {
    if let Some(word) = generation.plan.words.get(generation.produced).cloned() {
        generation.produced += 1;
        event::delta(generation, &word);
    }
    if generation.produced < generation.plan.words.len() {
        return;
    }
    let status = if generation.plan.cut {
        Status::Incomplete
    } else {
        Status::Completed
    };
    finish(generation, status);
}

fn finish(generation: &mut Generation, status: Status) {
    generation.status = status;
    event::end(generation);
}
