//! The model engine, and replays that repeat themselves.

use std::time::Duration;

use carob_base::Time;
use carob_replay::{
    Policy,
    engine::{Engine, Job, Model, Token},
    generate::{Deployment, MODEL, Scenario, Spec},
    run,
};
use carob_route::options::Mechanisms;
use smallvec::smallvec;

/// An engine whose memory is small and whose prefill takes one step.
fn engine(memory: u32) -> Engine {
    Engine::new(Model {
        memory,
        chunk: 10_000,
        ..MODEL
    })
}

fn step(engine: &mut Engine) -> (Duration, Vec<Token>) {
    let took = engine.start_step();
    let mut tokens = Vec::new();
    engine.end_step(&mut tokens);
    (took, tokens)
}

#[test]
fn answers_grow_by_a_token_a_step_and_end() {
    let mut engine = engine(1_000);
    engine.push(Job::new(0, 0, Time::ZERO, 100, 3));
    for produced in 1..=3 {
        let (_, tokens) = step(&mut engine);
        assert_eq!((tokens[0].produced, tokens[0].last), (produced, produced == 3));
    }
    assert!(engine.is_idle());
    assert_eq!(engine.report().used_tokens, 0);
}

#[test]
fn the_latest_request_is_preempted_when_memory_fills_and_ends_later() {
    let mut engine = engine(1_000);
    engine.push(Job::new(0, 0, Time::from_millis(1), 400, 200));
    engine.push(Job::new(1, 0, Time::from_millis(2), 400, 150));
    let mut ended = Vec::new();
    for _ in 0..500 {
        let (_, tokens) = step(&mut engine);
        assert!(engine.report().used_tokens <= 1_000);
        ended.extend(tokens.iter().filter(|token| token.last).map(|token| token.index));
    }
    assert!(engine.preemptions() > 0);
    assert_eq!(ended, [0, 1]);
}

#[test]
fn a_cached_prefix_saves_its_prefill() {
    let mut engine = engine(10_000);
    let job = |index| Job::new(index, 0, Time::ZERO, 2_000, 1).with_prefix(smallvec![(7, 1_900)]);
    engine.push(job(0));
    let (cold, _) = step(&mut engine);
    engine.push(job(1));
    let (warm, _) = step(&mut engine);
    assert!(warm < cold / 2, "{cold:?} then {warm:?}");
    assert_eq!(engine.take_cache_change().stored, [7]);
}

#[test]
fn steps_take_longer_with_a_larger_batch() {
    let mut small = engine(100_000);
    let mut large = engine(100_000);
    small.push(Job::new(0, 0, Time::ZERO, 10, 100));
    for index in 0..40 {
        large.push(Job::new(index, 0, Time::ZERO, 10, 100));
    }
    step(&mut small);
    step(&mut large);
    assert!(step(&mut large).0 > step(&mut small).0);
}

#[test]
fn the_same_trace_and_seed_give_the_same_report() {
    let span = Duration::from_secs(20);
    let trace = Spec::new(Deployment::Saarela, Scenario::Burst, 4)
        .with_span(span)
        .trace();
    let policy = Policy::Product(Mechanisms::ALL);
    let (first, second) = (run(&trace, policy, 9), run(&trace, policy, 9));
    assert_eq!(first.to_string(), second.to_string());
    assert_eq!(first.stall, second.stall);
}
