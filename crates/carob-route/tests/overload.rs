//! Overload and failures: full upstreams and queues, floods by one account, failing upstreams, retry budgets
//! and crash suspects.

mod common;

use std::time::Duration;

use carob_base::Time;
use carob_route::{
    End, Event, Outcome, Request, Router,
    submit::{Cause, Choice},
};
use common::{config, expect_placement, name, options, request};

fn router(upstreams: usize, slots: u32) -> Router {
    let mut router = Router::new(options());
    router.apply_config(&config(upstreams, 60_000, slots), Time::ZERO);
    router
}

fn of_account(id: u64, account: &str) -> Request {
    Request::new(id, name("draft"), name(account)).with_tokens(50, None)
}

#[test]
fn a_full_queue_refuses_at_once_with_advice() {
    let mut router = Router::new({
        let mut options = options();
        options.queue_limit = 3;
        options
    });
    router.apply_config(&config(1, 60_000, 1), Time::ZERO);
    expect_placement(router.submit(request(0), Time::ZERO));
    for id in 1..=3 {
        assert_eq!(router.submit(request(id), Time::ZERO), Outcome::Queued);
    }
    let Outcome::Refused(refusal) = router.submit(request(4), Time::ZERO) else {
        panic!("the queue is full");
    };
    assert_eq!(refusal.cause, Cause::Overloaded);
    assert!(refusal.retry_after >= Duration::from_secs(1));
    // The router keeps no state of the refused request, so its id can be used again.
    router.cancel(1, Time::ZERO);
    assert_eq!(router.submit(request(4), Time::ZERO), Outcome::Queued);
}

#[test]
fn a_flooding_account_does_not_starve_a_small_one() {
    let mut router = router(1, 4);
    let mut now = Time::ZERO;
    for id in 0..200 {
        router.submit(of_account(id, "a0"), now);
    }
    now = now + Duration::from_millis(100);
    assert_eq!(router.submit(of_account(1_000, "a1"), now), Outcome::Queued);
    // One slot becomes free at a time. The small account must be served within two turns.
    let mut turns = 0;
    for id in 0..4 {
        now = now + Duration::from_millis(50);
        router.finish(id, End::Complete { tokens: 30 }, now);
        turns += 1;
        let served = |event: &Event| matches!(event, Event::Placed(placement) if placement.id == 1_000);
        if router.poll(now).iter().any(served) {
            break;
        }
    }
    assert!(turns <= 2, "served after {turns} turns");
}

#[test]
fn an_account_above_its_limit_is_refused_and_others_are_not() {
    let mut config = config(1, 60_000, 64);
    config
        .accounts
        .get_mut(&name("a0"))
        .expect("configured")
        .max_requests = 2;
    let mut router = Router::new(options());
    router.apply_config(&config, Time::ZERO);
    expect_placement(router.submit(of_account(1, "a0"), Time::ZERO));
    expect_placement(router.submit(of_account(2, "a0"), Time::ZERO));
    let outcome = router.submit(of_account(3, "a0"), Time::ZERO);
    assert!(matches!(outcome, Outcome::Refused(refusal) if refusal.cause == Cause::AccountBusy));
    expect_placement(router.submit(of_account(4, "a1"), Time::ZERO));
}

#[test]
fn short_answers_overtake_long_ones_but_not_for_ever() {
    let mut router = router(1, 1);
    let long = |id| request(id).with_tokens(50, None).with_known_tokens(5_000);
    let short = |id| request(id).with_tokens(50, None).with_known_tokens(10);
    expect_placement(router.submit(short(0), Time::ZERO));
    assert_eq!(router.submit(long(1), Time::ZERO), Outcome::Queued);
    let mut now = Time::ZERO;
    let mut running = 0;
    let mut order = Vec::new();
    for id in 2..60 {
        now = now + Duration::from_millis(200);
        router.submit(short(id), now);
        router.finish(running, End::Complete { tokens: 10 }, now);
        for event in router.poll(now) {
            if let Event::Placed(placement) = event {
                running = placement.id;
                order.push(placement.id);
            }
        }
    }
    let at = order.iter().position(|&id| id == 1);
    assert!(
        at.is_some_and(|at| at > 3),
        "the long answer's turn was {at:?} of {}",
        order.len()
    );
}

#[test]
fn an_upstream_that_is_fast_because_it_fails_attracts_no_work() {
    let mut router = router(3, 64);
    let mut sent_to_bad = 0;
    let mut now = Time::ZERO;
    for id in 0..200 {
        now = now + Duration::from_millis(10);
        let mut outcome = router.submit(request(id), now);
        while let Outcome::Placed(placement) = &outcome {
            if placement.upstream != name("u0") {
                break;
            }
            sent_to_bad += 1;
            outcome = router.retry(id, End::Failed, now);
        }
    }
    assert!(
        sent_to_bad <= 6,
        "{sent_to_bad} of 200 requests went to the failing upstream"
    );
}

#[test]
fn a_failed_upstream_is_probed_with_one_request_and_comes_back() {
    let mut router = router(1, 64);
    expect_placement(router.submit(request(1), Time::ZERO));
    router.finish(1, End::UpstreamDied, Time::ZERO);
    let refused = router.submit(request(2), Time::from_millis(10));
    assert!(matches!(refused, Outcome::Refused(refusal) if refusal.cause == Cause::NoUpstream));
    let later = Time::from_millis(2_000);
    let probe = expect_placement(router.submit(request(3), later));
    assert_eq!(probe.reason.choice, Choice::Probe);
    assert!(!matches!(router.submit(request(4), later), Outcome::Placed(_)));
    router.progress(3, 1, later);
    expect_placement(router.submit(request(5), later));
}

#[test]
fn health_checks_take_an_upstream_out_and_back() {
    let mut router = router(2, 64);
    router.mark_down(&name("u0"), Time::ZERO);
    assert_eq!(
        expect_placement(router.submit(request(1), Time::ZERO)).upstream,
        name("u1")
    );
    router.mark_up(&name("u0"), Time::ZERO);
    assert_eq!(
        expect_placement(router.submit(request(2), Time::ZERO)).upstream,
        name("u0")
    );
}

#[test]
fn an_outage_is_not_amplified_by_retries() {
    let mut router = router(3, 1_000);
    let mut retries = 0;
    for id in 0..300 {
        let now = Time::from_millis(id);
        let mut outcome = router.submit(request(id), now);
        while matches!(outcome, Outcome::Placed(_)) {
            outcome = router.retry(id, End::Failed, now);
            retries += u32::from(matches!(outcome, Outcome::Placed(_)));
        }
    }
    // The budget starts with ten retries and earns ten per hundred requests.
    assert!(retries <= 40, "{retries} retries of 300 requests");
}

#[test]
fn a_hedge_goes_elsewhere_within_the_budget_and_never_waits() {
    let mut router = router(2, 1);
    let first = expect_placement(router.submit(request(1), Time::ZERO));
    let hedge = expect_placement(router.submit(request(2).with_hedge_of(1), Time::ZERO));
    assert_ne!(first.upstream, hedge.upstream);
    let full = router.submit(request(3).with_hedge_of(1), Time::ZERO);
    assert!(matches!(full, Outcome::Refused(_)), "{full:?}");
}

#[test]
fn a_suspect_runs_without_neighbours_and_keeps_others_away() {
    let mut router = router(2, 64);
    let innocent = expect_placement(router.submit(request(1), Time::ZERO));
    let suspect = expect_placement(router.submit(request(2).with_exclusive(true), Time::ZERO));
    assert_ne!(innocent.upstream, suspect.upstream);
    assert_eq!(suspect.reason.choice, Choice::Exclusive);
    assert_eq!(
        router.submit(request(3).with_exclusive(true), Time::ZERO),
        Outcome::Queued
    );
    router.cancel(3, Time::ZERO);
    assert_eq!(
        expect_placement(router.submit(request(4), Time::ZERO)).upstream,
        innocent.upstream
    );
}

#[test]
fn a_wait_that_cannot_end_in_time_is_refused_at_once() {
    let mut router = router(1, 1);
    let long = |id| request(id).with_known_tokens(1_000);
    let mut now = Time::ZERO;
    expect_placement(router.submit(long(0), now));
    router.submit(long(1), now);
    // One request completes per second, so that the placement rate becomes known.
    for id in 0..6 {
        now = now + Duration::from_secs(1);
        router.finish(id, End::Complete { tokens: 1_000 }, now);
        router.submit(long(id + 2), now);
        router.poll(now);
    }
    let outcomes: Vec<Outcome> = (100..130).map(|id| router.submit(long(id), now)).collect();
    let refused = outcomes
        .iter()
        .filter(|outcome| matches!(outcome, Outcome::Refused(_)))
        .count();
    let queued = outcomes
        .iter()
        .filter(|outcome| matches!(outcome, Outcome::Queued))
        .count();
    assert!(refused > 15 && queued > 2, "{queued} queued, {refused} refused");
}
