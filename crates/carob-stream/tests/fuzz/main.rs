//! Stateful fuzz test of streamed answers: several instances' deliveries in virtual time.
//!
//! `CAROB_FUZZ_CASES` and `CAROB_FUZZ_SEED` set the number of cases and the seed of a long run; with
//! `--nocapture` the counts are printed.

mod engine;
mod faults;
mod oracle;
mod stats;
mod world;

use std::time::Duration;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use stats::Stats;
use world::World;

/// Seed of the run in CI.
const SEED: u64 = 20_261_203;
/// Cases of the run in CI.
const CASES: u32 = 48;

/// Pieces of an answer that outlasts the test case; its caller goes away at the end.
const ENDLESS: u64 = 20_000;

/// One step of a test case. Indices are taken modulo the number of things that they choose from.
#[derive(Clone, Debug)]
enum Step {
    /// A caller asks for an answer of this many pieces of text.
    Ask {
        instance: usize,
        pieces: u64,
        whole: bool,
    },
    /// Time passes.
    Pass { millis: u64 },
    /// Something goes wrong.
    Fault(Fault, usize),
}

/// What can go wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An engine dies; its connections break.
    Kill,
    /// An engine vanishes; its connections go silent.
    Vanish,
    /// A dead engine starts again under the same address, and counts its ids from the start.
    Restart,
    /// An engine restarts at once under the same address.
    Replace,
    /// An engine makes no progress for 20 s.
    Stall,
    /// An engine cannot be reached for 4 s; what was sent meanwhile arrives later.
    Cut,
    /// A connection goes silent for good.
    Silence,
    /// A connection breaks.
    Break,
    /// A connection brings an event again.
    Repeat,
    /// A connection leaves an event out.
    Skip,
    /// A connection goes on with the events of another answer.
    Swap,
    /// An instance is paused for 7 s.
    Pause,
    /// An instance dies; its callers resume elsewhere or ask again.
    Crash,
    /// A caller goes away for good.
    Leave,
    /// A caller's connection breaks and it resumes at another instance.
    Resume,
}

/// Every kind of fault.
pub const FAULTS: [Fault; 15] = [
    Fault::Kill,
    Fault::Vanish,
    Fault::Restart,
    Fault::Replace,
    Fault::Stall,
    Fault::Cut,
    Fault::Silence,
    Fault::Break,
    Fault::Repeat,
    Fault::Skip,
    Fault::Swap,
    Fault::Pause,
    Fault::Crash,
    Fault::Leave,
    Fault::Resume,
];

/// The reference only counts steps: the oracle judges what callers received.
struct Reference;

impl ReferenceStateMachine for Reference {
    type State = u64;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u64> {
        Just(0).boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Step> {
        let pieces = prop_oneof![4 => 1_u64..300, 1 => Just(ENDLESS)];
        let ask = (0_usize..3, pieces, prop::bool::weighted(0.25));
        prop_oneof![
            3 => ask.prop_map(|(instance, pieces, whole)| Step::Ask { instance, pieces, whole }),
            4 => (20_u64..1_500).prop_map(|millis| Step::Pass { millis }),
            4 => (prop::sample::select(FAULTS.as_slice()), 0_usize..16)
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
            Step::Ask {
                instance,
                pieces,
                whole,
            } => state.ask(instance, pieces, whole),
            Step::Pass { millis } => state.pass(Duration::from_millis(millis)),
            Step::Fault(fault, pick) => state.inject(fault, pick),
        }
        state
    }

    fn check_invariants(state: &World, _ref_state: &u64) {
        oracle::check_all(&state.callers);
    }

    fn teardown(mut state: World, _ref_state: u64) {
        state.calm_down();
        oracle::check_all(&state.callers);
        oracle::check_ended(&state.callers);
        state.check_engines_are_free();
        Stats::add(&state);
    }
}

fn number(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn callers_receive_every_event_once_in_order_from_one_generation() {
    let config = Config {
        cases: number("CAROB_FUZZ_CASES", CASES.into()) as u32,
        rng_seed: RngSeed::Fixed(number("CAROB_FUZZ_SEED", SEED)),
        failure_persistence: None,
        ..Config::default()
    };
    let strategy = Reference::sequential_strategy(10..60);
    let run = TestRunner::new(config.clone()).run(&strategy, |(state, steps, seen)| {
        Fuzz::test_sequential(config.clone(), state, steps, seen);
        Ok(())
    });
    Stats::print();
    if let Err(error) = run {
        panic!("{error}");
    }
}
