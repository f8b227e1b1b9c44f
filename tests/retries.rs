//! The retry budget of a service, summed over all gateways and all their processes, as upstreams see it.

mod budget;
#[path = "retries/checker.rs"]
mod checker;
mod fleet;

use std::{
    fs,
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use budget::{Counting, LIMITS, Limits, Worst};
use carob_platform_standin::{
    AnswerMode, Ledger, Link, Outage, Store, Upstream,
    client::{self, Outcome},
    config::{self, Route},
};
use fleet::{CLIENT_KEY, Fleet, Gateway, generation_request, request, wait_until};

/// Line in the settings of [`Gateway::prepare`] that a test may replace.
const EXTRA_LINE: &str = "extra = 54\n";

/// An attempt that may be followed by another is given up after two and a half times the target latency.
const ROUTES: [Route; 3] = [
    Route::new("/draft/", "streaming", "engines").with_timeout(20_000),
    Route::new("/order/", "unsafe", "plain"),
    Route::new("/read/", "safe", "plain")
        .with_max_attempts(2)
        .with_target_latency(200),
];

/// Number of plain upstreams; a request is sent to four of them at most.
const PLAIN: usize = 4;
/// Time that a plain upstream takes for a request.
const PLAIN_TIME: Duration = Duration::from_millis(5);
/// Time after which a process has its share of a budget for certain: a window and a half.
const WARM_UP: Duration = Duration::from_secs(15);
/// Timeout of a request for the plain service.
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// Gateways with a plain service, and what clients sent to it.
struct Rig {
    fleet: Fleet,
    plain: Vec<Upstream>,
    extra: u32,
    next_id: AtomicU64,
    sent: Mutex<Vec<Instant>>,
}

impl Rig {
    /// Starts `count` gateways at once, whose retry budget has the fixed part `extra`.
    fn start(count: usize, extra: u32) -> Self {
        let rig = Self::prepare(count, extra);
        rig.fleet.wait_ready();
        rig
    }

    /// Like [`Rig::start`], without waiting until the gateways are ready.
    fn prepare(count: usize, extra: u32) -> Self {
        let fleet = Fleet {
            store: Store::new(),
            ledger: Ledger::new(),
            gateways: Vec::new(),
        };
        fleet
            .store
            .put(config::KEY, &config::config(1, &ROUTES, &[CLIENT_KEY]));
        let plain = (0..PLAIN).map(|number| fleet.start_plain(&format!("p{number}"), PLAIN_TIME));
        let plain = plain.collect();
        let mut rig = Self {
            fleet,
            plain,
            extra,
            next_id: AtomicU64::new(0),
            sent: Mutex::default(),
        };
        for _ in 0..count {
            rig.prepare_gateway();
        }
        for gateway in &mut rig.fleet.gateways {
            gateway.spawn();
        }
        rig
    }

    /// Writes the settings of another gateway, whose seed is the first one, and returns the gateway.
    fn prepare_gateway(&mut self) -> &mut Gateway {
        let gateways = &mut self.fleet.gateways;
        let seeds: Vec<SocketAddr> = gateways
            .first()
            .map(|first| first.peer_address)
            .into_iter()
            .collect();
        let gateway = Gateway::prepare(&self.fleet.store, &seeds);
        let settings = fs::read_to_string(gateway.settings_path()).expect("they were written");
        assert!(settings.contains(EXTRA_LINE), "{settings}");
        let settings = settings.replace(EXTRA_LINE, &format!("extra = {}\n", self.extra));
        fs::write(gateway.settings_path(), settings).expect("the directory is writable");
        gateways.push(gateway);
        gateways.last_mut().expect("one was added")
    }

    fn address(&self, gateway: usize) -> SocketAddr {
        self.fleet.gateways[gateway].caller_address
    }

    fn set_plain(&self, mode: AnswerMode) {
        self.plain
            .iter()
            .for_each(|upstream| upstream.set_answer_mode(mode));
    }

    fn set_links(&self, link: Link) {
        self.plain.iter().for_each(|upstream| upstream.set_link(link));
    }

    /// Sends a request to each gateway, and waits until all of them have run for longer than a window.
    fn warm_up(&self) {
        for gateway in &self.fleet.gateways {
            wait_until("the gateway serves", || {
                self.send_plain(gateway.caller_address).status == 200
            });
        }
        thread::sleep(WARM_UP);
    }

    /// Sends a request for the plain service, idempotent or not in turns.
    fn send_plain(&self, gateway: SocketAddr) -> Outcome {
        send_plain(gateway, &self.next_id, &self.sent)
    }

    /// Sends a request in each `interval` for `time`, to the gateways in turns, whatever becomes of those before.
    fn send_steadily(&self, gateways: &[usize], interval: Duration, time: Duration) {
        let start = Instant::now();
        thread::scope(|scope| {
            for number in 0..(time.as_micros() / interval.as_micros()) as u32 {
                thread::sleep((start + interval * number).saturating_duration_since(Instant::now()));
                let gateway = self.address(gateways[number as usize % gateways.len()]);
                scope.spawn(move || self.send_plain(gateway));
            }
        });
    }

    /// Repeats at the upstreams of `service`, whose clients sent requests at the times `sent`, and its worst window.
    fn judge(&self, service: &str, sent: &[Instant], counting: Counting) -> (usize, Option<Worst>) {
        let limits = Limits {
            extra: f64::from(self.extra),
            ..LIMITS
        };
        let repeats = budget::repeats(&self.fleet.ledger.arrivals(), service, counting);
        (repeats.len(), budget::worst_window(limits, sent, &repeats))
    }

    /// Checks the plain service's budget and returns the numbers of requests and repeats.
    fn expect_within_budget(&self) -> (usize, usize) {
        let sent = self.sent.lock().expect("clients do not panic").clone();
        let (repeats, worst) = self.judge("plain", &sent, Counting::All);
        eprintln!("{} requests and {repeats} repeats in all; {worst:?}", sent.len());
        expect_no_excess(worst);
        (sent.len(), repeats)
    }
}

fn expect_no_excess(worst: Option<Worst>) {
    assert!(
        worst.is_none_or(|worst| worst.excess <= 0.0),
        "beyond the budget: {worst:?}"
    );
}

fn send_plain(gateway: SocketAddr, next_id: &AtomicU64, sent: &Mutex<Vec<Instant>>) -> Outcome {
    let number = next_id.fetch_add(1, Ordering::Relaxed);
    let (method, path) = [("POST", "/order/1"), ("GET", "/read/1")][number as usize % 2];
    let request = request(&format!("q{number}"), method, path).with_timeout(TIMEOUT);
    sent.lock().expect("clients do not panic").push(Instant::now());
    client::send(gateway, &request)
}

/// Starts gateways, has each end by `signal` and start again until it has had `lives` processes, and sends three
/// requests to each process while upstreams reject everything.
fn spend_in_each_life(gateways: usize, signal: &'static str, lives: usize) {
    let mut rig = Rig::start(gateways, 54);
    rig.warm_up();
    rig.set_plain(AnswerMode::Rejection);
    let (next_id, sent) = (&rig.next_id, &rig.sent);
    thread::scope(|scope| {
        for gateway in &mut rig.fleet.gateways {
            scope.spawn(move || {
                for life in 0..lives {
                    if life > 0 {
                        gateway.signal(signal);
                        let _ended = gateway.child.wait();
                        gateway.spawn();
                        wait_until("the gateway is ready", || gateway.is_ready());
                    }
                    for _ in 0..3 {
                        send_plain(gateway.caller_address, next_id, sent);
                    }
                }
            });
        }
    });
    rig.expect_within_budget();
}

/// The fixed part of the budget is divided among instances, and each process spent its share anew.
#[test]
fn restarts_in_series_spend_the_retry_budget_anew() {
    spend_in_each_life(10, "TERM", 3);
}

/// The same with kills, which leave a process no time to hand anything over.
#[test]
fn kills_in_series_spend_the_retry_budget_anew() {
    spend_in_each_life(4, "KILL", 8);
}

/// Requests that were sent to upstreams in one window, and given up, are read in the next one.
#[test]
fn upstreams_that_stand_still_read_the_repeats_of_two_windows_in_one() {
    let rig = Rig::start(2, 5);
    let interval = Duration::from_millis(40);
    rig.send_steadily(&[0, 1], interval, Duration::from_secs(2));
    rig.set_links(Link::Silent);
    rig.send_steadily(&[0, 1], interval, Duration::from_secs(8));
    rig.set_plain(AnswerMode::Rejection);
    rig.set_links(Link::Open);
    rig.send_steadily(&[0, 1], interval, LIMITS.window);
    rig.expect_within_budget();
}

/// Instances that start at once have to know each other before they take their shares. Here the store answers none
/// but the first at first, so that the others know only that one.
#[test]
fn gateways_that_start_at_once_take_the_share_of_a_small_fleet() {
    let mut rig = Rig::start(1, 20);
    for _ in 0..23 {
        let gateway = rig.prepare_gateway();
        gateway.store_endpoint.set_outage(Some(Outage::Busy));
        gateway.spawn();
    }
    rig.fleet.wait_ready();
    rig.set_plain(AnswerMode::Rejection);
    thread::scope(|scope| {
        for gateway in &rig.fleet.gateways {
            let rig = &rig;
            scope.spawn(move || {
                for _ in 0..2 {
                    rig.send_plain(gateway.caller_address);
                }
            });
        }
    });
    rig.expect_within_budget();
}

/// The time in which a process has no share runs from its start, also while it cannot know any other. Here the
/// store answers nobody for that long, so that all gateways hear of each other only when they spend their shares.
#[test]
fn gateways_that_wait_for_the_store_take_shares_before_they_know_each_other() {
    let mut rig = Rig::prepare(0, 20);
    for _ in 0..24 {
        let gateway = rig.prepare_gateway();
        gateway.store_endpoint.set_outage(Some(Outage::Busy));
        gateway.spawn();
    }
    thread::sleep(LIMITS.window.mul_f64(1.25) + Duration::from_secs(1));
    rig.set_plain(AnswerMode::Rejection);
    for gateway in &rig.fleet.gateways {
        gateway.store_endpoint.set_outage(None);
    }
    thread::scope(|scope| {
        for gateway in &rig.fleet.gateways {
            let rig = &rig;
            scope.spawn(move || {
                wait_until("the gateway is ready", || gateway.is_ready());
                rig.send_plain(gateway.caller_address);
            });
        }
    });
    rig.expect_within_budget();
}

/// The same where the store refuses all but the first for longer: they serve with what that one passes on, and
/// know of no other.
#[test]
fn gateways_that_the_store_refuses_from_the_start_take_the_share_of_a_small_fleet() {
    let mut rig = Rig::start(1, 20);
    for _ in 0..23 {
        let gateway = rig.prepare_gateway();
        gateway.store_endpoint.set_outage(Some(Outage::Busy));
        gateway.spawn();
    }
    rig.fleet.wait_ready();
    thread::sleep(LIMITS.window.mul_f64(1.25) + Duration::from_secs(1));
    rig.set_plain(AnswerMode::Rejection);
    thread::scope(|scope| {
        for gateway in &rig.fleet.gateways {
            let rig = &rig;
            scope.spawn(move || {
                for _ in 0..2 {
                    rig.send_plain(gateway.caller_address);
                }
            });
        }
    });
    rig.expect_within_budget();
}

/// The share was taken when a gateway knew few others, and kept.
#[test]
fn gateways_of_a_fleet_that_grows_keep_the_share_of_a_small_one() {
    let mut rig = Rig::start(0, 60);
    for _ in 0..24 {
        let gateway = rig.prepare_gateway();
        gateway.spawn();
        let address = gateway.caller_address;
        rig.fleet.wait_ready();
        rig.send_plain(address);
    }
    thread::sleep(WARM_UP);
    rig.set_plain(AnswerMode::Rejection);
    for gateway in &rig.fleet.gateways {
        for _ in 0..2 {
            rig.send_plain(gateway.caller_address);
        }
    }
    rig.expect_within_budget();
}

/// Each process measured its retries against requests of a window of its own, so that requests of one window
/// counted where they had been and where they were now.
#[test]
fn load_that_moves_off_a_leaving_gateway_counts_at_both_ends() {
    let rig = Rig::start(2, 5);
    let interval = Duration::from_millis(33);
    rig.send_steadily(&[0], interval, Duration::from_secs(9));
    rig.set_plain(AnswerMode::Rejection);
    rig.send_steadily(&[0], interval, Duration::from_secs(1));
    rig.fleet.gateways[0].signal("TERM");
    rig.send_steadily(&[1], interval, LIMITS.window);
    rig.expect_within_budget();
}

/// Generations that are continued from a copy are no repeats; what precedes and follows their moves is.
#[test]
fn moves_beside_rejections_leave_the_retry_budget_alone() {
    const ENGINES: usize = 4;
    const GENERATIONS: usize = 40;
    let rig = Rig::start(3, 10);
    let interval = Duration::from_millis(40);
    let start = |id: String| rig.fleet.start_engine(&id, 200, interval);
    let sources: Vec<Upstream> = (0..ENGINES).map(|number| start(format!("s{number}"))).collect();
    thread::sleep(Duration::from_millis(500));
    let send = |id: String, number: usize| {
        let address = rig.address(number % 3);
        let request = generation_request(&id).with_length_hint(600);
        thread::spawn(move || (Instant::now(), client::send(address, &request)))
    };
    let moved: Vec<_> = (0..GENERATIONS)
        .map(|number| send(format!("d{number}"), number))
        .collect();
    wait_until("the generations run", || {
        (0..GENERATIONS).all(|number| rig.fleet.ledger.run_count(&format!("d{number}")) == 1)
    });
    let targets: Vec<Upstream> = (0..ENGINES).map(|number| start(format!("t{number}"))).collect();
    thread::sleep(Duration::from_millis(500));
    let set_modes = |mode| {
        let engines = sources.iter().chain(&targets);
        engines.for_each(|engine| engine.set_answer_mode(mode));
    };
    set_modes(AnswerMode::Rejection);
    let rejected: Vec<_> = (0..24).map(|number| send(format!("r{number}"), number)).collect();
    let rejected: Vec<_> = rejected
        .into_iter()
        .map(|client| client.join().expect("it ends"))
        .collect();
    set_modes(AnswerMode::Normal);
    for source in &sources {
        source.leave(Duration::from_millis(1_600));
    }
    let moved: Vec<_> = moved
        .into_iter()
        .map(|client| client.join().expect("it ends"))
        .collect();
    let sent: Vec<Instant> = moved.iter().chain(&rejected).map(|(sent, _)| *sent).collect();
    let whole = moved.iter().filter(|(_, outcome)| outcome.complete).count();
    let all = rig.judge("engines", &sent, Counting::All);
    let (repeats, worst) = rig.judge("engines", &sent, Counting::WithoutContinued);
    eprintln!(
        "{whole} of {GENERATIONS} whole, {} moves; with continued generations {all:?}, without {repeats} {worst:?}",
        rig.fleet.ledger.migrations()
    );
    expect_no_excess(worst);
    let told = |gateway: &Gateway| {
        let lines = gateway.log_lines();
        lines
            .iter()
            .filter(|line| line.contains("request sent again"))
            .count()
    };
    assert_eq!(rig.fleet.gateways.iter().map(told).sum::<usize>(), all.0);
}

/// A budget that is never used would be kept as well.
#[test]
fn a_calm_fleet_repeats_what_upstreams_reject() {
    let rig = Rig::start(3, 5);
    rig.set_plain(AnswerMode::Rejection);
    rig.send_steadily(&[0, 1, 2], Duration::from_millis(25), Duration::from_secs(15));
    let (requests, repeats) = rig.expect_within_budget();
    let expected = requests as f64 * LIMITS.ratio / 2.0;
    assert!(
        repeats as f64 >= expected,
        "{repeats} repeats of {requests} requests, expected {expected} at least"
    );
}
