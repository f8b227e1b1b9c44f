//! Requests that crash the upstreams which run them, beside sound ones.

mod fleet;

use std::{
    process::Command,
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use carob_platform_standin::{
    Ledger, Trigger, Upstream,
    client::{self, Outcome, Request},
};
use fleet::{Fleet, generation_request, request, wait_until};

const GATEWAYS: usize = 3;
const ENGINES: usize = 8;
const EVENTS: u64 = 8;
const INTERVAL: Duration = Duration::from_millis(20);

/// Time between two requests that crash engines, and between two sound ones.
const CRASH_INTERVAL: Duration = Duration::from_millis(250);
const SOUND_INTERVAL: Duration = Duration::from_millis(60);
const RUN_TIME: Duration = Duration::from_secs(8);

/// Plain upstreams, the time that one takes for a request, and the time until one that has crashed is back.
const PLAIN_UPSTREAMS: usize = 3;
const PLAIN_TIME: Duration = Duration::from_millis(70);
const PLAIN_CRASH_TIME: Duration = Duration::from_millis(3_500);
const PLAIN_RUN_TIME: Duration = Duration::from_secs(14);

/// Time for which a fleet may learn of something (`ContactMs`).
const CONTACT: Duration = Duration::from_millis(1_500);

/// Requests that may reach engines after the fifth crash by a part of prompts, and repetitions after the third by the
/// same request.
const MAX_LATE: usize = 3;

/// Minimum share of the sound requests that are served while requests that crash engines still come.
const SOUND_SHARE: f64 = 0.9;

/// A request whose prompt shares its first part with all others.
fn generation(id: &str, part: &str) -> Request {
    generation_request(id)
        .with_prompt(&format!("c0ffee:400,{part}:100,{id}:500"))
        .with_timeout(Duration::from_secs(4))
}

struct Rig {
    fleet: Fleet,
    _upstreams: Vec<Upstream>,
    /// When a sound request was sent, and whether it was served whole.
    sound: Mutex<Vec<(Instant, bool)>>,
}

impl Rig {
    fn start(gateways: usize) -> Self {
        let fleet = Fleet::start(gateways);
        let engines: Vec<Upstream> = (0..ENGINES)
            .map(|number| fleet.start_engine(&format!("e{number}"), EVENTS, INTERVAL))
            .collect();
        fleet.configure();
        Self {
            fleet,
            _upstreams: engines,
            sound: Mutex::default(),
        }
    }

    fn ledger(&self) -> &Ledger {
        &self.fleet.ledger
    }

    /// Sends requests that `make` returns for a number, one in each `interval`, to the gateways in turn, until `end`.
    fn send_series(
        &self,
        interval: Duration,
        end: Instant,
        make: impl Fn(usize) -> Request + Sync,
        done: impl Fn(Instant, &Outcome) + Sync,
    ) {
        thread::scope(|scope| {
            for number in 0.. {
                if Instant::now() >= end {
                    return;
                }
                let address = self.fleet.gateways[number % self.fleet.gateways.len()].caller_address;
                let request = make(number);
                let done = &done;
                scope.spawn(move || {
                    let sent = Instant::now();
                    done(sent, &client::send(address, &request));
                });
                thread::sleep(interval);
            }
        });
    }

    /// Starts plain upstreams instead of engines. Those that crash are back after 3.5 s.
    fn start_plain(gateways: usize) -> Self {
        let fleet = Fleet::start(gateways);
        let upstreams: Vec<Upstream> = (0..PLAIN_UPSTREAMS)
            .map(|number| fleet.start_plain(&format!("p{number}"), PLAIN_TIME))
            .collect();
        for upstream in &upstreams {
            upstream.set_crash_time(PLAIN_CRASH_TIME);
        }
        fleet.configure();
        Self {
            fleet,
            _upstreams: upstreams,
            sound: Mutex::default(),
        }
    }

    /// Sends sound generations and the requests that `make` returns, beside each other.
    fn run(&self, make: impl Fn(usize) -> Request + Sync) {
        let sound = |number: usize| generation(&format!("ab{number:x}"), ["f1", "f2", "f3"][number % 3]);
        let is_whole = |outcome: &Outcome| outcome.complete && outcome.events().len() as u64 == EVENTS;
        self.run_beside(RUN_TIME, sound, is_whole, make);
    }

    /// Sends sound requests, with what tells that one was served, and those that `make` returns for `time`.
    fn run_beside(
        &self,
        time: Duration,
        sound: impl Fn(usize) -> Request + Send + Sync,
        is_served: impl Fn(&Outcome) -> bool + Send + Sync,
        make: impl Fn(usize) -> Request + Sync,
    ) {
        let end = Instant::now() + time;
        thread::scope(|scope| {
            scope.spawn(|| {
                self.send_series(SOUND_INTERVAL, end, sound, |sent, outcome| {
                    let is_whole = is_served(outcome);
                    self.sound
                        .lock()
                        .expect("no client panics")
                        .push((sent, is_whole));
                });
            });
            self.send_series(CRASH_INTERVAL, end, make, |_, _| {});
        });
    }

    /// Number of requests with ids that start with `prefix` that reached engines after `from`.
    fn arrived_after(&self, prefix: &str, from: Instant) -> usize {
        let arrivals = self.ledger().arrivals();
        let late = arrivals
            .iter()
            .filter(|arrival| arrival.id.starts_with(prefix) && arrival.at > from);
        late.count()
    }

    /// Time of the crash with this number, counted from 1, by requests whose ids start with `prefix`; of the last one
    /// if there are fewer.
    fn crash_time(&self, prefix: &str, number: usize) -> Instant {
        let crashes = self.ledger().crashes();
        let found = crashes.iter().filter(|crash| crash.id.starts_with(prefix));
        let last = found.take(number).last();
        last.expect("requests have crashed engines").at
    }

    fn expect_sound_served(&self, from: Instant) {
        let sound = self.sound.lock().expect("no client panics");
        let later: Vec<bool> = sound
            .iter()
            .filter(|(sent, _)| *sent >= from)
            .map(|(_, is_whole)| *is_whole)
            .collect();
        let served = later.iter().filter(|is_whole| **is_whole).count();
        assert!(
            served as f64 >= later.len() as f64 * SOUND_SHARE && !later.is_empty(),
            "{served} of {} sound requests were served",
            later.len()
        );
    }

    /// Checks that the logs of all gateways lead from a refused request to the engines that ended under its part.
    fn expect_explained(&self) {
        let directory = tempfile::tempdir().expect("a temporary directory");
        let mut refused = None;
        let mut files = Vec::new();
        for (number, gateway) in self.fleet.gateways.iter().enumerate() {
            let lines = gateway.log_lines();
            let last = lines.iter().rfind(|line| line.contains("\"request refused: "));
            refused = refused.or_else(|| last.cloned());
            let file = directory.path().join(format!("n{number}.log"));
            std::fs::write(&file, lines.join("\n")).expect("the directory is writable");
            files.push(file);
        }
        let line: serde_json::Value =
            serde_json::from_str(&refused.expect("a request was refused")).expect("lines are JSON");
        let output = Command::new(env!("CARGO_BIN_EXE_carobhaven"))
            .args([
                "explain",
                line["request"].as_str().expect("lines name their request"),
            ])
            .args(files)
            .output()
            .expect("the command runs");
        let text = String::from_utf8_lossy(&output.stdout);
        let ends = text
            .split("was among the requests under which ")
            .nth(1)
            .and_then(|rest| rest.split(' ').next()?.parse().ok());
        assert!(ends.is_some_and(|ends: usize| ends >= 3), "{text}");
    }

    fn expect_few_late(&self, prefix: &str, crashes: usize) {
        let from = self.crash_time(prefix, crashes) + CONTACT;
        let late = self.arrived_after(prefix, from);
        let all = self.ledger().crashes().len();
        eprintln!("{prefix}: {all} crashes, {late} requests later than {CONTACT:?} after crash {crashes}");
        assert!(
            late <= MAX_LATE,
            "{late} requests reached upstreams later than {CONTACT:?} after crash {crashes}; {all} crashes"
        );
    }
}

#[test]
fn requests_with_a_part_that_crashes_engines_crash_one_after_the_other() {
    let rig = Rig::start(GATEWAYS);
    rig.ledger().set_triggers(&[Trigger::Part("dead".to_owned())]);
    rig.run(|number| generation(&format!("dd{number:x}"), "dead"));
    rig.expect_few_late("dd", 5);
    rig.expect_sound_served(rig.crash_time("dd", 5) + 2 * CONTACT);
    rig.expect_explained();
}

/// A second part begins to crash engines while the first is known.
#[test]
fn requests_with_two_parts_that_crash_engines_crash_one_after_the_other() {
    let rig = Rig::start(GATEWAYS);
    rig.ledger()
        .set_triggers(&[Trigger::Part("dead".to_owned()), Trigger::Part("bad".to_owned())]);
    rig.run(|number| {
        if number > 8 && number % 2 == 0 {
            generation(&format!("bb{number:x}"), "bad")
        } else {
            generation(&format!("dd{number:x}"), "dead")
        }
    });
    rig.expect_few_late("dd", 5);
    rig.expect_few_late("bb", 5);
    rig.expect_sound_served(rig.crash_time("bb", 5) + 2 * CONTACT);
}

#[test]
fn a_request_that_crashes_engines_crashes_one_after_the_other() {
    let rig = Rig::start(GATEWAYS);
    rig.ledger().set_triggers(&[Trigger::Body("poison".to_owned())]);
    rig.run(|number| {
        let mut request = generation(&format!("dd{number:x}"), "f1").with_prompt("c0ffee:400,f1:100,cc:500");
        "poison".clone_into(&mut request.body);
        request
    });
    rig.expect_few_late("dd", 3);
    rig.expect_sound_served(rig.crash_time("dd", 3) + 2 * CONTACT);
}

/// The first requests of a fleet crash engines; later ones have another prompt, and the same path and body.
#[test]
fn sound_generations_are_refused_with_those_that_crash_engines_first() {
    let rig = Rig::start(GATEWAYS);
    rig.ledger().set_triggers(&[Trigger::Part("dead".to_owned())]);
    let end = Instant::now() + 2 * CONTACT;
    rig.send_series(
        CRASH_INTERVAL,
        end,
        |number| generation(&format!("dd{number:x}"), "dead"),
        |_, _| {},
    );
    assert!(rig.ledger().crashes().len() >= 3, "requests have crashed engines");
    thread::sleep(CONTACT);
    for number in 0..2 * GATEWAYS {
        let sound = rig
            .fleet
            .send(number % GATEWAYS, &generation(&format!("ab{number:x}"), "f1"));
        assert!(
            sound.status == 200 && sound.complete,
            "sound request {number} got {}",
            sound.status
        );
    }
}

/// A gateway that starts learns what the others know.
#[test]
fn a_gateway_that_starts_sends_requests_to_engines_that_they_crash() {
    let mut rig = Rig::start(GATEWAYS);
    rig.ledger().set_triggers(&[Trigger::Part("dead".to_owned())]);
    rig.run(|number| generation(&format!("dd{number:x}"), "dead"));
    let added = rig.fleet.add_gateway();
    wait_until("the new gateway is ready", || {
        rig.fleet.gateways[added].is_ready()
    });
    thread::sleep(CONTACT);
    for number in 0..MAX_LATE + 2 {
        rig.fleet
            .send(added, &generation(&format!("ee{number:x}"), "dead"));
    }
    assert_eq!(rig.arrived_after("ee", rig.crash_time("dd", 1)), 0);
    let sound = rig.fleet.send(added, &generation("ab", "f1"));
    assert!(sound.complete);
}

/// The same read, or order, comes again and again; the first attempts crash two upstreams each.
#[test]
fn a_plain_request_that_crashes_all_upstreams_crashes_them_again_when_they_are_back() {
    for (method, path) in [("GET", "/read/dead"), ("POST", "/order/dead")] {
        let rig = Rig::start_plain(GATEWAYS);
        rig.ledger().set_triggers(&[Trigger::Path(path.to_owned())]);
        let sound = |number: usize| {
            request(&format!("ab{number:x}"), "GET", "/read/sound").with_timeout(Duration::from_secs(2))
        };
        let is_served = |outcome: &Outcome| outcome.status == 200 && outcome.complete;
        rig.run_beside(PLAIN_RUN_TIME, sound, is_served, |number| {
            request(&format!("dd{number:x}"), method, path).with_timeout(Duration::from_secs(2))
        });
        rig.expect_few_late("dd", 3);
        // One that has crashed the last upstream is back after this time.
        rig.expect_sound_served(rig.crash_time("dd", 3) + PLAIN_CRASH_TIME + CONTACT);
    }
}
