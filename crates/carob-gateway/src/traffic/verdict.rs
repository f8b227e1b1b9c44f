//! Refuses requests that crash upstreams, and records which requests do not.

use std::{rc::Rc, time::Duration};

use carob_dispatch::{
    crashes::{Decision, Parts, Verdict},
    fleet::UpstreamKey,
};

use super::{answer::LocalAnswer, call::Call, crash::part_name, exchange::Refusal, shared::Shared};

/// Time in which the entry of an upstream that has crashed lapses, and more: three heartbeats of a second.
const LAPSE_TIME: Duration = Duration::from_secs(5);

/// Suggested retry delay of a request that crashes upstreams: the refusal does not end by waiting.
const RETRY_CRASHES: Duration = Duration::from_mins(1);

/// Why a request that crashes upstreams is refused, in log lines.
pub(super) const CRASHES: &str = "upstreams crash under a part of the request";

/// Decides whether a request may run.
fn decide(call: &Call) -> Decision {
    let shared = &call.shared;
    let mut evidence = shared.evidence();
    if evidence.verdicts().next().is_none() {
        return Decision::Run;
    }
    evidence.check(&call.suspect_parts(), shared.now())
}

/// Like [`check`] and [`check_place`], for a request that only is asked about and would go to `upstream`, if to any.
pub(super) fn peek(call: &Call, upstream: Option<UpstreamKey>) -> Result<(), Refusal> {
    let shared = &call.shared;
    let verdict = match shared.evidence().peek(&call.suspect_parts(), shared.now()) {
        Decision::Run => return Ok(()),
        Decision::Try(verdict) => Some(verdict),
        Decision::Refuse(_) => None,
    };
    let fleet = shared.fleet();
    let is_alone = upstream
        .and_then(|upstream| fleet.upstream(upstream))
        .is_none_or(|found| found.total_requests() == 0);
    if verdict.is_some_and(|verdict| is_alone || verdict.is_doubtful) {
        return Ok(());
    }
    Err((LocalAnswer::Refused(RETRY_CRASHES), CRASHES))
}

/// Whether a generation may go on at another upstream.
pub(super) fn may_move(call: &Call) -> bool {
    decide(call) == Decision::Run
}

/// Checks a request before it waits for a place; `ran` of its attempts may have run already.
///
/// # Errors
///
/// Returns the gateway's answer if a part of the request crashes upstreams.
pub(super) fn check(call: &Call, ran: u32) -> Result<(), Refusal> {
    match decide(call) {
        Decision::Run | Decision::Try(_) => Ok(()),
        Decision::Refuse(verdict) => Err(refuse(call, verdict, ran)),
    }
}

/// Checks a request that is about to be sent to `upstream`: the verdict may have come while it waited. One that is
/// tried needs an upstream that runs nothing else, unless the verdict is doubtful.
///
/// # Errors
///
/// Returns the gateway's answer if the request must not run.
pub(super) fn check_place(call: &Call, upstream: UpstreamKey, ran: u32) -> Result<(), Refusal> {
    let shared = &call.shared;
    let verdict = match decide(call) {
        Decision::Run => return Ok(()),
        Decision::Try(verdict) => verdict,
        Decision::Refuse(verdict) => return Err(refuse(call, verdict, ran)),
    };
    let is_alone = shared
        .fleet()
        .upstream(upstream)
        .is_some_and(|found| found.total_requests() <= 1);
    if !is_alone && !verdict.is_doubtful {
        return Err(refuse(call, verdict, ran));
    }
    shared.evidence().record_trial(verdict.part, shared.now());
    shared.load_changed.notify_one();
    log::info!(
        request:% = call.id(), fragment:% = part_name(verdict.part), crashes = verdict.crashes;
        "request tried: it has a part that is refused"
    );
    Ok(())
}

fn refuse(call: &Call, verdict: Verdict, ran: u32) -> Refusal {
    metrics::counter!("carobhaven_crash_refusals_total").increment(1);
    log::info!(
        request:% = call.id(), fragment:% = part_name(verdict.part), crashes = verdict.crashes,
        last_ms = call.shared.now().since(verdict.last_crash).as_millis() as u64;
        "request refused: upstreams crash under a part of it"
    );
    if ran == 0 {
        (LocalAnswer::Refused(RETRY_CRASHES), CRASHES)
    } else {
        (LocalAnswer::Unclear, CRASHES)
    }
}

/// Records that the upstream has written the answer to a request, or much of it.
pub(super) fn record_sound(call: &Call) {
    record_sound_parts(&call.shared, &call.suspect_parts());
}

/// Like [`record_sound`], for an answer that ended with its connection: only if its upstream is still there after
/// the time in which one that has crashed leaves the directory.
pub(super) fn record_sound_later(call: &Call, upstream: UpstreamKey) {
    let shared = Rc::clone(&call.shared);
    let parts = call.suspect_parts();
    tokio::task::spawn_local(async move {
        tokio::time::sleep(LAPSE_TIME).await;
        let is_listed = shared
            .fleet()
            .upstream(upstream)
            .is_some_and(|found| found.leaving_since.is_none());
        if is_listed {
            record_sound_parts(&shared, &parts);
        }
    });
}

fn record_sound_parts(shared: &Shared, parts: &Parts) {
    let Some((whole, prompt)) = parts.split_last() else {
        return;
    };
    if shared.evidence().is_empty() {
        // No verdict can change.
        let mut evidence = shared.evidence();
        evidence.record_sound(prompt, shared.now());
        return evidence.record_sound_request(*whole, shared.now());
    }
    shared.change_evidence(|evidence, now| {
        evidence.record_sound(prompt, now);
        evidence.record_sound_request(*whole, now);
    });
}
