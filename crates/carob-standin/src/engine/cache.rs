//! The prefix cache and its events.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use carob_wire::{create, prefix};
use serde_json::{Value, json};

use super::Options;

/// Tokens of a block.
const BLOCK_TOKENS: u32 = (prefix::BLOCK_BYTES / create::BYTES_PER_TOKEN) as u32;

/// Blocks of prompts that were read before, the least recently used first.
#[derive(Debug)]
pub(super) struct Cache {
    limit: usize,
    blocks: VecDeque<u64>,
    events: Vec<Event>,
    lag: Duration,
    gap: u64,
}

#[derive(Debug)]
struct Event {
    at: Instant,
    stored: bool,
    block: u64,
}

impl Cache {
    pub(super) fn new(options: &Options) -> Self {
        Self {
            limit: options.cache_blocks,
            blocks: VecDeque::new(),
            events: Vec::new(),
            lag: options.cache_lag,
            gap: options.cache_gap,
        }
    }

    /// Reads a prompt through the cache; returns how many of its tokens were there.
    pub(super) fn read(&mut self, prompt: &str, now: Instant) -> u32 {
        let mut hits = 0;
        let mut leading = true;
        for block in prefix::block_hashes(prompt) {
            let present = self.touch(block, now);
            leading &= present;
            hits += u32::from(leading);
        }
        hits * BLOCK_TOKENS
    }

    /// Makes `block` the most recently used one; returns whether it was there.
    fn touch(&mut self, block: u64, now: Instant) -> bool {
        let place = self.blocks.iter().position(|present| *present == block);
        if let Some(place) = place {
            self.blocks.remove(place);
        } else {
            self.note(now, true, block);
        }
        self.blocks.push_back(block);
        if self.blocks.len() > self.limit
            && let Some(removed) = self.blocks.pop_front()
        {
            self.note(now, false, removed);
        }
        place.is_some()
    }

    fn note(&mut self, at: Instant, stored: bool, block: u64) {
        self.events.push(Event { at, stored, block });
    }

    /// The published events after number `after`, counted from 1.
    pub(super) fn events(&self, after: u64) -> Value {
        let published = self
            .events
            .partition_point(|event| event.at.elapsed() >= self.lag);
        let numbered = self.events[..published].iter().zip(1..);
        let events: Vec<Value> = numbered
            .filter(|(_, number)| *number > after && !self.is_lost(*number))
            .map(|(event, number)| render(event, number))
            .collect();
        json!({ "events": events, "last": published })
    }

    const fn is_lost(&self, number: u64) -> bool {
        self.gap != 0 && number.is_multiple_of(self.gap)
    }
}

fn render(event: &Event, number: u64) -> Value {
    let kind = if event.stored { "stored" } else { "removed" };
    json!({ "sequence": number, "kind": kind, "block": format!("{:016x}", event.block) })
}
