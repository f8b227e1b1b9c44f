//! Upstreams that are cold, and crash if they get too many requests from all gateways together.

mod fleet;

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::{Duration, Instant},
};

use carob_platform_standin::client;
use fleet::{Fleet, request};

const GATEWAYS: usize = 3;
const WORK_TIME: Duration = Duration::from_millis(15);
const INTERVAL: Duration = Duration::from_millis(10);

/// Rate of the stand-in's services, and what an upstream may get in a second.
const RATE: f64 = 26.0;
const MOST: usize = 44;

/// Time for which the upstreams are cold, and after which permits are issued.
const COLD: Duration = Duration::from_secs(8);
const START: Duration = Duration::from_secs(3);

/// Upstreams got requests beyond their rate while they were cold, or few of them; or their cold state did not end.
#[test]
fn cold_upstreams_get_more_requests_than_their_rate() {
    let fleet = Fleet::start(GATEWAYS);
    let upstreams = ["u0", "u1"].map(|id| fleet.start_plain(id, WORK_TIME));
    for upstream in &upstreams {
        upstream.set_cold(COLD.as_millis() as u64);
    }
    let begun = Instant::now();
    fleet.configure();
    let served_late = AtomicUsize::new(0);
    let sent_late = AtomicUsize::new(0);
    thread::scope(|scope| {
        for number in 0.. {
            let sent = Instant::now();
            if sent >= begun + COLD + Duration::from_secs(3) {
                return;
            }
            let address = fleet.gateways[number % GATEWAYS].caller_address;
            let read =
                request(&format!("aa{number:x}"), "GET", "/read/1").with_timeout(Duration::from_secs(3));
            let is_late = sent >= begun + COLD + Duration::from_secs(1);
            let (served_late, sent_late) = (&served_late, &sent_late);
            scope.spawn(move || {
                let status = client::send(address, &read).status;
                sent_late.fetch_add(usize::from(is_late), Ordering::SeqCst);
                served_late.fetch_add(usize::from(is_late && status == 200), Ordering::SeqCst);
            });
            thread::sleep(INTERVAL);
        }
    });
    for upstream in &upstreams {
        let arrivals = fleet.ledger.arrivals();
        let mut times: Vec<Instant> = arrivals
            .iter()
            .filter(|arrival| arrival.upstream == upstream.id() && arrival.at < begun + COLD)
            .map(|arrival| arrival.at)
            .collect();
        times.sort_unstable();
        let second = |from: &Instant| {
            let end = *from + Duration::from_secs(1);
            times.iter().filter(|at| (*from..end).contains(*at)).count()
        };
        let most = times.iter().map(second).max().unwrap_or(0);
        assert!(most <= MOST, "{} got {most} requests in a second", upstream.id());
        let count = times.iter().filter(|at| **at >= begun + START).count();
        let used = count as f64 / (RATE * (COLD.as_secs_f64() - START.as_secs_f64()));
        println!("{}: fullest second {most}, used {used:.2}", upstream.id());
        assert!(
            used >= 0.8,
            "{} got {count} requests, {used:.2} of its rate",
            upstream.id()
        );
    }
    let (served, sent) = (served_late.into_inner(), sent_late.into_inner());
    assert_eq!(
        served, sent,
        "requests served once the upstreams were not cold any more"
    );
}
