//! Tells upstreams that have ended under requests from answers that broke off alone.
//!
//! An answer may break off because its upstream has crashed, because the answer or its connection was spoilt, or
//! because the upstream has left. When one does, the upstream is asked for a report: if there is no answer, it has
//! ended.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use carob_base::Time;
use carob_dispatch::{
    crashes::{Part, Parts},
    fleet::UpstreamKey,
};
use carob_platform::engine;
use smallvec::SmallVec;
use tokio::time::Instant;

use super::{
    call::Call,
    relay::{self, Purpose},
    shared::Shared,
};
use crate::socket::{self, Connection, MAX_CONTROL_BYTES};

/// Time for which an upstream writes an answer until the request is known not to have crashed it. A request that
/// crashes upstreams does so when its answer begins.
pub(super) const SOUND_TIME: Duration = Duration::from_millis(500);

/// Time for which breaks of the same moment are collected before the upstream is asked.
const COLLECT_TIME: Duration = Duration::from_millis(30);

/// Time limit of an upstream's answer: more than a lost packet on the way to a connection takes within a region.
const ALIVE_TIMEOUT: Duration = Duration::from_millis(400);

/// The same through another instance, which connects to the upstream meanwhile.
const RELAYED_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum number of requests whose ids are logged for one upstream.
const MAX_LOGGED: usize = 8;

/// A request whose answer broke off.
pub(super) struct Break {
    id: Bytes,
    /// What its prompt may have in common with others; empty if it is known not to have crashed the upstream.
    parts: Parts,
    /// When the upstream last sent something for it.
    last_sign: Time,
    /// When it broke off.
    at: Time,
}

/// What an upstream is, after answers of it broke off.
enum State {
    /// It still answers.
    Alive,
    /// It had announced that it leaves, or had left the directory and went on.
    Left,
    /// It has ended without notice, or cannot be reached.
    Ended,
}

impl State {
    /// Name in metrics.
    const fn name(&self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Left => "left",
            Self::Ended => "ended",
        }
    }
}

/// Records that the answer of `upstream` to the request broke off after it had been sent, and finds out whether
/// the upstream has ended. `last_sign` is when the upstream last sent something for the request, or got it;
/// `is_sound` says that the request is known not to be the cause.
pub(super) fn observe_break(call: &Call, upstream: UpstreamKey, last_sign: Instant, is_sound: bool) {
    let shared = &call.shared;
    let parts = if is_sound {
        Parts::new()
    } else {
        call.suspect_parts()
    };
    let broken = Break {
        id: call.head.id.clone(),
        parts,
        last_sign: shared.now() - last_sign.elapsed(),
        at: shared.now(),
    };
    if shared.add_break(upstream, broken) {
        tokio::task::spawn_local(check(Rc::clone(shared), upstream));
    }
}

/// Like [`observe_break`], for a request that `upstream` got at `last_sign` and left unanswered because of `error`.
/// A request that timed out or was not sent broke nothing off.
pub(super) fn observe_failure(call: &Call, upstream: UpstreamKey, error: &socket::Error, last_sign: Instant) {
    if matches!(error, socket::Error::Broken(_) | socket::Error::Status(_)) {
        observe_break(call, upstream, last_sign, false);
    }
}

/// Finds out why answers of `upstream` broke off, and records a crash if it has ended.
async fn check(shared: Rc<Shared>, upstream: UpstreamKey) {
    tokio::time::sleep(COLLECT_TIME).await;
    let is_alive = is_alive(&shared, upstream).await;
    let breaks = shared.take_breaks(upstream);
    let Some((name, hash, state)) = shared.fleet().upstream(upstream).map(|found| {
        let has_left = |since| breaks.iter().any(|broken| broken.last_sign >= since);
        let state = if is_alive {
            State::Alive
        } else if found.announced || found.leaving_since.is_some_and(has_left) {
            State::Left
        } else {
            State::Ended
        };
        (found.entry.id.clone(), found.hash(), state)
    }) else {
        return;
    };
    metrics::counter!("carobhaven_upstream_breaks_total", "state" => state.name()).increment(1);
    if !matches!(state, State::Ended) {
        return;
    }
    let suspects: Vec<&Break> = breaks.iter().filter(|broken| !broken.parts.is_empty()).collect();
    let ids = suspects
        .iter()
        .take(MAX_LOGGED)
        .map(|broken| String::from_utf8_lossy(&broken.id));
    let mut parts: SmallVec<[Part; 8]> = suspects
        .iter()
        .flat_map(|broken| broken.parts.iter().copied())
        .collect();
    parts.sort_unstable();
    parts.dedup();
    shared.change_evidence(|evidence, now| {
        let at = breaks.iter().map(|broken| broken.at).min().unwrap_or(now);
        evidence.record_crash(hash, at, suspects.iter().map(|broken| &broken.parts), now);
    });
    log::warn!(
        upstream:% = name, incarnation:% = format!("{hash:016x}"), suspects:% = join(ids), count = suspects.len(),
        others = breaks.len() - suspects.len(),
        fragments:% = join(parts.iter().map(|part| part_name(*part)));
        "upstream ended under requests"
    );
}

/// Name of a part in log lines.
pub(super) fn part_name(part: Part) -> String {
    format!("{:016x}", part.0)
}

/// Whether the upstream answers at all.
async fn is_alive(shared: &Rc<Shared>, upstream: UpstreamKey) -> bool {
    let Some(is_engine) = shared
        .fleet()
        .upstream(upstream)
        .map(|found| shared.is_engine(&found.entry.service))
    else {
        return false;
    };
    if is_engine {
        metrics::counter!("carobhaven_reports_total").increment(1);
    }
    let deadline = Instant::now() + ALIVE_TIMEOUT;
    if answers(shared, upstream, Way::Direct, is_engine, deadline).await {
        return true;
    }
    // A link that is lost looks like an upstream that has ended; another instance can tell.
    let deadline = Instant::now() + RELAYED_TIMEOUT;
    answers(shared, upstream, Way::Relay, is_engine, deadline).await
}

/// How an upstream is asked.
enum Way {
    Direct,
    /// Through another instance.
    Relay,
}

async fn answers(
    shared: &Rc<Shared>,
    upstream: UpstreamKey,
    way: Way,
    is_engine: bool,
    deadline: Instant,
) -> bool {
    let connection = match way {
        Way::Direct => {
            let Some(address) = shared.fleet().upstream(upstream).map(|found| found.entry.address) else {
                return false;
            };
            Connection::open(address, shared.settings().source, deadline).await
        }
        Way::Relay => relay::open(shared, upstream, Purpose::CONTROL, deadline).await,
    };
    match connection {
        // Only engines have reports.
        Ok(connection) if is_engine => {
            let report = socket::call_on(connection, engine::get_report(), MAX_CONTROL_BYTES, deadline);
            // Whatever answers lives.
            matches!(report.await, Ok(_) | Err(socket::Error::Status(_)))
        }
        connection => connection.is_ok(),
    }
}

fn join(texts: impl Iterator<Item = impl AsRef<str>>) -> String {
    let mut joined = String::new();
    for text in texts {
        if !joined.is_empty() {
            joined.push(' ');
        }
        joined.push_str(text.as_ref());
    }
    joined
}
