//! Prefix cache and its events.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use carob_wire::{create, prefix};
use serde_json::{Value, json};

use super::Options;

/// Number of tokens in a block.
const BLOCK_TOKENS: u32 = (prefix::BLOCK_BYTES / create::BYTES_PER_TOKEN) as u32;

/// Block cache with LRU eviction. `blocks` starts with the least recently used one.
#[derive(Debug)]
pub(super) struct Cache {
    max_blocks: usize,
    blocks: VecDeque<u64>,
    events: Vec<Event>,
    lag: Duration,
    /// Every event whose number is a multiple of this is lost; 0 for none.
    loss_interval: u64,
}

#[derive(Debug)]
struct Event {
    time: Instant,
    stored: bool,
    block: u64,
}

impl Cache {
    pub(super) fn new(options: &Options) -> Self {
        Self {
            max_blocks: options.cache_blocks,
            blocks: VecDeque::new(),
            events: Vec::new(),
            lag: options.cache_lag,
            loss_interval: options.cache_gap,
        }
    }

    /// Adds the blocks of a prompt to the cache. Returns the number of tokens in the longest prefix that was
    /// cached.
    pub(super) fn read_prompt(&mut self, prompt: &str, now: Instant) -> u32 {
        let mut hit_blocks = 0;
        let mut is_prefix = true;
        for block in prefix::block_hashes(prompt) {
            let present = self.touch(block, now);
            is_prefix &= present;
            hit_blocks += u32::from(is_prefix);
        }
        hit_blocks * BLOCK_TOKENS
    }

    /// Makes `block` the most recently used one, and evicts a block if the cache is full. Returns whether
    /// `block` was cached.
    fn touch(&mut self, block: u64, now: Instant) -> bool {
        let position = self.blocks.iter().position(|present| *present == block);
        if let Some(position) = position {
            self.blocks.remove(position);
        } else {
            self.record_event(now, true, block);
        }
        self.blocks.push_back(block);
        if self.blocks.len() > self.max_blocks
            && let Some(removed) = self.blocks.pop_front()
        {
            self.record_event(now, false, removed);
        }
        position.is_some()
    }

    fn record_event(&mut self, time: Instant, stored: bool, block: u64) {
        self.events.push(Event { time, stored, block });
    }

    /// Returns the published events with a sequence number above `after`; the first event has number 1.
    ///
    /// `last` counts lost events too, so that a reader can detect that one is missing.
    pub(super) fn events(&self, after: u64) -> Value {
        let published = self
            .events
            .partition_point(|event| event.time.elapsed() >= self.lag);
        let numbered = self.events[..published].iter().zip(1..);
        let events: Vec<Value> = numbered
            .filter(|(_, number)| *number > after && !self.is_lost(*number))
            .map(|(event, number)| to_json(event, number))
            .collect();
        json!({ "events": events, "last": published })
    }

    const fn is_lost(&self, number: u64) -> bool {
        self.loss_interval != 0 && number.is_multiple_of(self.loss_interval)
    }
}

fn to_json(event: &Event, number: u64) -> Value {
    let kind = if event.stored { "stored" } else { "removed" };
    json!({ "sequence": number, "kind": kind, "block": format!("{:016x}", event.block) })
}
