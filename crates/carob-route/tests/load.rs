//! Load estimation: load reports that are missing, late or out of order, upstreams that leave, the load of
//! other instances, and cache events.

mod common;

use std::time::Duration;

use carob_base::Time;
use carob_route::{End, Options, Outcome, Router, UnreportedLoad, cache};
use carob_wire::load::Report;
use common::{config, expect_placement, name, options, request};
use smallvec::smallvec;

fn report(running: u32, used: u32) -> Report {
    Report {
        incarnation: 1,
        running,
        waiting: 0,
        used_tokens: used,
        memory_tokens: 60_000,
        preemptions: 0,
        leaving: false,
    }
}

fn router(upstreams: usize) -> Router {
    let mut router = Router::new(options());
    router.apply_config(&config(upstreams, 60_000, 64), Time::ZERO);
    router
}

/// Number of requests that the router believes run on the upstream.
fn batch_size(router: &Router, upstream: &str, now: Time) -> u32 {
    let status = router.status(now);
    let found = status.upstreams.iter().find(|other| other.name == name(upstream));
    found.expect("the upstream is configured").batch
}

#[test]
fn a_loaded_upstream_is_avoided() {
    let mut router = router(2);
    router.apply_report(&name("u0"), report(30, 55_000), Time::ZERO, Time::from_millis(1));
    let placement = expect_placement(router.submit(request(1), Time::from_millis(2)));
    assert_eq!(placement.upstream, name("u1"));
}

#[test]
fn an_older_report_does_not_replace_a_newer_one() {
    let mut router = router(1);
    let now = Time::from_millis(900);
    router.apply_report(&name("u0"), report(20, 30_000), Time::from_millis(500), now);
    router.apply_report(&name("u0"), report(1, 1_000), Time::from_millis(100), now);
    assert_eq!(batch_size(&router, "u0", now), 20);
}

#[test]
fn own_requests_are_not_counted_twice() {
    let mut router = router(1);
    for id in 0..4 {
        expect_placement(router.submit(request(id), Time::from_millis(10)));
    }
    // The four above were running when the report was sampled and are counted in it; this one came later.
    expect_placement(router.submit(request(9), Time::from_millis(700)));
    let now = Time::from_millis(900);
    router.apply_report(&name("u0"), report(4, 400), Time::from_millis(500), now);
    assert_eq!(batch_size(&router, "u0", now), 5);
}

#[test]
fn a_request_that_ended_after_a_late_report_is_no_foreign_one() {
    let mut router = router(1);
    expect_placement(router.submit(request(1), Time::from_millis(10)));
    router.finish(1, End::Complete { tokens: 20 }, Time::from_millis(800));
    let now = Time::from_millis(10_500);
    router.apply_report(&name("u0"), report(1, 70), Time::from_millis(500), now);
    assert_eq!(batch_size(&router, "u0", now), 0);
}

#[test]
fn without_any_report_own_dispatches_fill_an_upstream_only_to_its_memory() {
    let mut router = router(1);
    let long = |id| request(id).with_tokens(10_000, None);
    let placed = (0..20).filter(|&id| matches!(router.submit(long(id), Time::ZERO), Outcome::Placed(_)));
    let placed = placed.count();
    assert!(
        (1..6).contains(&placed),
        "{placed} prompts of 10000 tokens on 60000 tokens of memory"
    );
}

#[test]
fn memory_that_fills_in_mid_generation_stops_new_work() {
    let mut router = router(1);
    let mut now = Time::ZERO;
    let mut placed = Vec::new();
    for id in 0..20 {
        now = now + Duration::from_millis(1);
        if let Outcome::Placed(placement) = router.submit(request(id).with_tokens(1_000, None), now) {
            placed.push(placement.id);
        }
    }
    assert!(placed.len() > 5, "{} placed", placed.len());
    // All answers grow far beyond the expected length.
    now = now + Duration::from_mins(1);
    for id in &placed {
        router.progress(*id, 50_000 / placed.len() as u32, now);
    }
    now = now + Duration::from_secs(1);
    let outcome = router.submit(request(100).with_tokens(5_000, None), now);
    assert!(!matches!(outcome, Outcome::Placed(_)), "{outcome:?}");
}

#[test]
fn preemptions_raise_the_caution() {
    let mut router = router(1);
    let margin =
        |router: &mut Router, id, now| expect_placement(router.submit(request(id), now)).reason.margin;
    router.apply_report(
        &name("u0"),
        report(0, 0),
        Time::from_millis(1),
        Time::from_millis(2),
    );
    let before = margin(&mut router, 1, Time::from_millis(3));
    let preempted = Report {
        preemptions: 4,
        ..report(1, 100)
    };
    router.apply_report(
        &name("u0"),
        preempted,
        Time::from_millis(500),
        Time::from_millis(501),
    );
    let after = margin(&mut router, 2, Time::from_millis(502));
    assert!(after > before, "{before} then {after}");
    let faded = margin(&mut router, 3, Time::from_millis(400_000));
    assert!(faded < after, "{after} then {faded}");
}

#[test]
fn a_leaving_or_removed_upstream_gets_no_new_work() {
    let mut router = router(3);
    router.mark_leaving(&name("u0"));
    let leaving = Report {
        leaving: true,
        ..report(0, 0)
    };
    router.apply_report(&name("u1"), leaving, Time::from_millis(1), Time::from_millis(2));
    let now = Time::from_millis(3);
    assert_eq!(
        expect_placement(router.submit(request(1), now)).upstream,
        name("u2")
    );
    let mut config = config(3, 60_000, 64);
    config.upstreams.remove(&name("u2"));
    router.apply_config(&config, now);
    let outcome = router.submit(request(2), now);
    assert!(matches!(outcome, Outcome::Refused(_)), "{outcome:?}");
}

#[test]
fn a_report_from_before_the_announcement_does_not_undo_it() {
    let mut router = router(2);
    let first = report(0, 0);
    router.apply_report(
        &name("u0"),
        first.clone(),
        Time::from_millis(100),
        Time::from_millis(200),
    );
    router.mark_leaving(&name("u0"));
    router.apply_report(&name("u0"), first, Time::from_millis(300), Time::from_millis(900));
    let placement = expect_placement(router.submit(request(1), Time::from_millis(901)));
    assert_eq!(placement.upstream, name("u1"));
    let new = Report {
        incarnation: 2,
        ..report(0, 0)
    };
    router.apply_report(
        &name("u0"),
        new,
        Time::from_millis(5_000),
        Time::from_millis(5_100),
    );
    let placement = expect_placement(router.submit(request(2), Time::from_millis(5_200)));
    assert_eq!(placement.upstream, name("u0"));
}

#[test]
fn instances_do_not_herd_after_a_restart() {
    // Seven freshly started instances see the same reports, in which one upstream has slightly less load than
    // the others. Without random costs and the estimate of other instances' new requests all of them
    // would send their first requests there.
    let mut counts = [0_usize; 9];
    for instance in 0..7 {
        let options = Options::new(name("elsewhere"), name("elsewhere")).with_seed(instance);
        let mut router = Router::new(options);
        router.apply_config(&config(9, 60_000, 64), Time::ZERO);
        for upstream in 0..9_u32 {
            let used = if upstream == 0 { 18_000 } else { 20_000 };
            let upstream = name(&format!("u{upstream}"));
            router.apply_report(
                &upstream,
                report(15, used),
                Time::from_millis(1),
                Time::from_millis(2),
            );
        }
        for other in (0..7).filter(|&other| other != instance) {
            router.update_peer_load(&name(&format!("i{other}")), &[], Time::from_millis(3));
        }
        for id in 0..10 {
            let placement =
                expect_placement(router.submit(request(id).with_tokens(800, None), Time::from_millis(4)));
            let index: usize = placement.upstream.as_str()[1..].parse().expect("a number");
            counts[index] += 1;
        }
    }
    let most = counts.iter().max().copied().unwrap_or(0);
    assert!(most <= 18, "70 requests on 9 upstreams went {counts:?}");
}

#[test]
fn work_that_peers_told_of_counts_until_they_fall_silent() {
    let mut router = router(1);
    let peer_load = UnreportedLoad {
        upstream: name("u0"),
        requests: 30,
        tokens: 58_000,
    };
    router.update_peer_load(
        &name("i1"),
        std::slice::from_ref(&peer_load),
        Time::from_millis(1),
    );
    assert_eq!(router.submit(request(1), Time::from_millis(2)), Outcome::Queued);
    router.update_peer_load(&name("i1"), &[], Time::from_millis(500));
    assert_eq!(router.poll(Time::from_millis(500)).len(), 1);
    router.update_peer_load(&name("i1"), &[peer_load], Time::from_millis(600));
    assert_eq!(router.submit(request(2), Time::from_millis(700)), Outcome::Queued);
    // The peer is unresponsive from here on. Its last message must expire.
    let mut placed = 0;
    for second in 1..18 {
        placed += router.poll(Time::from_millis(second * 1_000)).len();
        // The queued request 2 expires after the queue timeout of 10 s, before the peer's message does after
        // 15 s; only new requests can still be placed then.
        if placed == 0 && second > 9 {
            router.submit(request(100 + second), Time::from_millis(second * 1_000));
        }
    }
    assert!(placed > 0);
}

#[test]
fn own_load_tells_only_what_no_report_covers() {
    let mut router = router(1);
    expect_placement(router.submit(request(1), Time::from_millis(10)));
    assert_eq!(router.unreported_load()[0].requests, 1);
    router.apply_report(
        &name("u0"),
        report(1, 60),
        Time::from_millis(400),
        Time::from_millis(500),
    );
    assert!(router.unreported_load().is_empty());
}

#[test]
fn late_and_lost_cache_events_are_only_hints() {
    let mut router = router(2);
    let stored = |sequence, hash| cache::Event {
        sequence,
        change: cache::Change::Stored(smallvec![hash]),
    };
    // Upstream chosen for a prompt with this prefix, and the percentage of the prompt that is cached there.
    let cached = |router: &mut Router, id, hash| {
        let request = request(id).with_tokens(4_000, None).with_prefix(smallvec![hash]);
        let placement = expect_placement(router.submit(request, Time::from_millis(id)));
        router.finish(id, End::Cancelled { tokens: 0 }, Time::from_millis(id));
        (placement.upstream, placement.reason.cached)
    };
    // Event 2 arrives first, so event 1 counts as lost and is dropped when it arrives late.
    router.apply_cache_events(&name("u1"), &[stored(2, 7)], Time::ZERO);
    router.apply_cache_events(&name("u1"), &[stored(1, 8)], Time::ZERO);
    assert_eq!(cached(&mut router, 1, 7), (name("u1"), 100));
    assert_eq!(cached(&mut router, 2, 8).1, 0);
    router.mark_down(&name("u1"), Time::from_millis(3));
    router.mark_up(&name("u1"), Time::from_millis(4));
    assert_ne!(cached(&mut router, 5, 7), (name("u1"), 100));
}
