//! A faulty upstream sends an answer to an earlier request once more before its own.

mod fleet;

use std::{
    thread,
    time::{Duration, Instant},
};

use carob_platform_standin::{
    AnswerMode, Stale, StaleIds, Upstream,
    client::{Outcome, Request},
};
use fleet::{Fleet, request};

const GATEWAYS: usize = 2;
const WORK_TIME: Duration = Duration::from_millis(4);
const REQUESTS: usize = 60;

struct Rig {
    fleet: Fleet,
    plain: Vec<Upstream>,
    engines: Vec<Upstream>,
}

impl Rig {
    fn start() -> Self {
        let fleet = Fleet::start(GATEWAYS);
        let plain = ["p0", "p1"].map(|id| fleet.start_plain(id, WORK_TIME)).into();
        let engines = ["e0", "e1"]
            .map(|id| fleet.start_engine(id, 4, Duration::from_millis(10)))
            .into();
        fleet.configure();
        Self {
            fleet,
            plain,
            engines,
        }
    }

    fn set_mode(&self, mode: AnswerMode) {
        for upstream in self.plain.iter().chain(&self.engines) {
            upstream.set_answer_mode(mode);
        }
    }

    /// Sends requests to both gateways; none that ran may be refused, and none runs twice. Returns their outcomes.
    fn send(&self, label: &str, path: &str, form: impl Fn(Request) -> Request) -> Vec<Outcome> {
        let outcomes: Vec<(String, Outcome)> = (0..REQUESTS)
            .map(|number| {
                let id = format!("{label}-{number}");
                let sent = form(request(&id, "POST", path).with_timeout(Duration::from_secs(2)));
                (id, self.fleet.send(number % GATEWAYS, &sent))
            })
            .collect();
        for (id, outcome) in &outcomes {
            let runs = self.fleet.ledger.run_count(id);
            assert!(runs < 2, "{id} ran {runs} times, status {}", outcome.status);
            let is_refused = matches!(outcome.status, 408 | 421 | 429 | 503);
            assert!(
                !is_refused || runs == 0,
                "{id} ran and was answered {}",
                outcome.status
            );
            assert!(
                outcome.status != 200 || outcome.id.as_deref() == Some(id),
                "{id} got the answer of {:?}",
                outcome.id
            );
        }
        outcomes.into_iter().map(|(_, outcome)| outcome).collect()
    }
}

fn stale_answers() -> impl Iterator<Item = Stale> {
    [503, 421, 429, 400, 200].into_iter().flat_map(|status| {
        [StaleIds::Other, StaleIds::Both]
            .into_iter()
            .flat_map(move |ids| [true, false].map(|early| Stale { status, ids, early }))
    })
}

#[test]
fn orders_that_ran_are_refused_because_of_an_earlier_refusal() {
    let rig = Rig::start();
    for stale in stale_answers() {
        rig.set_mode(AnswerMode::Stale(stale));
        rig.send(&format!("{stale:?}"), "/order/1", |order| order);
    }
    rig.set_mode(AnswerMode::Normal);
    let outcomes = rig.send("sound", "/order/1", |order| order);
    assert!(outcomes.iter().all(|outcome| outcome.status == 200));
}

#[test]
fn generations_run_twice_because_of_an_earlier_refusal() {
    let rig = Rig::start();
    for stale in stale_answers() {
        rig.set_mode(AnswerMode::Stale(stale));
        rig.send(&format!("{stale:?}"), "/draft/x", |draft| {
            draft.with_usage(100, 50)
        });
    }
}

/// One of two upstreams is sound.
#[test]
fn reads_fail_because_of_an_earlier_refusal() {
    let rig = Rig::start();
    for gateway in 0..GATEWAYS {
        rig.fleet.earn_repeats(gateway, 20);
    }
    for status in [503, 200] {
        rig.plain[0].set_answer_mode(AnswerMode::Stale(Stale {
            status,
            ids: StaleIds::Other,
            early: false,
        }));
        for number in 0..REQUESTS {
            let read = request(&format!("r{status}-{number}"), "GET", "/read/1");
            let outcome = rig.fleet.send(number % GATEWAYS, &read);
            assert_eq!(outcome.status, 200, "read {number} beside a stale {status}");
        }
    }
}

/// The source seems not to run the generation.
#[test]
fn a_generation_runs_at_two_engines_because_of_an_earlier_answer_to_a_copy_request() {
    let fleet = Fleet::start(GATEWAYS);
    let source = fleet.start_engine("e0", 60, Duration::from_millis(40));
    fleet.configure();
    let clients: Vec<_> = (0..6)
        .map(|number| fleet.start_generation(number % GATEWAYS, &format!("g{number}")))
        .collect();
    let _target = fleet.start_engine("e1", 60, Duration::from_millis(40));
    thread::sleep(Duration::from_millis(300));
    source.set_stale_copies(true);
    source.leave(Duration::from_millis(2_500));
    let mut since: [Option<Instant>; 6] = [None; 6];
    while !clients.iter().all(thread::JoinHandle::is_finished) {
        for (number, both) in since.iter_mut().enumerate() {
            if fleet.ledger.running_engines(&format!("g{number}")) > 1 {
                let first = *both.get_or_insert_with(Instant::now);
                assert!(
                    first.elapsed() < Duration::from_millis(400),
                    "g{number} runs at two engines"
                );
            } else {
                *both = None;
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
}
