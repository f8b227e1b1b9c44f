//! The seeded arrival process.
//!
//! Arrivals form a Poisson process in each phase and do not depend on answers: a slow system meets the same
//! load as a fast one. The same workload and seed give the same arrivals on every machine.

use std::time::Duration;

use carob_base::Time;
use rand::{Rng, RngExt as _, SeedableRng as _, rngs::Xoshiro256PlusPlus};
use rand_distr::{Distribution as _, Exp1};

use crate::workload::{AccountKey, BehaviourMix, ClassKey, PhaseKey, Workload};

carob_base::plain! {
    /// How the caller behaves in one exchange.
    pub enum Behaviour {
        /// Reads to the end.
        Steady,
        /// Leaves after some events and never comes back.
        Vanish {
            /// Events read before.
            after: u32,
        },
        /// Pauses after each event.
        Slow {
            /// Length of the pause.
            pause: Duration,
        },
        /// Loses the connection once and resumes.
        Resume {
            /// Events read before.
            after: u32,
        },
        /// Sends the request again when it has ended.
        Repeat,
        /// Sends two copies of the request at the same time.
        Duplicate,
    }

    /// One exchange that is to begin.
    pub struct Arrival {
        /// Position in the run, counted from 0.
        pub number: u32,
        /// Point in time from the start of the run.
        pub at: Time,
        /// The phase that it falls into.
        pub phase: PhaseKey,
        /// The class of its request.
        pub class: ClassKey,
        /// The account that sends it.
        pub account: AccountKey,
        /// Length of the prompt, in tokens.
        pub prompt: u32,
        /// Length of the answer, in tokens.
        pub output: u32,
        /// How the caller behaves.
        pub behaviour: Behaviour,
        /// Seed for whatever else the exchange draws, such as its key and text.
        pub seed: u64,
    }
}

/// The arrivals of a workload, in the order of time.
#[derive(Clone, Debug)]
pub struct Arrivals<'a> {
    workload: &'a Workload,
    rng: Xoshiro256PlusPlus,
    number: u32,
    phase: u16,
    /// End of the present phase.
    end: Time,
    now: Time,
}

impl<'a> Arrivals<'a> {
    /// The arrivals of `workload` that belong to `seed`.
    pub fn new(workload: &'a Workload, seed: u64) -> Self {
        let end = workload.phases.first().map(|phase| Time::ZERO + phase.duration);
        Self {
            workload,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            number: 0,
            phase: 0,
            end: end.unwrap_or(Time::ZERO),
            now: Time::ZERO,
        }
    }

    /// Moves to the next arrival's time; false at the end of the last phase.
    fn advance(&mut self) -> bool {
        loop {
            let Some(phase) = self.workload.phases.get(usize::from(self.phase)) else {
                return false;
            };
            let rate = self.workload.rate as f64 / 1e3 * f64::from(phase.rate_percent) / 100.0;
            let wait: f64 = Exp1.sample(&mut self.rng);
            let at = self.now + Duration::from_secs_f64((wait / rate.max(1e-3)).min(1e6));
            if at < self.end {
                self.now = at;
                return true;
            }
            // The process has no memory, so that it may start afresh with the next phase.
            self.now = self.end;
            self.phase += 1;
            if let Some(next) = self.workload.phases.get(usize::from(self.phase)) {
                self.end = self.end + next.duration;
            }
        }
    }
}

impl Iterator for Arrivals<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        if self.number >= self.workload.max_arrivals || !self.advance() {
            return None;
        }
        let rng = &mut self.rng;
        let shares = self.workload.accounts.iter().map(|account| account.weight);
        let account = AccountKey(pick(rng, shares) as u16);
        let mix = &self.workload.account(account).mix;
        let (key, _) = mix[pick(rng, mix.iter().map(|(_, weight)| *weight))];
        let class = self.workload.class(key);
        let prompt = class.prompt.sample(rng);
        let output = class.output.sample(rng);
        let behaviour = draw_behaviour(rng, class.behaviours, output);
        let arrival = Arrival {
            number: self.number,
            at: self.now,
            phase: PhaseKey(self.phase),
            class: key,
            account,
            prompt,
            output,
            behaviour,
            seed: rng.random(),
        };
        self.number += 1;
        Some(arrival)
    }
}

/// Draws a position in proportion to `weights`, whose sum must not be zero.
fn pick(rng: &mut impl Rng, weights: impl Iterator<Item = u32> + Clone) -> usize {
    let total = weights.clone().map(u64::from).sum::<u64>();
    let mut left = rng.random_range(0..total);
    for (at, weight) in weights.enumerate() {
        let weight = u64::from(weight);
        if left < weight {
            return at;
        }
        left -= weight;
    }
    unreachable!("the draw is below the sum of the weights")
}

fn draw_behaviour(rng: &mut impl Rng, behaviours: BehaviourMix, output: u32) -> Behaviour {
    let mut left = rng.random_range(0..100_u32);
    let after = rng.random_range(1..=output);
    let shares = [
        (behaviours.vanish, Behaviour::Vanish { after }),
        (
            behaviours.slow,
            Behaviour::Slow {
                pause: behaviours.pause,
            },
        ),
        (behaviours.resume, Behaviour::Resume { after }),
        (behaviours.repeat, Behaviour::Repeat),
        (behaviours.duplicate, Behaviour::Duplicate),
    ];
    for (share, behaviour) in shares {
        let share = u32::from(share);
        if left < share {
            return behaviour;
        }
        left -= share;
    }
    Behaviour::Steady
}
