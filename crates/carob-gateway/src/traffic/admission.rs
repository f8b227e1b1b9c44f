//! Admission of requests to scarce engines: how long patient requests wait in the queue so that urgent ones are on time.

use std::time::Duration;

use carob_dispatch::fleet::{
    Forecast, RequestSize, Requirements, Share, Stay, UpstreamKey,
    urgency::{self, Silence, TURN_TIME},
};
use tokio::{
    sync::oneshot::error::RecvError,
    time::{Instant, MissedTickBehavior, timeout_at},
};

use super::{
    answer::LocalAnswer,
    call::Call,
    exchange::{RETRY_FULL, Refusal, upstream_name},
    guard::{QueueEntry, Reservation},
    link,
    shared::{Grant, Shared},
};
use crate::{
    peer::{Queue, Queued},
    socket,
};

/// Share of the target latency for which a request may wait in the queue if its service's requests have one priority; the
/// rest is for processing its prompt.
const QUEUE_SHARE: f64 = 0.6;

/// Requirements of a request that looks for an upstream other than those in `tried`, with the bounds for patient requests.
/// Counts the arrival of one that has not been sent yet.
pub(super) fn requirements(call: &Call, size: RequestSize, tried: &[UpstreamKey]) -> Requirements {
    let shared = &call.shared;
    if call.urgency.engine_priority.is_some() && tried.is_empty() {
        let rank = (call.priority, call.route.target_latency);
        let now = shared.now();
        shared.fleet_mut().record_arrival(&call.service, rank, size, now);
    }
    bounded_requirements(call, size, tried)
}

/// Like [`requirements`], without counting anything.
pub(super) fn bounded_requirements(call: &Call, size: RequestSize, tried: &[UpstreamKey]) -> Requirements {
    let requirements = call.requirements(size, tried);
    let shared = &call.shared;
    let bound = call.urgency.headroom.map(|headroom| {
        shared
            .fleet()
            .patient_bound(&requirements, (call.priority, headroom), shared.now())
    });
    requirements.with_patience(bound)
}

/// How a request may stay here until `queue_deadline`, or for `longest`, until it has a place.
pub(super) fn stay(call: &Call, longest: Duration, queue_deadline: Instant, is_repeat: bool) -> Stay {
    Stay {
        priority: call.priority,
        longest,
        left: queue_deadline.saturating_duration_since(Instant::now()),
        is_repeat,
        is_forecast: call.urgency.engine_priority.is_some(),
    }
}

/// Longest time for which a request may wait in the queue, counted from its arrival or the end of its previous run.
pub(super) fn longest_wait(call: &Call, requirements: &Requirements) -> Duration {
    let target = call.route.target_latency;
    if call.urgency.engine_priority.is_none() {
        return target.mul_f64(QUEUE_SHARE);
    }
    urgency::longest_wait(target, requirements.size.prefill, requirements.patience.as_ref())
}

/// Logs that a patient request joins the queue, for at most the time `longest`.
pub(super) fn log_wait(call: &Call, requirements: &Requirements, longest: Duration) {
    let Some(bound) = requirements.patience else {
        return;
    };
    metrics::counter!("carobhaven_patient_waits_total").increment(1);
    let fleet = call.shared.fleet();
    log::info!(
        request:% = call.id(), priority = call.priority, longest_ms = longest.as_millis() as u64,
        headroom_ms = bound.headroom.as_millis() as u64, urgent_prompt = bound.urgent_prompt,
        reserved_tokens = bound.reserve.tokens, reserved_slots = bound.reserve.slots,
        queued = fleet.queue_length(&call.service),
        waiting_instances = fleet.waiting_instances(&call.service, call.shared.now());
        "patient request waits for an engine"
    );
}

/// The gateway's answer to a request that may wait for `longest` and would wait in vain by all that is known, with the time
/// after which it probably would not.
pub(super) fn refuse_scarce(call: &Call, forecast: &Forecast, longest: Duration) -> Refusal {
    let delay = forecast.refusal(longest).unwrap_or(RETRY_FULL);
    refuse(
        call,
        forecast,
        longest,
        delay,
        "all engines are taken for longer than it may wait",
    )
}

/// The gateway's answer to a request that has waited for `longest` in vain; `None` if nothing is predicted for it.
pub(super) fn refusal(call: &Call, longest: Duration) -> Option<Refusal> {
    call.urgency.engine_priority?;
    let shared = &call.shared;
    let forecast = shared
        .fleet()
        .forecast(&call.service, call.priority, shared.now());
    let delay = forecast.retry_delay(longest).unwrap_or(RETRY_FULL);
    Some(refuse(
        call,
        &forecast,
        longest,
        delay,
        "all engines stayed taken",
    ))
}

fn refuse(
    call: &Call,
    forecast: &Forecast,
    longest: Duration,
    delay: Duration,
    reason: &'static str,
) -> Refusal {
    metrics::counter!("carobhaven_forecast_refusals_total", "priority" => call.priority.to_string())
        .increment(1);
    // Clients that are refused in the same moment come back one after the other.
    let delay = link::spread(delay);
    log::info!(
        request:% = call.id(), priority = call.priority, longest_ms = longest.as_millis() as u64,
        expected_ms = forecast.wait.map_or(0, |wait| wait.as_millis() as u64), ahead = forecast.ahead,
        busy_ms = forecast.busy.as_millis() as u64, retry_ms = delay.as_millis() as u64, reason;
        "request refused: engines are scarce"
    );
    (LocalAnswer::Refused(delay), reason)
}

/// By what a request that waits `until` then at the longest shares its turn; `None` if it goes by arrival.
pub(super) fn share(call: &Call, until: Instant) -> Option<Share> {
    call.urgency.engine_priority?;
    let account = call.account.as_deref().unwrap_or_default();
    let left = until.saturating_duration_since(Instant::now());
    Some(Share {
        account: xxhash_rust::xxh3::xxh3_64(account.as_bytes()),
        part: call.head.parts.last().copied().unwrap_or(0),
        until: call.shared.now() + left,
    })
}

/// Waits until a queued request has a place. Patient requests are tried again in each turn, since nothing else may happen.
pub(super) async fn await_grant(call: &Call, entry: &mut QueueEntry) -> Result<Grant, RecvError> {
    call.shared.load_changed.notify_one();
    if call.urgency.headroom.is_none() {
        return (&mut entry.grant).await;
    }
    let mut turns = tokio::time::interval(TURN_TIME);
    turns.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            biased;
            grant = &mut entry.grant => return grant,
            _ = turns.tick() => call.shared.grant_waiting(),
        }
    }
}

/// Logs that a request got a place after it had waited.
pub(super) fn log_granted(call: &Call, upstream: UpstreamKey) {
    if call.urgency.headroom.is_some() {
        metrics::counter!("carobhaven_patient_grants_total").increment(1);
    }
    log::info!(
        request:% = call.id(), priority = call.priority, account = call.account.as_deref().unwrap_or("none"),
        upstream:% = upstream_name(call, upstream), queued = call.shared.fleet().queue_length(&call.service),
        age_ms = call.age_ms(); "place found after waiting"
    );
}

/// What other instances are told of the queue; `None` if no service has requests with different priorities.
pub(super) fn queue(shared: &Shared) -> Option<Queue> {
    if !shared.table()?.has_priorities() {
        return None;
    }
    let loads = shared.fleet().queued_loads();
    Some(Queue {
        loads: loads.into_iter().map(Queued::from).collect(),
    })
}

/// Applies what the instance at `peer` tells about its queue.
pub(super) fn merge_queue(shared: &Shared, peer: std::net::SocketAddr, queue: &Queue) {
    if shared.peers().contains(&peer) {
        let loads = queue.loads.iter().map(|queued| (*queued).into()).collect();
        shared.fleet_mut().set_peer_queue(peer, loads, shared.now());
    }
}

/// How much longer a request waits for an engine that has not answered, or has not begun its stream, before this is decided
/// again; `None` if the engine is to be given up after the time `limit`.
pub(super) fn hold(call: &Call, reservation: &Reservation, limit: Duration) -> Option<Duration> {
    call.urgency.engine_priority?;
    let shared = &call.shared;
    let fleet = shared.fleet();
    let upstream = fleet.upstream(reservation.upstream)?;
    let silence = Silence {
        waited: reservation.placed.elapsed(),
        limit,
        expected: reservation.expected,
        progress: upstream
            .prefilled_at()
            .map(|prefilled| shared.now().since(prefilled)),
    };
    let held = silence.hold();
    metrics::counter!(
        "carobhaven_silent_engines_total", "outcome" => if held.is_some() { "held" } else { "given-up" }
    )
    .increment(1);
    log::info!(
        request:% = call.id(), upstream:% = upstream.entry.id, waited_ms = silence.waited.as_millis() as u64,
        expected_ms = silence.expected.as_millis() as u64,
        prefilled_ms:? = silence.progress.map(|time| time.as_millis() as u64),
        upstream_prompts = upstream.pending_prefill(), upstream_requests = upstream.total_requests(),
        held_ms = held.map_or(0, |time| time.as_millis() as u64); "engine has not begun its answer in time"
    );
    held
}

/// Awaits the answer that `sent` brings from the upstream of `reservation`, until `deadline` or, if the engine merely holds
/// the request in its queue, longer.
pub(super) async fn await_answer<T>(
    call: &Call,
    reservation: &Reservation,
    sent: impl Future<Output = Result<T, socket::Error>>,
    deadline: Instant,
) -> Result<T, socket::Error> {
    if call.urgency.engine_priority.is_none() {
        return sent.await;
    }
    let limit = deadline.saturating_duration_since(reservation.placed);
    let mut until = deadline;
    tokio::pin!(sent);
    loop {
        if let Ok(answer) = timeout_at(until, &mut sent).await {
            return answer;
        }
        let now = Instant::now();
        let held = (now < call.answer_deadline()).then(|| hold(call, reservation, limit));
        match held.flatten() {
            Some(time) => until = now + time,
            None => return Err(socket::Error::Timeout),
        }
    }
}

/// Time until which [`Call::send`] waits for an answer if [`await_answer`] decides when the upstream is given up.
pub(super) fn send_deadline(call: &Call, deadline: Instant) -> Instant {
    if call.urgency.engine_priority.is_some() {
        call.answer_deadline()
    } else {
        deadline
    }
}
