//! Upstreams that fall over if they have to reject too many requests, and say so.

mod fleet;

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use carob_platform_standin::{
    Upstream,
    client::{self, Outcome, Request},
};
use fleet::{Fleet, request, wait_until};

const GATEWAYS: usize = 4;
const UPSTREAMS: usize = 3;

/// Room of each upstream: requests that run, requests that wait at first, and the time that one takes.
const SLOTS: usize = 4;
const WAITING: usize = 6;
const WORK_TIME: Duration = Duration::from_millis(100);

/// Time in which the fleet learns; then upstreams let nothing wait any more.
const CONTACT: Duration = Duration::from_secs(4);
/// Time after it for which the upstreams are judged.
const JUDGED: Duration = Duration::from_secs(10);

/// About twice what the upstreams can do.
const INTERVAL: Duration = Duration::from_micros(4_200);

/// Falls that are permitted: a number, and a share of the upstreams.
const FALLS: f64 = 2.0;
const FALLS_SHARE: f64 = 0.1;
/// Share of what the upstreams can do that is served at least.
const SERVED_SHARE: f64 = 0.7;
/// Time within which a request that cannot be served is refused.
const REFUSAL_TIME: Duration = Duration::from_millis(1_500);

/// Held by the test whose fleet runs. A fleet under this load takes about one processor (four gateways 0.55, clients and
/// upstreams 0.36, measured in debug builds); six of them at once on three processors served half of what one serves alone,
/// whatever the gateways decided.
static TURN: Mutex<()> = Mutex::new(());

struct Seen {
    sent: Instant,
    took: Duration,
    outcome: Outcome,
}

struct Rig {
    fleet: Fleet,
    upstreams: Vec<Upstream>,
    seen: Mutex<Vec<Seen>>,
    /// Dropped last, when the processes of the fleet are gone.
    _turn: MutexGuard<'static, ()>,
}

fn read(number: usize) -> Request {
    request(&format!("ba{number:x}"), "GET", &format!("/read/{number}")).with_timeout(Duration::from_secs(3))
}

impl Rig {
    fn start(brittle: Option<&str>) -> Self {
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let fleet = Fleet::start(GATEWAYS);
        let upstreams: Vec<Upstream> = (0..UPSTREAMS)
            .map(|number| fleet.start_plain(&format!("b{number}"), WORK_TIME))
            .collect();
        for upstream in &upstreams {
            upstream.set_room(SLOTS, WAITING);
            upstream.set_brittle(brittle);
            upstream.set_crash_time(Duration::from_secs(3));
        }
        fleet.configure();
        Self {
            fleet,
            upstreams,
            seen: Mutex::default(),
            _turn: turn,
        }
    }

    /// Sends requests to the gateways that `pick` returns, and lets upstreams let nothing wait once the fleet had time
    /// to learn that they are brittle. Calls `poll` with each request.
    fn run(&self, pick: impl Fn(usize) -> usize, poll: impl Fn(Duration)) {
        self.run_for(SERVED_SHARE, pick, poll);
    }

    /// The same with another share of what the upstreams can do.
    fn run_for(&self, share: f64, pick: impl Fn(usize) -> usize, poll: impl Fn(Duration)) {
        let start = Instant::now();
        let mut is_narrow = false;
        thread::scope(|scope| {
            for number in 0.. {
                let elapsed = start.elapsed();
                if elapsed >= CONTACT + JUDGED {
                    return;
                }
                poll(elapsed);
                if elapsed >= CONTACT && !is_narrow {
                    is_narrow = true;
                    for upstream in &self.upstreams {
                        upstream.set_room(SLOTS, 0);
                    }
                }
                let address = self.fleet.gateways[pick(number)].caller_address;
                scope.spawn(move || {
                    let sent = Instant::now();
                    let outcome = client::send(address, &read(number));
                    let took = sent.elapsed();
                    let seen = Seen { sent, took, outcome };
                    self.seen.lock().expect("no client panics").push(seen);
                });
                thread::sleep(
                    (start + INTERVAL * (number as u32 + 1)).saturating_duration_since(Instant::now()),
                );
            }
        });
        let from = start + CONTACT;
        let falls: Vec<_> = self.fleet.ledger.falls();
        let late = falls.iter().filter(|(_, at)| *at >= from).count();
        let seen = self.seen.lock().expect("no client panics");
        let judged: Vec<&Seen> = seen.iter().filter(|seen| seen.sent >= from).collect();
        let served = judged.iter().filter(|seen| seen.outcome.status == 200).count();
        let slowest = judged
            .iter()
            .filter(|seen| seen.outcome.status == 503)
            .map(|seen| seen.took)
            .max();
        let possible = (UPSTREAMS * SLOTS) as f64 * JUDGED.as_secs_f64() / WORK_TIME.as_secs_f64();
        eprintln!(
            "{late} falls of {}, {served} of about {possible} served, slowest refusal {slowest:?}",
            falls.len()
        );
        assert!(
            late as f64 <= FALLS + FALLS_SHARE * UPSTREAMS as f64,
            "{late} falls"
        );
        assert!(served as f64 >= share * possible, "{served} of {possible} served");
        assert!(
            slowest.is_none_or(|slowest| slowest < REFUSAL_TIME),
            "{slowest:?}"
        );
    }
}

#[test]
fn upstreams_that_say_that_they_are_brittle_fall_over_again_and_again() {
    Rig::start(Some("3")).run(|number| number % GATEWAYS, |_| {});
}

#[test]
fn an_upstream_that_endures_no_rejection_gets_one() {
    Rig::start(Some("0")).run(|number| number % GATEWAYS, |_| {});
}

/// The share of the others is not lost.
#[test]
fn places_are_wasted_while_all_requests_come_to_one_gateway() {
    Rig::start(Some("3")).run(|_| 0, |_| {});
}

/// What it holds comes back. Its part of the places is not handed out until its registration lapses, as it may have been
/// cut off with an issuer of its own.
#[test]
fn places_are_lost_with_a_gateway_that_is_killed() {
    let rig = Rig::start(Some("3"));
    let is_killed = std::cell::Cell::new(false);
    // The part of the gateway that is gone is not handed out until its registration lapses: it may have been cut off with
    // an issuer of its own.
    let part = (GATEWAYS - 1) as f64 / GATEWAYS as f64;
    let killed_after = Duration::from_secs(2);
    let left = 1.0 - killed_after.as_secs_f64() / JUDGED.as_secs_f64();
    let room = 1.0 - left * (1.0 - part);
    rig.run_for(
        SERVED_SHARE * room,
        |number| {
            if is_killed.get() {
                number % 3
            } else {
                number % GATEWAYS
            }
        },
        |elapsed| {
            if elapsed >= CONTACT + killed_after && !is_killed.replace(true) {
                rig.fleet.gateways[3].signal("KILL");
            }
        },
    );
}

/// An answer without the header ends it.
#[test]
fn an_upstream_that_is_brittle_no_more_is_held_back() {
    let rig = Rig::start(Some("3"));
    rig.run(|number| number % GATEWAYS, |_| {});
    for upstream in &rig.upstreams {
        upstream.set_brittle(None);
        upstream.set_room(SLOTS, 100);
    }
    for number in 0..20 {
        rig.fleet.send(number % GATEWAYS, &read(100_000 + number));
    }
    wait_until("no gateway takes an upstream for brittle", || {
        let lines = rig.fleet.gateways.iter().map(fleet::Gateway::log_lines);
        lines
            .flatten()
            .filter(|line| line.contains("brittle") && line.contains("\"rejections\":\"none\""))
            .count()
            >= UPSTREAMS
    });
}

/// Texts that are no decimal number change nothing.
#[test]
fn a_number_that_cannot_be_read_holds_requests_back() {
    let rig = Rig::start(Some("-1"));
    for upstream in &rig.upstreams {
        upstream.set_room(SLOTS, 100);
    }
    let answers: Vec<u16> = thread::scope(|scope| {
        let clients: Vec<_> = (0..40)
            .map(|number| {
                scope.spawn({
                    let fleet = &rig.fleet;
                    move || fleet.send(number % GATEWAYS, &read(number)).status
                })
            })
            .collect();
        clients
            .into_iter()
            .map(|client| client.join().expect("no client panics"))
            .collect()
    });
    assert!(answers.iter().all(|status| *status == 200), "{answers:?}");
    assert!(rig.fleet.gateways[0].logged("limit of an upstream cannot be read"));
}
