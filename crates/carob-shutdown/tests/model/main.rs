//! Model test of the shutdown of an instance, in virtual time: connections, requests, upstreams that take any
//! time, signals and changes of the settings, in any order.
//!
//! `CAROB_MODEL_CASES` and `CAROB_MODEL_SEED` set the number of cases and the seed of a long run; with
//! `--nocapture` the counts are printed.

mod instance;
mod oracle;
mod steps;

use std::time::Duration;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use instance::{Instance, Limits};
use oracle::Oracle;
use steps::Step;

/// Seed of the run in CI.
const SEED: u64 = 20_261_204;
/// Cases of the run in CI, of 30 steps on average.
const CASES: u32 = 400;
/// Resolution of the timers of the runtime.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

/// The reference holds the limits of the case; the oracle checks what the instance does.
struct Reference;

impl ReferenceStateMachine for Reference {
    type State = Limits;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Limits> {
        steps::limits().boxed()
    }

    fn transitions(_: &Limits) -> BoxedStrategy<Step> {
        steps::step().boxed()
    }

    fn apply(state: Limits, _: &Step) -> Limits {
        state
    }
}

/// Runs the steps on an instance, and checks after each of them.
struct Model;

impl StateMachineTest for Model {
    type SystemUnderTest = (Instance, Oracle);
    type Reference = Reference;

    fn init_test(ref_state: &Limits) -> (Instance, Oracle) {
        (Instance::new(*ref_state), Oracle::default())
    }

    fn apply(
        (mut instance, mut oracle): Self::SystemUnderTest,
        _: &Limits,
        transition: Step,
    ) -> Self::SystemUnderTest {
        transition.apply(&mut instance, &mut |now| oracle.check(now));
        (instance, oracle)
    }

    fn teardown((mut instance, mut oracle): Self::SystemUnderTest, _: Limits) {
        Step::Signal.apply(&mut instance, &mut |now| oracle.check(now));
        Step::Pass(steps::FOREVER).apply(&mut instance, &mut |now| oracle.check(now));
        oracle.count(&instance);
    }
}

fn number(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs the cases on instances with the limits that `change` makes of the generated ones.
fn run(change: fn(Limits) -> Limits) {
    let config = Config {
        cases: number("CAROB_MODEL_CASES", CASES.into()) as u32,
        rng_seed: RngSeed::Fixed(number("CAROB_MODEL_SEED", SEED)),
        failure_persistence: None,
        ..Config::default()
    };
    let strategy = Reference::sequential_strategy(10..50);
    let run = TestRunner::new(config.clone()).run(&strategy, |(limits, steps, seen)| {
        Model::test_sequential(config.clone(), change(limits), steps, seen);
        Ok(())
    });
    oracle::print_counts();
    if let Err(error) = run {
        panic!("{error}");
    }
}

#[test]
fn a_request_is_lost_in_a_shutdown_or_the_exit_is_early_or_late() {
    run(|limits| limits);
}

/// A request that was read has to be answered unless an upstream works on it.
#[test]
fn a_request_in_the_queue_is_unanswered_at_the_exit() {
    run(|limits| Limits {
        answers_queued: true,
        ..limits
    });
}

/// The deadline of a request and the exit may be a microsecond apart, and timers have a resolution of 1 ms.
#[test]
fn a_final_answer_a_millisecond_after_its_deadline_is_too_late_for_the_exit() {
    run(|limits| Limits {
        lag: TIMER_RESOLUTION,
        ..limits
    });
}
