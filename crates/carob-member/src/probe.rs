//! Direct and indirect probes of other instances.

use std::{collections::BTreeMap, time::Duration};

use carob_base::Time;
use rand::{RngExt as _, rngs::SmallRng, seq::SliceRandom as _};

/// Instances that are asked to probe one that did not answer directly.
pub(crate) const RELAYS: usize = 3;
/// How long an answer to a ping on behalf of another instance is waited for.
const RELAY_LIFETIME: Duration = Duration::from_secs(2);

/// The probe in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Probe {
    pub(crate) target: u32,
    pub(crate) number: u32,
    pub(crate) sent: Time,
    /// Whether others were asked.
    pub(crate) relayed: bool,
    pub(crate) answered: bool,
}

/// A ping on behalf of another instance.
#[derive(Clone, Copy, Debug)]
struct RelayedPing {
    requester: u32,
    number: u32,
    until: Time,
}

/// The order of probes and the probes in progress.
#[derive(Clone, Debug)]
pub(crate) struct Prober {
    pub(crate) probe: Option<Probe>,
    pub(crate) next_probe: Time,
    order: Vec<u32>,
    number: u32,
    relayed: BTreeMap<u32, RelayedPing>,
}

impl Prober {
    pub(crate) fn new() -> Self {
        Self {
            probe: None,
            next_probe: Time::ZERO,
            order: Vec::new(),
            number: 0,
            relayed: BTreeMap::new(),
        }
    }

    /// The next instance to probe: every one of `candidates` once, in random order, then again.
    pub(crate) fn next_target(&mut self, candidates: &[u32], rng: &mut SmallRng) -> Option<u32> {
        loop {
            if let Some(id) = self.order.pop() {
                if candidates.contains(&id) {
                    return Some(id);
                }
                continue;
            }
            if candidates.is_empty() {
                return None;
            }
            self.order = candidates.to_vec();
            self.order.shuffle(rng);
        }
    }

    /// A number for a new ping.
    pub(crate) fn next_number(&mut self) -> u32 {
        self.number = self.number.wrapping_add(1);
        self.number
    }

    /// Notes a ping on behalf of `requester`; returns its number.
    pub(crate) fn record_relay(&mut self, requester: u32, number: u32, now: Time) -> u32 {
        self.relayed.retain(|_, relayed| relayed.until > now);
        let own = self.next_number();
        let until = now + RELAY_LIFETIME;
        let relayed = RelayedPing {
            requester,
            number,
            until,
        };
        self.relayed.insert(own, relayed);
        own
    }

    /// Takes in an answer; returns the requester and its number if the ping was on behalf of another instance.
    pub(crate) fn record_ack(&mut self, number: u32) -> Option<(u32, u32)> {
        if let Some(probe) = &mut self.probe
            && probe.number == number
        {
            probe.answered = true;
        }
        let relayed = self.relayed.remove(&number)?;
        Some((relayed.requester, relayed.number))
    }

    /// Gives up the probe in progress without a conclusion.
    pub(crate) fn abandon(&mut self, next: Time) {
        self.probe = None;
        self.next_probe = next;
    }

    /// Up to [`RELAYS`] random ones of `candidates` other than `target`.
    pub(crate) fn choose_relays(candidates: &[u32], target: u32, rng: &mut SmallRng) -> Vec<u32> {
        let mut others: Vec<_> = candidates.iter().copied().filter(|id| *id != target).collect();
        let count = others.len().min(RELAYS);
        for index in 0..count {
            let other = rng.random_range(index..others.len());
            others.swap(index, other);
        }
        others.truncate(count);
        others
    }
}
