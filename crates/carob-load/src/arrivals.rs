//! The seeded arrival process.
//!
//! Arrivals form a Poisson process in each phase and do not depend on answers: a slow system gets the same
//! load as a fast one. The same workload and seed give the same arrivals on every machine.

use std::time::Duration;

use carob_base::Time;
use rand::{Rng, RngExt as _, SeedableRng as _, rngs::Xoshiro256PlusPlus};
use rand_distr::{Distribution as _, Exp1};

use crate::workload::{AccountKey, BehaviourMix, ClassKey, PhaseKey, Workload};

carob_base::plain! {
    /// How the caller behaves in one exchange.
    pub enum Behaviour {
        /// Reads the answer to its end.
        Steady,
        /// Disconnects in the middle of the answer and does not resume it.
        Vanish {
            /// Tokens read before the disconnection.
            after: u32,
        },
        /// Pauses after each token.
        Slow {
            /// Time without reading after each token.
            pause: Duration,
        },
        /// Closes the connection once in the middle of the answer and resumes it.
        Resume {
            /// Tokens read before the connection is closed.
            after: u32,
        },
        /// Sends the request again, with the same idempotency key, after the first one has ended.
        Repeat,
        /// Sends two copies of the request at the same time, with the same idempotency key.
        Duplicate,
    }

    /// One exchange to be started.
    pub struct Arrival {
        /// Index within the run, counted from 0.
        pub number: u32,
        /// Time since the start of the run.
        pub at: Time,
        /// Phase that contains `at`.
        pub phase: PhaseKey,
        /// Class of the request.
        pub class: ClassKey,
        /// Client account that sends the request.
        pub account: AccountKey,
        /// Length of the prompt in tokens; of a plain call's body in bytes.
        pub prompt: u32,
        /// Length of the answer, in tokens.
        pub output: u32,
        /// What the caller does during the exchange.
        pub behaviour: Behaviour,
        /// Seed for further random values of the exchange: its tag and its idempotency key.
        pub seed: u64,
    }
}

/// Iterator over the arrivals of a workload, ordered by time.
#[derive(Clone, Debug)]
pub struct Arrivals<'a> {
    workload: &'a Workload,
    rng: Xoshiro256PlusPlus,
    number: u32,
    phase: u16,
    phase_end: Time,
    now: Time,
}

impl<'a> Arrivals<'a> {
    /// Starts the sequence of arrivals that `workload` and `seed` determine.
    pub fn new(workload: &'a Workload, seed: u64) -> Self {
        let end = workload.phases.first().map(|phase| Time::ZERO + phase.duration);
        Self {
            workload,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            number: 0,
            phase: 0,
            phase_end: end.unwrap_or(Time::ZERO),
            now: Time::ZERO,
        }
    }

    /// Advances to the time of the next arrival; returns false at the end of the last phase.
    fn advance(&mut self) -> bool {
        loop {
            let Some(phase) = self.workload.phases.get(usize::from(self.phase)) else {
                return false;
            };
            let rate = self.workload.rate as f64 / 1e3 * f64::from(phase.rate_percent) / 100.0;
            let wait: f64 = Exp1.sample(&mut self.rng);
            let at = self.now + Duration::from_secs_f64((wait / rate.max(1e-3)).min(1e6));
            if at < self.phase_end {
                self.now = at;
                return true;
            }
            // A Poisson process is memoryless, so it can restart at the beginning of the next phase.
            self.now = self.phase_end;
            self.phase += 1;
            if let Some(next) = self.workload.phases.get(usize::from(self.phase)) {
                self.phase_end = self.phase_end + next.duration;
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
        let weights = self.workload.accounts.iter().map(|account| account.weight);
        let account = AccountKey(weighted_index(rng, weights) as u16);
        let mix = &self.workload.account(account).mix;
        let (key, _) = mix[weighted_index(rng, mix.iter().map(|(_, weight)| *weight))];
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

/// Draws an index with a probability in proportion to `weights`, whose sum must not be zero.
fn weighted_index(rng: &mut impl Rng, weights: impl Iterator<Item = u32> + Clone) -> usize {
    let total = weights.clone().map(u64::from).sum::<u64>();
    let mut remaining = rng.random_range(0..total);
    for (index, weight) in weights.enumerate() {
        let weight = u64::from(weight);
        if remaining < weight {
            return index;
        }
        remaining -= weight;
    }
    unreachable!("the draw is below the sum of the weights")
}

fn draw_behaviour(rng: &mut impl Rng, behaviours: BehaviourMix, output: u32) -> Behaviour {
    let mut remaining = rng.random_range(0..100_u32);
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
        if remaining < share {
            return behaviour;
        }
        remaining -= share;
    }
    Behaviour::Steady
}
