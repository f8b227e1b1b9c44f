//! Direct and indirect probes of other instances.

use std::{collections::BTreeMap, time::Duration};

use carob_base::Time;
use rand::{RngExt as _, rngs::SmallRng, seq::SliceRandom as _};

/// Maximum number of relays asked to probe an instance that did not answer directly.
pub(crate) const RELAYS: usize = 3;
/// Time for which a relayed ping is remembered, so that its answer can be passed on to the requester.
const RELAY_LIFETIME: Duration = Duration::from_secs(2);

/// The probe in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Probe {
    pub(crate) target: u32,
    pub(crate) number: u32,
    /// When the direct ping was sent.
    pub(crate) sent: Time,
    /// Whether relays have been asked.
    pub(crate) relayed: bool,
    pub(crate) answered: bool,
}

/// A ping sent on behalf of another instance.
#[derive(Clone, Copy, Debug)]
struct RelayedPing {
    requester: u32,
    /// The requester's number of the ping.
    number: u32,
    until: Time,
}

/// Schedule of probes, the probe in progress, and pings relayed for others.
#[derive(Clone, Debug)]
pub(crate) struct Prober {
    pub(crate) probe: Option<Probe>,
    pub(crate) next_probe: Time,
    /// Targets left in this round, last first.
    order: Vec<u32>,
    /// Number of the last ping.
    number: u32,
    /// Pings sent on behalf of others, by their number here.
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

    /// The next instance to probe. Each round covers every one of `candidates` once, in a new random order.
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

    /// Allocates the number of a new ping.
    pub(crate) fn next_number(&mut self) -> u32 {
        self.number = self.number.wrapping_add(1);
        self.number
    }

    /// Records a ping on behalf of `requester`, which numbers it `number`; returns its number here.
    pub(crate) fn record_relay(&mut self, requester: u32, number: u32, now: Time) -> u32 {
        self.relayed.retain(|_, relayed| relayed.until > now);
        let relay_number = self.next_number();
        let until = now + RELAY_LIFETIME;
        let relayed = RelayedPing {
            requester,
            number,
            until,
        };
        self.relayed.insert(relay_number, relayed);
        relay_number
    }

    /// Records the answer to a ping; returns the requester and its number if the ping was relayed for another
    /// instance.
    pub(crate) fn record_ack(&mut self, number: u32) -> Option<(u32, u32)> {
        if let Some(probe) = &mut self.probe
            && probe.number == number
        {
            probe.answered = true;
        }
        let relayed = self.relayed.remove(&number)?;
        Some((relayed.requester, relayed.number))
    }

    /// Abandons the probe in progress without suspecting its target.
    pub(crate) fn abandon(&mut self, next: Time) {
        self.probe = None;
        self.next_probe = next;
    }

    /// Chooses up to [`RELAYS`] of `candidates` other than `target` at random.
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
