//! Stateful fuzz test of claims: three instances, one store and callers that repeat calls, in virtual time.
//!
//! `CAROB_FUZZ_CASES` and `CAROB_FUZZ_SEED` set the number of cases and the seed of a long run; with
//! `--nocapture` the counts are printed.

mod oracle;
mod store;
mod world;

use std::time::Duration;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use world::{Stats, World};

/// Seed of the run in CI.
const SEED: u64 = 20_261_203;
/// Cases of the run in CI.
const CASES: u32 = 96;

/// One step of a test case. Indices are taken modulo the number of candidates.
#[derive(Clone, Debug)]
enum Step {
    /// A caller sends a call under a new key.
    Ask { instance: usize },
    /// A call is sent again with the same key.
    AskAgain { pick: usize, instance: usize },
    /// Time passes.
    Pass { millis: u64 },
    /// A fault is injected; the index selects what it affects.
    Fault(Fault, usize),
}

/// Faults that are injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// Replies of the store are lost after the calls have taken effect.
    LoseReplies,
    /// Swaps take effect two seconds after their instance has stopped waiting for the reply.
    LateEffects,
    /// The store refuses every call.
    Outage,
    /// An instance is paused, for up to half an hour.
    Pause,
    /// An instance dies and is replaced.
    Crash,
    /// The upstream's answer to the next call is lost.
    Break,
    /// The next call's upstream refuses the connection, so that another one is tried.
    Refuse,
}

const FAULTS: [Fault; 7] = [
    Fault::LoseReplies,
    Fault::LateEffects,
    Fault::Outage,
    Fault::Pause,
    Fault::Crash,
    Fault::Break,
    Fault::Refuse,
];

/// The reference only counts steps; the oracle checks runs and answers.
struct Reference;

impl ReferenceStateMachine for Reference {
    type State = u64;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u64> {
        Just(0).boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Step> {
        let wait = prop_oneof![8 => 1_u64..400, 3 => 400_u64..5_000, 1 => 5_000_u64..1_500_000];
        prop_oneof![
            4 => (0_usize..3).prop_map(|instance| Step::Ask { instance }),
            5 => (0_usize..64, 0_usize..3).prop_map(|(pick, instance)| Step::AskAgain { pick, instance }),
            5 => wait.prop_map(|millis| Step::Pass { millis }),
            4 => (prop::sample::select(FAULTS.as_slice()), 0_usize..24)
                .prop_map(|(fault, pick)| Step::Fault(fault, pick)),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Step) -> u64 {
        state + 1
    }
}

struct Fuzz;

impl StateMachineTest for Fuzz {
    type SystemUnderTest = World;
    type Reference = Reference;

    fn init_test(_ref_state: &u64) -> World {
        World::new()
    }

    fn apply(mut state: World, _ref_state: &u64, transition: Step) -> World {
        match transition {
            Step::Ask { instance } => state.new_call(instance),
            Step::AskAgain { pick, instance } => state.repeat_call(pick, instance),
            Step::Pass { millis } => state.advance(Duration::from_millis(millis)),
            Step::Fault(fault, pick) => state.inject(fault, pick),
        }
        state
    }

    fn check_invariants(state: &World, _ref_state: &u64) {
        oracle::check(&state.attempts);
    }

    fn teardown(mut state: World, _ref_state: u64) {
        state.quiesce();
        oracle::check(&state.attempts);
        Stats::add(&state);
    }
}

fn number(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn no_key_runs_twice_and_not_run_is_true() {
    let config = Config {
        cases: number("CAROB_FUZZ_CASES", CASES.into()) as u32,
        rng_seed: RngSeed::Fixed(number("CAROB_FUZZ_SEED", SEED)),
        failure_persistence: None,
        ..Config::default()
    };
    let strategy = Reference::sequential_strategy(10..80);
    let run = TestRunner::new(config.clone()).run(&strategy, |(state, steps, seen)| {
        Fuzz::test_sequential(config.clone(), state, steps, seen);
        Ok(())
    });
    Stats::print();
    if let Err(error) = run {
        panic!("{error}");
    }
}
