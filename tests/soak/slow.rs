//! Clients that read large answers slowly, or not for some seconds, and whether other requests are harmed: those to an upstream
//! of its own that no fault touches.

use std::{
    ops::Range,
    thread,
    time::{Duration, Instant},
};

use carob_platform_standin::{
    Upstream,
    client::{self, Outcome},
};
use rand::{RngExt as _, rngs::StdRng};

use crate::{
    checks,
    fleet::{Fleet, request},
    operator::Operator,
    traffic::{Clients, Kind, Observation},
};

/// Routes to large answers and to the upstream of other requests, and their services.
pub const LARGE_PREFIX: &str = "/large/";
pub const LARGE_SERVICE: &str = "large";
pub const CALM_PREFIX: &str = "/calm/";
pub const CALM_SERVICE: &str = "calm";

/// Number of slow readers, and of clients that send other requests.
pub const READERS: u64 = 4;
pub const OTHER_CLIENTS: u64 = 3;

/// Time between two other requests of a client, in milliseconds.
pub const CALM_PAUSE: Range<u64> = 40..120;

/// Size of an answer in bytes: more than the kernel holds for a connection with a narrow buffer.
pub const LARGE_BYTES: usize = 400 << 10;

/// Time for which a slow reader does not read, and one that stops, in milliseconds. Upstreams cut off an answer that stays
/// unread for a second and more.
const SLOW: Range<u64> = 100..700;
const STOPPED: Range<u64> = 2_000..6_000;
const UPSTREAM_PATIENCE: Duration = Duration::from_secs(1);
const STOP_SHARE: f64 = 0.5;

/// Pause between two answers of a client, in milliseconds.
const PAUSE: Range<u64> = 50..300;

const TIMEOUT: Duration = Duration::from_secs(10);
const WORK_TIME: Duration = Duration::from_millis(5);

/// Time within which other requests are answered, far below that for which readers stop.
const OTHERS: Duration = Duration::from_millis(1_500);

/// Starts an upstream with large answers and one for other requests.
pub fn start(fleet: &Fleet) -> [Upstream; 2] {
    let (time, cold) = (WORK_TIME, Duration::ZERO);
    let start = |id, service| fleet.start_cold_in(crate::fleet::DOMAIN, id, service, (time, cold));
    let upstreams = [start("l0", LARGE_SERVICE), start("m0", CALM_SERVICE)];
    upstreams[0].set_answer_bytes(LARGE_BYTES);
    upstreams
}

impl Clients {
    /// Asks gateways in rotation for large answers, and does not read them for some time.
    pub fn read_slowly(&self, rng: &mut StdRng) {
        while !self.is_stopped() {
            let request =
                request(&self.next_request_id(), "GET", &format!("{LARGE_PREFIX}1")).with_timeout(TIMEOUT);
            let gateway = self.pick_gateway(rng);
            let stops = rng.random_bool(STOP_SHARE);
            let pause = Duration::from_millis(rng.random_range(if stops { STOPPED } else { SLOW }));
            let begun = Instant::now();
            if let Some(mut stream) = client::open_narrow(self.address(gateway), &request) {
                let sent = Instant::now();
                thread::sleep(pause);
                let slept = sent.elapsed();
                let outcome = client::read(&mut stream, begun + request.timeout);
                self.record(Observation {
                    given_up: may_be_cut_off(&outcome, slept),
                    request,
                    kind: Kind::Large,
                    outcome,
                    gateway,
                    opened: (begun, sent),
                    begun,
                    sent: Some(sent),
                    ended: Instant::now(),
                    position: 0,
                });
            }
            thread::sleep(Duration::from_millis(rng.random_range(PAUSE)));
        }
    }
}

/// Whether an answer may be cut off since it stayed unread, also if the client's thread was held up. A client that finds no
/// head cannot tell when its connection ended.
fn may_be_cut_off(outcome: &Outcome, slept: Duration) -> bool {
    let pause = slept.max(Duration::from_millis(outcome.max_pause));
    !outcome.complete && (outcome.status == 0 || pause >= UPSTREAM_PATIENCE)
}

/// Other requests that were not answered by a gateway in touch, or late by any that ran, while a slow reader had an answer there.
pub fn violations(observations: &[Observation], operator: &Operator) -> Vec<String> {
    let readers: Vec<&Observation> = observations
        .iter()
        .filter(|seen| seen.kind == Kind::Large && seen.outcome.status == 200)
        .collect();
    let is_beside = |seen: &&Observation| {
        let mut readers = readers.iter().filter(|reader| reader.gateway == seen.gateway);
        readers.any(|reader| reader.begun <= seen.begun && reader.ended >= seen.begun)
    };
    let judged: Vec<&Observation> = observations
        .iter()
        .filter(|seen| seen.kind == Kind::Calm && runs_on(seen, operator))
        .filter(is_beside)
        .collect();
    let time = |seen: &Observation| seen.ended - seen.begun;
    let slowest = judged.iter().map(|seen| time(seen)).max().unwrap_or_default();
    let cut = readers.iter().filter(|reader| !reader.outcome.complete).count();
    eprintln!(
        "{} large answers read slowly, {cut} of them cut off; {} other requests beside them, the slowest took {slowest:?}",
        readers.len(),
        judged.len()
    );
    let harmed = judged.into_iter().filter(|seen| {
        let is_served = seen.outcome.status == 200 && seen.outcome.complete;
        time(seen) > OTHERS || (!is_served && checks::is_in_touch(seen, operator))
    });
    harmed
        .map(|seen| {
            format!(
                "{} at gateway {}, beside slow readers: answered {} after {:?}",
                seen.request.id,
                seen.gateway,
                seen.outcome.status,
                time(seen)
            )
        })
        .collect()
}

/// Whether the gateway of a request was neither suspended nor killed meanwhile.
fn runs_on(seen: &Observation, operator: &Operator) -> bool {
    let lives = operator.lives_at(seen.gateway, seen.opened);
    lives.iter().all(|life| {
        life.killed.is_none_or(|killed| killed > seen.ended) && !life.was_frozen(seen.begun, seen.ended)
    })
}
