//! Drills of the store, which comes back from a copy, and what other writers and upstreams send by mistake meanwhile.

use std::{
    thread,
    time::{Duration, Instant},
};

use carob_platform_standin::{AnswerMode, Outage, Stale, StaleIds, StoreCopy, Upstream, config::Route};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};

use crate::fleet::{Fleet, request};

/// Route of each version, by the rest of its number; they show from outside which version is in force.
pub const FLAGS: [Route; 3] = [
    Route::new("/flag-0/", "safe", "plain").with_anonymous(),
    Route::new("/flag-1/", "safe", "plain").with_anonymous(),
    Route::new("/flag-2/", "safe", "plain").with_anonymous(),
];

/// Time without disruption after which bounds hold (`ContactMs`).
const CONTACT: Duration = Duration::from_secs(4);
/// Time after which a configuration is in force (`ConfigApplyMs`).
const APPLY_TIME: Duration = Duration::from_millis(2_500);
/// Time after which a leaving upstream gets no more requests (`DrainMs`).
const DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// Changes that the last drill loses.
const LOST_CHANGES: u64 = 300;
/// Requests to each gateway after an upstream has left.
const LAST_READS: usize = 10;

/// Time between two drills in milliseconds; every third is followed by another within a second.
const GAP: std::ops::Range<u64> = 2_500..7_000;
const SHORT_GAP: std::ops::Range<u64> = 200..900;

const STALE_STATUSES: [u16; 4] = [503, 421, 429, 200];

/// Bytes that are no entry.
const ODD_VALUES: [&[u8]; 4] = [
    b"{",
    b"[[[[[[[[[[",
    b"{\"Service\":\"plain\",\"Address\":\"127.0.0.1:99999\"}",
    b"\xff\x00",
];

/// Engines, plain upstreams, and those whose entries are only written again.
type Upstreams<'a> = [&'a [Upstream]; 3];

/// What is under way.
enum Step {
    /// The store is copied at this time.
    Copy(Instant),
    /// It goes away at this time.
    Leave(Instant, StoreCopy),
    /// It comes back at this time.
    Return(Instant, StoreCopy),
    /// What was lost is written again at this time.
    Rewrite(Instant),
}

/// Drills in series.
pub struct Drills {
    /// Draws all of it, so that it does not change the sequences of the other faults.
    rng: StdRng,
    step: Step,
    pub count: u32,
}

impl Drills {
    pub fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let first = Instant::now() + Duration::from_millis(rng.random_range(GAP));
        Self {
            rng,
            step: Step::Copy(first),
            count: 0,
        }
    }

    fn after(&mut self, millis: std::ops::Range<u64>) -> Instant {
        Instant::now() + Duration::from_millis(self.rng.random_range(millis))
    }

    /// Whether the store is away.
    pub const fn is_away(&self) -> bool {
        matches!(self.step, Step::Return(..))
    }

    /// Does the next step of a drill if it is due; `configure` writes the latest configuration again. Returns what was done.
    pub fn poll(
        &mut self,
        fleet: &Fleet,
        upstreams: Upstreams<'_>,
        configure: impl FnOnce(),
    ) -> Option<&'static str> {
        let (Step::Copy(due) | Step::Leave(due, _) | Step::Return(due, _) | Step::Rewrite(due)) = &self.step;
        if Instant::now() < *due {
            return None;
        }
        let next = self.after(300..1_500);
        match std::mem::replace(&mut self.step, Step::Rewrite(next)) {
            Step::Copy(_) => {
                self.step = Step::Leave(next, fleet.store.copy());
                let lost = self.rng.random_range(0..LOST_CHANGES);
                write_notes(fleet, lost);
                self.confuse(fleet, upstreams);
                Some("store copied")
            }
            Step::Leave(_, copy) => {
                set_outage(fleet, Some(Outage::Reset));
                self.step = Step::Return(self.after(100..900), copy);
                Some("store away")
            }
            Step::Return(_, copy) => {
                fleet.store.restore(&copy);
                set_outage(fleet, None);
                self.count += 1;
                self.step = Step::Rewrite(self.after(100..1_500));
                Some("store back from the copy")
            }
            Step::Rewrite(_) => {
                write_again(fleet, upstreams, configure);
                let is_short = self.rng.random_bool(1.0 / 3.0);
                self.step = Step::Copy(self.after(if is_short { SHORT_GAP } else { GAP }));
                Some("lost content written again")
            }
        }
    }

    /// Lets an upstream send an earlier answer once more, or writes an odd entry.
    fn confuse(&mut self, fleet: &Fleet, upstreams: Upstreams<'_>) {
        let upstream = upstreams[self.rng.random_range(0..2)]
            .choose(&mut self.rng)
            .expect("there are upstreams");
        if self.rng.random_bool(0.5) {
            upstream.set_answer_mode(AnswerMode::Stale(Stale {
                status: *STALE_STATUSES.choose(&mut self.rng).expect("there are some"),
                ids: if self.rng.random_bool(0.5) {
                    StaleIds::Other
                } else {
                    StaleIds::Both
                },
                early: self.rng.random_bool(0.5),
            }));
            return;
        }
        let value = ODD_VALUES.choose(&mut self.rng).expect("there are some");
        let key = match self.rng.random_range(0..3) {
            0 => format!("servers/{}", upstream.id()),
            1 => format!("servers/odd-{}", self.count),
            _ => format!("carobhaven/instances/odd-{}", self.count),
        };
        fleet.store.put_bytes(&key, value);
    }

    /// Ends what is under way, and does a last drill. Then every gateway has to follow a new version, which `configure`
    /// writes and whose number it returns, and to leave an upstream alone that leaves. Returns what does not hold.
    pub fn finish(
        fleet: &Fleet,
        upstreams: Upstreams<'_>,
        configure: &mut dyn FnMut(bool) -> u64,
    ) -> Vec<String> {
        set_outage(fleet, None);
        write_again(fleet, upstreams, || {
            configure(false);
        });
        let copy = fleet.store.copy();
        write_notes(fleet, LOST_CHANGES);
        thread::sleep(Duration::from_secs(1));
        set_outage(fleet, Some(Outage::Reset));
        thread::sleep(Duration::from_millis(500));
        fleet.store.restore(&copy);
        set_outage(fleet, None);
        write_again(fleet, upstreams, || {
            configure(false);
        });
        thread::sleep(CONTACT);
        let mut violations = Vec::new();
        let before = configure(false);
        configure(true);
        let written = Instant::now();
        let old = FLAGS[(before % FLAGS.len() as u64) as usize].prefix;
        for gateway in 0..fleet.gateways.len() {
            loop {
                let asked = Instant::now();
                let id = format!("flag-{gateway}-{}", fleet.ledger.arrivals().len());
                let found = fleet.send(gateway, &request(&id, "GET", old)).status;
                if found == 404 {
                    break;
                }
                if asked > written + APPLY_TIME {
                    violations.push(format!(
                        "gateway {gateway}: expected 404 for a route that was dropped, found {found}"
                    ));
                    break;
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
        let leaving = &upstreams[1][0];
        leaving.announce_leaving();
        thread::sleep(DRAIN_TIME);
        let from = Instant::now();
        for gateway in 0..fleet.gateways.len() {
            for number in 0..LAST_READS {
                fleet.send(
                    gateway,
                    &request(&format!("left-{gateway}-{number}"), "GET", "/read/1"),
                );
            }
        }
        let arrivals = fleet.ledger.arrivals();
        let late = arrivals
            .iter()
            .filter(|arrival| arrival.upstream == leaving.id() && arrival.at > from);
        let late = late.count();
        if late > 0 {
            violations.push(format!(
                "{late} requests reached an upstream that had announced that it leaves"
            ));
        }
        violations
    }
}

/// Changes the content under a key that no gateway reads.
fn write_notes(fleet: &Fleet, count: u64) {
    for number in 0..count {
        fleet.store.put_bytes("op/note", number.to_string().as_bytes());
    }
}

fn set_outage(fleet: &Fleet, outage: Option<Outage>) {
    for gateway in &fleet.gateways {
        gateway.store_endpoint.set_outage(outage);
    }
}

/// Writes what operator and upstreams had written, and removes entries of upstreams that have gone.
fn write_again(fleet: &Fleet, upstreams: Upstreams<'_>, configure: impl FnOnce()) {
    configure();
    let living: Vec<&Upstream> = upstreams.into_iter().flatten().collect();
    for key in fleet.store.keys("servers/") {
        let id = key.trim_start_matches("servers/");
        if !living.iter().any(|upstream| upstream.id() == id) {
            fleet.store.remove(&key);
        }
    }
    for upstream in living {
        upstream.register();
    }
}
