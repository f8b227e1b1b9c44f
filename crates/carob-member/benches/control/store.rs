//! Cost of the configuration at each instance, and load of a fleet on the store.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use carob_base::Time;
use carob_store::WatchEvent;
use carob_ticket::{
    Follower, Ledger, Submission, Ticket,
    follow::{self, Action, Event},
    head::{HEAD_KEY, SNAPSHOT_KEY},
    parse,
    submit::{Outcome, Step},
};

use crate::{
    common::{
        TICK,
        store::{Fault, Store, service},
    },
    configuration,
    usage::resident,
};

/// Sizes of the configuration, given as the number of instances of the failure domain that it is made for.
const CONFIGURATIONS: [usize; 3] = [20, 40, 62];
/// Additional tickets, so that the head reaches its usual length and the snapshot holds the answers that it
/// keeps.
const TICKETS: u64 = 600;
/// Numbers of instances of whole fleets.
const FLEETS: [u64; 3] = [7, 62, 370];
/// Failure domains whose instances share watches.
const DOMAINS: u64 = 6;
/// Instances of a failure domain that watch the store.
const WATCHERS: u64 = 3;
/// Ledgers allocated to measure the memory of one.
const COPIES: u32 = 200;
/// Repetitions of each timed operation.
const ROUNDS: u32 = 20;

/// Measures and prints both tables.
pub fn measure() {
    println!("\nconfiguration: bytes in the store, time to read and to apply, memory of one ledger");
    println!(
        "{:>9} {:>8} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "upstreams", "accounts", "snapshot", "head", "read us", "apply us", "digest us", "KiB"
    );
    for size in CONFIGURATIONS {
        print_configuration(size);
    }
    println!("\nstore calls per second of a whole fleet, watches included");
    println!(
        "{:>9} {:>8} {:>8} {:>12}",
        "instances", "steady", "outage", "recovery max"
    );
    for fleet in FLEETS {
        let Calls {
            steady,
            outage,
            recovery,
        } = calls(fleet);
        println!("{fleet:>9} {steady:>8.2} {outage:>8.1} {recovery:>12}");
    }
}

fn print_configuration(size: usize) {
    let mut store = Store::default();
    let mut ledger = Ledger::new();
    let first = parse::ticket(&configuration(size), "bench").expect("the ticket is valid");
    submit(&mut store, &first, &mut ledger);
    let mut heads = 0;
    for number in 0..TICKETS {
        submit(&mut store, &service(10 + number, "extra", number), &mut ledger);
        heads += store.entries[HEAD_KEY].value.len();
    }
    let snapshot = ledger.to_bytes();
    let (read, ledger) = timed(|| Ledger::from_bytes(&snapshot).expect("readable"));
    let (apply, _) = timed(|| {
        let mut ledger = ledger.clone();
        ledger.apply(&service(9_999, "extra", 7)).expect("accepted")
    });
    let (digest, _) = timed(|| ledger.config().digest());
    let before = resident();
    let copies: Vec<_> = (0..COPIES).map(|_| Ledger::from_bytes(&snapshot)).collect();
    let memory = resident().saturating_sub(before) / copies.len() as u64 / 1024;
    println!(
        "{:>9} {:>8} {:>9} {:>9} {read:>9.0} {apply:>9.0} {digest:>9.0} {memory:>9}",
        ledger.config().upstreams.len(),
        ledger.config().accounts.len(),
        store.entries[SNAPSHOT_KEY].value.len().max(snapshot.len()),
        heads / TICKETS as usize,
    );
}

fn submit(store: &mut Store, ticket: &Ticket, ledger: &mut Ledger) {
    let mut submission = Submission::new(ticket.clone(), ledger.clone(), 1);
    let mut step = submission.start();
    loop {
        step = match step {
            Step::Call(call) => submission.on_reply(store.call(&call)),
            Step::Wait(_) => submission.start(),
            Step::Finished(outcome) => {
                assert!(matches!(outcome, Outcome::Recorded(_)), "{outcome:?}");
                ledger.apply(ticket).expect("recorded");
                return;
            }
        };
    }
}

/// Runs `run` [`ROUNDS`] times; returns the mean time in microseconds and the last result.
fn timed<T>(mut run: impl FnMut() -> T) -> (f64, T) {
    let start = Instant::now();
    for _ in 1..ROUNDS {
        black_box(run());
    }
    let last = run();
    (start.elapsed().as_secs_f64() / f64::from(ROUNDS) * 1e6, last)
}

/// Calls to the store per second.
struct Calls {
    steady: f64,
    outage: f64,
    /// Maximum of any second after the outage.
    recovery: u64,
}

/// A fleet whose instances only follow the configuration.
struct Fleet {
    store: Store,
    now: Time,
    /// Instances with the end of the watch that each has open.
    instances: Vec<(Follower, Option<Time>)>,
}

fn calls(count: u64) -> Calls {
    let mut store = Store::default();
    submit(&mut store, &service(1, "extra", 1), &mut Ledger::new());
    let instances = (0..count).map(|seed| {
        let follow = Follower::new(follow::Options {
            seed,
            ..follow::Options::default()
        });
        (follow, None)
    });
    let mut fleet = Fleet {
        store,
        now: Time::ZERO,
        instances: instances.collect(),
    };
    for index in 0..fleet.instances.len() {
        let watches = (index as u64) < DOMAINS * WATCHERS;
        fleet.step(index, Event::Watcher(watches));
    }
    fleet.seconds(120);
    let per_second = |calls: &[u64]| calls.iter().sum::<u64>() as f64 / calls.len() as f64;
    let steady = per_second(&fleet.seconds(240));
    fleet.store.fault = Some(Fault::Down);
    fleet.seconds(120);
    let outage = per_second(&fleet.seconds(120));
    fleet.store.fault = None;
    let recovery = fleet.seconds(30).into_iter().max().unwrap_or_default();
    Calls {
        steady,
        outage,
        recovery,
    }
}

impl Fleet {
    /// Advances the clock by `seconds`; returns the calls of each second.
    fn seconds(&mut self, seconds: u32) -> Vec<u64> {
        let ticks = Duration::from_secs(1).as_millis() / TICK.as_millis();
        let second = |fleet: &mut Self| {
            let before = fleet.store.calls;
            (0..ticks).for_each(|_| fleet.tick());
            fleet.store.calls - before
        };
        (0..seconds).map(|_| second(self)).collect()
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        for index in 0..self.instances.len() {
            self.step(index, Event::Tick);
            let ends = self.instances[index].1;
            let down = self.store.fault == Some(Fault::Down);
            if ends.is_some_and(|end| down || self.now >= end) {
                self.instances[index].1 = None;
                let end = if down {
                    Err(carob_store::Failure::Unknown)
                } else {
                    Ok(self.store.revision + 1)
                };
                self.step(index, Event::WatchEnded(end));
            }
        }
    }

    fn step(&mut self, index: usize, event: Event) {
        let now = self.now;
        for action in self.instances[index].0.step(event, now) {
            match action {
                Action::Call(call) => {
                    let result = self.store.call(&call);
                    self.step(index, Event::StoreReplied(result));
                }
                Action::Watch { lifetime, .. } => {
                    self.store.calls += 1;
                    self.instances[index].1 = Some(now + lifetime);
                    self.step(index, Event::WatchReported(WatchEvent::Changes(Vec::new())));
                }
                Action::FetchFromPeer { .. } | Action::Apply(_) => {}
            }
        }
    }
}
