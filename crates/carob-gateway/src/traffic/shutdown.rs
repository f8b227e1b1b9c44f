//! Judges requests between the signal to shut down and the end of the process, by [`carob_shutdown`].

use std::time::Duration;

use carob_shutdown::{Bounds, Shutdown};
use tokio::time::Instant;

use super::{answer::LocalAnswer, call::Call, exchange::Refusal, guard::ActiveRequest};

/// Suggested retry delay when this instance shuts down; another one can take the request at once.
const RETRY_OTHER_INSTANCE: Duration = Duration::from_millis(50);

/// Refuses a request that could be cut off by the shutdown.
pub(super) fn check(call: &Call, active: Option<&ActiveRequest>) -> Result<(), Refusal> {
    let Some((shutdown, active)) = call.shared.shutdown().zip(active) else {
        return Ok(());
    };
    let bounds = bounds(call);
    let admitted = admit(call, shutdown, bounds);
    log_decision(call, active, shutdown, bounds, admitted.is_ok());
    admitted
}

/// Like [`check`], for a request that only is asked about.
pub(super) fn peek(call: &Call) -> Result<(), Refusal> {
    let shutdown = call.shared.shutdown();
    shutdown.map_or(Ok(()), |shutdown| admit(call, shutdown, bounds(call)))
}

fn bounds(call: &Call) -> Bounds {
    Bounds {
        deadline: call.deadline.saturating_duration_since(Instant::now()),
        longest: call.longest_duration(),
    }
}

fn admit(call: &Call, shutdown: Shutdown, bounds: Bounds) -> Result<(), Refusal> {
    if shutdown.admits(call.shared.now(), bounds) {
        return Ok(());
    }
    Err((
        LocalAnswer::Refused(RETRY_OTHER_INSTANCE),
        "the instance leaves before the request would end",
    ))
}

/// Judges a queued request at the signal to shut down, and again when its longest answer counts no more.
/// Returns the refusal if the shutdown could cut it off, and never returns otherwise.
pub(super) async fn refusal(call: &Call, active: Option<&ActiveRequest>) -> Refusal {
    let shutdown = call.shared.wait_shutdown().await;
    if let Err(refusal) = check(call, active) {
        return refusal;
    }
    let recheck = shutdown.recheck(call.longest_duration());
    tokio::time::sleep(recheck.since(call.shared.now())).await;
    match check(call, active) {
        Err(refusal) => refusal,
        Ok(()) => std::future::pending().await,
    }
}

/// Logs whether a request is accepted although the process shuts down, with what the decision rests on.
fn log_decision(call: &Call, active: &ActiveRequest, shutdown: Shutdown, bounds: Bounds, accepted: bool) {
    let shared = &call.shared;
    let now = shared.now();
    let usage = call.head.usage;
    let all = shared.active();
    let Some(request) = all.get(active.key) else {
        return;
    };
    let decision = if accepted { "accepted" } else { "refused" };
    metrics::counter!("carobhaven_shutdown_requests_total", "decision" => decision).increment(1);
    log::info!(
        request:% = call.id(), decision,
        signal_ms = now.since(shutdown.signal()).as_millis() as u64,
        left_ms = shutdown.left(now).as_millis() as u64,
        longest_ms = bounds.longest.as_millis() as u64,
        deadline_ms = bounds.deadline.as_millis() as u64,
        hint = usage.and_then(|usage| usage.length_hint).unwrap_or(0),
        max_output = usage.map_or(0, |usage| usage.max_output),
        connection_ms = now.since(request.connected).as_millis() as u64, earlier = request.earlier,
        arrival_ms = now.since(request.arrival).as_millis() as u64; "request during the shutdown"
    );
}
