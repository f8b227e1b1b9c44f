//! Continuous batching with limited memory, measured in tokens, and preemption by recomputation: a preempted
//! request gives up its memory and reads its prompt and its answer so far again.

use std::time::Instant;

use carob_wire::load::Report;

use super::{
    Options,
    cache::Cache,
    event,
    generation::{Generation, Record, Status},
    prompt::{self, Plan},
};

/// Requests of one incarnation.
#[derive(Debug)]
pub(super) struct Batch {
    memory_tokens: u32,
    slots: usize,
    model: String,
    /// All requests in order of arrival.
    generations: Vec<Generation>,
    /// Indices of the requests that have not ended, in order of arrival.
    open: Vec<usize>,
    preemptions: u64,
}

impl Batch {
    pub(super) fn new(options: &Options) -> Self {
        Self {
            memory_tokens: options.memory_tokens,
            slots: options.slots,
            model: options.model.clone(),
            generations: Vec::new(),
            open: Vec::new(),
            preemptions: 0,
        }
    }

    /// Queues a request, and returns its index.
    pub(super) fn add(&mut self, incarnation: u64, plan: Plan) -> usize {
        let index = self.generations.len();
        let hash = prompt::splitmix64(incarnation.wrapping_add(index as u64));
        let model = plan.model.clone().unwrap_or_else(|| self.model.clone());
        let mut generation = Generation {
            id: format!("resp_{hash:016x}"),
            item_id: format!("msg_{hash:016x}"),
            model,
            plan,
            status: Status::Queued,
            generated: 0,
            preemptions: 0,
            prefilled_at: Instant::now(),
            events: Vec::new(),
        };
        event::push_start(&mut generation);
        self.generations.push(generation);
        self.open.push(index);
        index
    }

    pub(super) fn get(&self, index: usize) -> Option<&Generation> {
        self.generations.get(index)
    }

    pub(super) fn find(&self, id: &str) -> Option<usize> {
        self.generations
            .iter()
            .rposition(|generation| generation.id == id)
    }

    /// Cancels a request if it has not ended. Returns whether it was cancelled.
    pub(super) fn cancel(&mut self, index: usize) -> bool {
        let generation = &mut self.generations[index];
        let open = !generation.status.is_terminal();
        if open {
            finish(generation, Status::Cancelled);
            self.open.retain(|open| *open != index);
        }
        open
    }

    pub(super) const fn open_count(&self) -> usize {
        self.open.len()
    }

    pub(super) fn records(&self, incarnation: u64) -> Vec<Record> {
        let generations = self.generations.iter();
        generations
            .map(|generation| generation.record(incarnation))
            .collect()
    }

    /// Returns the load report, without the fields that the batch does not know, such as the incarnation.
    pub(super) fn load_report(&self, options: &Options) -> Report {
        let count = |status| self.with_status(status).count() as u32;
        Report {
            running: count(Status::InProgress),
            waiting: count(Status::Queued),
            used_tokens: self.used_tokens(),
            memory_tokens: options.memory_tokens,
            preemptions: self.preemptions,
            ..Report::default()
        }
    }

    /// Admits the queued requests that fit, and generates one token for each running request. Returns whether
    /// a prompt crashed the engine.
    pub(super) fn step(&mut self, now: Instant, options: &Options, cache: &mut Cache) -> bool {
        let crashed = self.admit(now, options, cache);
        for index in self.by_priority(Status::InProgress) {
            // A request handled earlier in this step may have preempted this one.
            let generation = &self.generations[index];
            if generation.status == Status::InProgress
                && generation.prefilled_at <= now
                && self.make_room(index)
            {
                generate_token(&mut self.generations[index]);
            }
        }
        self.open
            .retain(|index| !self.generations[*index].status.is_terminal());
        crashed
    }

    /// Admits queued requests in order until one does not fit or all slots are taken. A request that does not
    /// fit into the empty memory fails. Returns whether a prompt crashed the engine.
    fn admit(&mut self, now: Instant, options: &Options, cache: &mut Cache) -> bool {
        for index in self.by_priority(Status::Queued) {
            let fits = self.used_tokens() + self.generations[index].used_tokens() < self.memory_tokens;
            if !fits && self.with_status(Status::InProgress).count() == 0 {
                finish(&mut self.generations[index], Status::Failed);
                continue;
            }
            if !fits || self.with_status(Status::InProgress).count() >= self.slots {
                return false;
            }
            let generation = &mut self.generations[index];
            if crashes_engine(options, &generation.plan.prompt) {
                return true;
            }
            let cached = cache.read_prompt(&generation.plan.prompt, now);
            generation.status = Status::InProgress;
            generation.prefilled_at =
                now + options.prefill_time * generation.used_tokens().saturating_sub(cached);
        }
        false
    }

    /// Frees memory for one more token of the request at `index`, by preempting the requests that come last
    /// by priority and arrival. Returns `false` if the request itself was preempted, or failed because it
    /// does not fit into the memory alone.
    fn make_room(&mut self, index: usize) -> bool {
        while self.used_tokens() >= self.memory_tokens {
            let last = self.by_priority(Status::InProgress).pop();
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
            if victim == index {
                return false;
            }
        }
        true
    }

    fn used_tokens(&self) -> u32 {
        self.with_status(Status::InProgress)
            .map(Generation::used_tokens)
            .sum()
    }

    fn with_status(&self, status: Status) -> impl Iterator<Item = &Generation> {
        let open = self.open.iter().map(|index| &self.generations[*index]);
        open.filter(move |generation| generation.status == status)
    }

    /// Returns the indices of the open requests with `status`, by priority and then by arrival.
    fn by_priority(&self, status: Status) -> Vec<usize> {
        let with_status = |index: &usize| self.generations[*index].status == status;
        let mut order: Vec<usize> = self.open.iter().copied().filter(with_status).collect();
        order.sort_by_key(|index| (self.generations[*index].plan.priority, *index));
        order
    }
}

fn crashes_engine(options: &Options, prompt: &str) -> bool {
    options
        .poison
        .as_ref()
        .is_some_and(|poison| prompt.contains(poison))
}

fn generate_token(generation: &mut Generation) {
    if let Some(token) = generation.plan.tokens.get(generation.generated).cloned() {
        generation.generated += 1;
        event::push_delta(generation, &token);
    }
    if generation.generated < generation.plan.tokens.len() {
        return;
    }
    let status = if generation.plan.is_truncated {
        Status::Incomplete
    } else {
        Status::Completed
    };
    finish(generation, status);
}

fn finish(generation: &mut Generation, status: Status) {
    generation.status = status;
    event::push_end(generation);
}
