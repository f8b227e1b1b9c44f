//! Stateful fuzz test of streamed answers: deliveries of several instances in virtual time, with injected
//! faults.
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

/// Text deltas of an answer that outlasts the test case; its caller disconnects at the end.
const ENDLESS: u64 = 20_000;

/// One step of a test case. Indices are taken modulo the number of candidates.
#[derive(Clone, Debug)]
enum Step {
    /// A caller requests an answer of this many text deltas, buffered if `whole`.
    Ask {
        instance: usize,
        pieces: u64,
        whole: bool,
    },
    /// Time passes.
    Pass { millis: u64 },
    /// A fault is injected; the index selects what it affects.
    Fault(Fault, usize),
}

/// Faults that are injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An engine's process ends; its connections break.
    Kill,
    /// An engine's machine disappears; its connections fall silent.
    Vanish,
    /// An engine that is down restarts under the same address and numbers its answers from the start again.
    Restart,
    /// An engine restarts immediately under the same address.
    Replace,
    /// An engine makes no progress for 20 s.
    Stall,
    /// An engine is unreachable for 4 s; what it sent in this time arrives later.
    Cut,
    /// A connection stays silent from now on.
    Silence,
    /// A connection breaks.
    Break,
    /// A connection repeats up to two events.
    Repeat,
    /// A connection skips an event.
    Skip,
    /// A connection continues with the events of another answer.
    Swap,
    /// An instance is paused for 7 s.
    Pause,
    /// An instance dies; its callers resume or repeat their requests at another one.
    Crash,
    /// A caller disconnects and does not return.
    Leave,
    /// A caller's connection breaks and the caller resumes at another instance.
    Resume,
}

/// The faults that test cases choose from.
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

/// The reference only counts steps; the oracle checks what callers received.
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
            } => state.new_call(instance, pieces, whole),
            Step::Pass { millis } => state.advance(Duration::from_millis(millis)),
            Step::Fault(fault, pick) => state.inject(fault, pick),
        }
        state
    }

    fn check_invariants(state: &World, _ref_state: &u64) {
        oracle::check_all(&state.callers);
    }

    fn teardown(mut state: World, _ref_state: u64) {
        state.quiesce();
        oracle::check_all(&state.callers);
        oracle::check_ended(&state.callers);
        state.check_engines_idle();
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
