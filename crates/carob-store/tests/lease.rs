//! A lease's holder never acts after the lease may have ended. It would if it counted the lease's time from
//! the store's reply, or if it trusted a lease across a pause of its process.

use std::time::Duration;

use carob_base::Time;
use carob_store::{Backoff, Call, Failure, Lease, LeaseRenewer, Reply, backoff, lease::Options};

const TTL: Duration = Duration::from_secs(10);

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

const LEASED: Result<Reply, Failure> = Ok(Reply::Leased {
    lease: Lease(7),
    ttl: TTL,
});

/// A holder that was granted a lease at second 0.
fn holder() -> LeaseRenewer {
    let mut holder = LeaseRenewer::new(Options::default());
    assert_eq!(holder.poll(at(0)), Some(Call::Grant { ttl: TTL }));
    holder.on_reply(&LEASED, at(0));
    holder
}

#[test]
fn a_granted_lease_is_valid_for_less_than_its_time() {
    let holder = holder();
    assert_eq!(holder.valid_lease(at(7)), Some(Lease(7)));
    assert_eq!(holder.valid_lease(at(8)), None);
}

#[test]
fn a_renewal_extends_it_from_the_moment_it_was_sent() {
    let mut holder = holder();
    assert_eq!(holder.poll(at(4)), Some(Call::Renew { lease: Lease(7) }));
    assert_eq!(holder.poll(at(5)), None, "one call at a time");
    holder.on_reply(&LEASED, at(6));
    assert_eq!(holder.valid_until(), at(12));
}

#[test]
fn a_pause_of_30_s_ends_it_whatever_reply_waits() {
    let mut holder = holder();
    holder.poll(at(4));
    // The process is paused, and the reply to the call of second 4 is read at second 34.
    assert_eq!(holder.valid_lease(at(34)), None);
    holder.on_reply(&LEASED, at(34));
    assert_eq!(holder.valid_lease(at(34)), None);
    // The holder requests a new lease and may act under that one.
    assert_eq!(holder.poll(at(34)), Some(Call::Grant { ttl: TTL }));
    holder.on_reply(&LEASED, at(34));
    assert_eq!(holder.valid_lease(at(34)), Some(Lease(7)));
}

#[test]
fn a_lapsed_lease_is_given_up_at_once() {
    let mut holder = holder();
    holder.poll(at(4));
    holder.on_reply(&Err(Failure::LeaseLapsed), at(4));
    assert_eq!(holder.valid_lease(at(4)), None);
    assert!(matches!(holder.poll(at(4)), Some(Call::Grant { .. })));
}

#[test]
fn an_outage_leaves_it_until_its_time_is_over() {
    let mut holder = holder();
    let mut calls = 0;
    for millis in (4_000..60_000).step_by(100) {
        let now = Time::from_millis(millis);
        assert_eq!(holder.valid_lease(now).is_some(), millis < 8_000);
        if holder.poll(now).is_some() {
            calls += 1;
            holder.on_reply(&Err(Failure::Unavailable), now);
        }
    }
    assert!(calls < 40, "{calls} calls in 56 s");
}

#[test]
fn closing_revokes_it() {
    assert_eq!(holder().close(), Some(Call::Revoke { lease: Lease(7) }));
    assert_eq!(LeaseRenewer::new(Options::default()).close(), None);
}

#[test]
fn delays_grow_are_bounded_and_differ_between_instances() {
    let limit = backoff::Options::default().max_delay;
    let mut delays: Vec<_> = (0..100)
        .map(|seed| {
            let mut backoff = Backoff::new(seed);
            (0..20).for_each(|_| assert!(backoff.next_delay() <= limit));
            backoff.next_delay()
        })
        .collect();
    delays.sort_unstable();
    assert!(
        delays[20] < limit / 2 && delays[80] > limit / 2,
        "spread over the whole range"
    );
    let mut backoff = Backoff::new(1);
    for _ in 0..50 {
        backoff.next_delay();
    }
    backoff.reset();
    assert!(backoff.next_delay() <= backoff::Options::default().initial);
}
