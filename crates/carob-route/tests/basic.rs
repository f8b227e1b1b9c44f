//! Life cycle of a request: placement, queueing, expiry, retry and removal from the configuration.

mod common;

use carob_base::{Name, Time};
use carob_route::{End, Event, Outcome, Request, Router, submit::Cause};
use common::{config, expect_placement, name, options, request};

#[test]
fn places_on_the_near_upstream() {
    let mut router = Router::new(options());
    router.apply_config(&config(3, 10_000, 8), Time::ZERO);
    let placement = expect_placement(router.submit(request(1), Time::ZERO));
    assert_eq!(placement.upstream, name("u0"));
    let line = placement.to_string();
    assert!(
        line.contains("choice=fits") && line.contains("place=domain"),
        "{line}"
    );
}

#[test]
fn queues_when_full_and_places_after_a_finish() {
    let mut router = Router::new(options());
    router.apply_config(&config(1, 100_000, 1), Time::ZERO);
    expect_placement(router.submit(request(1), Time::ZERO));
    assert_eq!(router.submit(request(2), Time::ZERO), Outcome::Queued);
    assert!(router.poll(Time::from_millis(10)).is_empty());
    router.finish(1, End::Complete { tokens: 5 }, Time::from_millis(20));
    assert!(router.deadline() <= Time::from_millis(20));
    let events = router.poll(Time::from_millis(20));
    assert!(
        matches!(&events[..], [Event::Placed(placement)] if placement.id == 2),
        "{events:?}"
    );
    assert_eq!(router.deadline(), Time::NEVER);
}

#[test]
fn refuses_unknown_names_and_too_long_requests_at_once() {
    let mut router = Router::new(options());
    router.apply_config(&config(1, 1_000, 1), Time::ZERO);
    let refused = |router: &mut Router, request: Request| match router.submit(request, Time::ZERO) {
        Outcome::Refused(refusal) => refusal.cause,
        other => panic!("expected a refusal, got {other:?}"),
    };
    let service = Request::new(1, name("nothing"), name("a0"));
    assert_eq!(refused(&mut router, service), Cause::UnknownService);
    let account = Request::new(1, name("draft"), name("nobody"));
    assert_eq!(refused(&mut router, account), Cause::UnknownAccount);
    let long = request(1).with_tokens(900, Some(200));
    assert_eq!(refused(&mut router, long), Cause::TooLong);
}

#[test]
fn expired_waits_are_refused_by_the_next_poll() {
    let mut router = Router::new(options());
    router.apply_config(&config(1, 100_000, 1), Time::ZERO);
    expect_placement(router.submit(request(1), Time::ZERO));
    assert_eq!(router.submit(request(2), Time::ZERO), Outcome::Queued);
    let events = router.poll(Time::from_millis(common::QUEUE_TIMEOUT_MS));
    assert!(
        matches!(&events[..], [Event::Refused(refusal)] if refusal.cause == Cause::Expired),
        "{events:?}"
    );
}

#[test]
fn a_removed_account_is_refused_and_its_running_request_ends_well() {
    let mut router = Router::new(options());
    let full = config(1, 10_000, 8);
    router.apply_config(&full, Time::ZERO);
    expect_placement(router.submit(request(1), Time::ZERO));
    let mut without = full.clone();
    without.accounts.remove(&name("a0"));
    router.apply_config(&without, Time::ZERO);
    let outcome = router.submit(request(2), Time::ZERO);
    assert!(matches!(outcome, Outcome::Refused(refusal) if refusal.cause == Cause::UnknownAccount));
    router.finish(1, End::Complete { tokens: 3 }, Time::from_millis(5));
    router.apply_config(&without, Time::from_millis(6));
    router.apply_config(&full, Time::from_millis(7));
    expect_placement(router.submit(request(3), Time::from_millis(8)));
}

#[test]
fn a_retry_avoids_the_failed_upstream() {
    let mut router = Router::new(options());
    router.apply_config(&config(2, 10_000, 8), Time::ZERO);
    let first: Name = expect_placement(router.submit(request(1), Time::ZERO)).upstream;
    let second = expect_placement(router.retry(1, End::Failed, Time::from_millis(5))).upstream;
    assert_ne!(first, second);
    router.finish(1, End::Complete { tokens: 3 }, Time::from_millis(9));
    assert!(
        router
            .status(Time::from_millis(9))
            .upstreams
            .iter()
            .all(|upstream| upstream.own == 0)
    );
}
