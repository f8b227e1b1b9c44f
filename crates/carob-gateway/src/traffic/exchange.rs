//! Handling of one request, from its head to the head of its response.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use carob_base::Time;
use carob_dispatch::{
    fleet::{Cause, Decision, QueuedRequest, Requirements, UpstreamHealth, UpstreamKey},
    head::LastEvent,
    outcome::{AttemptResult, NextAction},
    table::Route,
};
use carob_platform::{
    answer::AnswerKind,
    request::{self, Resume},
};
use hyper::{Request, Response, StatusCode, body::Incoming};
use tokio::time::{Instant, timeout_at};

use super::{
    admission,
    answer::{LocalAnswer, ResponseBody},
    attempts::Attempts,
    body,
    call::Call,
    crash,
    guard::{ActiveRequest, QueueEntry, Reservation},
    limit, link,
    listen::RequestCount,
    lookup, outdated, pace, plain, prefixes, probe,
    repeats::Repeat,
    resume::OpenStream,
    shared::Shared,
    shutdown, stream, verdict, waiting,
};
use crate::{
    overhead::ReceivedBody,
    socket::{self, ConnectionTask},
};

/// Time limit of an attempt that may be followed by another, as a multiple of the route's target latency.
const ATTEMPT_FACTOR: f64 = 2.5;

/// Assumed timeout of a client whose request states no deadline.
pub(super) const DEFAULT_CLIENT_TIMEOUT: Duration = Duration::from_mins(1);

/// Maximum size of a request body in bytes while no configuration is known.
const DEFAULT_BODY_LIMIT: usize = 4 << 20;

/// Suggested retry delay while no upstream of the service is known; a new one is in the directory within
/// seconds.
pub(super) const RETRY_NO_UPSTREAM: Duration = Duration::from_secs(1);

/// Suggested retry delay while all upstreams are full, reject the request or cannot be reached; some of the
/// requests that they run have ended by then.
pub(super) const RETRY_FULL: Duration = Duration::from_millis(1_500);

/// Handles a request up to the head of its response. `active` and `count` are kept until the end of a stream.
pub(super) async fn handle(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
    active: ActiveRequest,
    count: RequestCount,
) -> Response<ResponseBody> {
    let arrival = Instant::now();
    let (parts, body) = request.into_parts();
    let head = request::decode(&parts.headers);
    let id = head.id.clone();
    shared.name_request(active.key, &id);
    metrics::counter!("carobhaven_requests_total").increment(1);
    if let Err((local, reason)) = lookup::check_memory(shared) {
        waiting::count_refusal("answers");
        return refuse(&id, local, reason, arrival);
    }
    let client_deadline = arrival + head.client_timeout.unwrap_or(DEFAULT_CLIENT_TIMEOUT);
    let limit = shared
        .table()
        .map_or(DEFAULT_BODY_LIMIT, |table| table.limits().body_bytes);
    let body = match timeout_at(client_deadline, body::read(shared, body, limit)).await {
        Ok(Ok(body)) => body,
        Ok(Err(body::Error::TooLong)) => {
            return refuse(&id, LocalAnswer::Denied(413), "body over the limit", arrival);
        }
        Ok(Err(body::Error::MemoryFull)) => {
            waiting::count_refusal("bodies");
            return refuse(
                &id,
                LocalAnswer::Refused(RETRY_FULL),
                "bodies hold all their memory",
                arrival,
            );
        }
        Ok(Err(body::Error::Incomplete)) => {
            return refuse(&id, LocalAnswer::Denied(400), "body not whole", arrival);
        }
        Err(_elapsed) => return refuse(&id, LocalAnswer::Denied(408), "body not whole in time", arrival),
    };
    let pick = |route: &Route| route.pick_service(rand::random()).map(Box::from);
    let call = match lookup::admit(shared, (head, parts), body, (arrival, client_deadline), pick) {
        Ok(call) => call,
        Err((local, reason)) => return refuse(&id, local, reason, arrival),
    };
    record_admitted(&call);
    let outcome = run_attempts(&call, active, count).await;
    match outcome {
        Ok(response) => response,
        Err((local, reason)) => {
            log::warn!(
                request:% = call.id(), route:% = call.route.name, own:? = local, reason,
                age_ms = call.age_ms(), version = call.version,
                queued = shared.fleet().queue_length(&call.service); "answered by the gateway"
            );
            metrics::counter!("carobhaven_own_answers_total", "status" => local.status().as_str().to_owned())
                .increment(1);
            local.response(&id, reason)
        }
    }
}

/// Counts a request that was admitted.
fn record_admitted(call: &Call) {
    call.shared.record_request(&call.service);
    if call.last_event.is_some() {
        metrics::counter!("carobhaven_resumed_requests_total").increment(1);
    } else if call.head.last_event != LastEvent::Absent {
        log::info!(
            request:% = call.id(), route:% = call.route.name, named:? = call.head.last_event;
            "last event not obeyed: the route's requests do not resume"
        );
    }
}

/// Answers a request that was not admitted.
fn refuse(id: &Bytes, local: LocalAnswer, reason: &'static str, arrival: Instant) -> Response<ResponseBody> {
    log::warn!(
        request:% = String::from_utf8_lossy(id), own:? = local, reason,
        age_ms = arrival.elapsed().as_millis() as u64; "answered by the gateway"
    );
    metrics::counter!("carobhaven_own_answers_total", "status" => local.status().as_str().to_owned())
        .increment(1);
    local.response(id, reason)
}

/// The gateway's own answer to a request, and the reason for it in the log.
pub(super) type Refusal = (LocalAnswer, &'static str);

/// Handles a request until the head of its response.
async fn run_attempts(
    call: &Rc<Call>,
    active: ActiveRequest,
    count: RequestCount,
) -> Result<Response<ResponseBody>, Refusal> {
    let mut attempts = Attempts::default();
    let start = RunStart {
        position: call.last_event,
        generated: 0,
        since: call.arrival,
    };
    match next_answer(call, &mut attempts, start, Some(&active)).await? {
        Answer::Stream(opened) => Ok(stream::start(call, *opened, attempts, active, count)),
        Answer::Complete(response) => Ok(response),
    }
}

/// Where the next run of a request begins.
#[derive(Clone, Copy)]
pub(super) struct RunStart {
    /// Id of the last event that the client has; `None` if it has none.
    pub(super) position: Option<u64>,
    /// Tokens that earlier runs have generated.
    pub(super) generated: u32,
    /// When a place for the run began to be looked for.
    pub(super) since: Instant,
}

/// An upstream's answer to a request.
pub(super) enum Answer {
    /// A stream whose head has arrived.
    Stream(Box<OpenStream>),
    /// A complete response, or a long one that is passed on as it arrives.
    Complete(Response<ResponseBody>),
}

/// Sends the request to upstreams until one answers or no further attempt is permitted. `active` is absent once events of
/// its stream were passed on.
pub(super) async fn next_answer(
    call: &Rc<Call>,
    attempts: &mut Attempts,
    start: RunStart,
    active: Option<&ActiveRequest>,
) -> Result<Answer, Refusal> {
    loop {
        // A request that may have run cannot be refused any more; what is left of the grace limits its attempt.
        let unrun = active.filter(|_| attempts.ran == 0);
        verdict::check(call, attempts.ran)?;
        if attempts.ran == 0 {
            link::check(call)?;
        }
        outdated::check(call, attempts.ran).await?;
        let reservation = match reserve(call, &attempts.tried, start, unrun).await {
            Ok(reservation) => reservation,
            Err(refusal) if attempts.ran == 0 => return Err(refusal),
            Err(_) => return Err((LocalAnswer::Unclear, "no other upstream for a retry")),
        };
        verdict::check_place(call, reservation.upstream, attempts.ran)?;
        let repeat = attempts.reserve_repeat(call)?;
        let upstream = reservation.upstream;
        log_sent(call, &reservation, attempts.ran + attempts.rejected);
        let last = attempts.ran + 1 >= call.route.max_attempts || !call.route.kind.is_idempotent();
        let outcome = attempt(call, &reservation, repeat, (start.position, last)).await;
        let next = match outcome {
            Outcome::Stream(response, driver) => {
                return Ok(Answer::Stream(Box::new(OpenStream {
                    reservation,
                    response,
                    driver,
                    first_bytes: None,
                })));
            }
            Outcome::Complete(response) if !is_failure(response.status()) => {
                log_answered(call, response.status(), upstream);
                return Ok(Answer::Complete(response));
            }
            Outcome::Complete(response) => {
                let next = attempts.record(call, upstream, AttemptResult::Failed);
                if next != NextAction::Retry || !attempts.is_permitted(call) {
                    log_answered(call, response.status(), upstream);
                    return Ok(Answer::Complete(response));
                }
                continue;
            }
            Outcome::NoAnswer(result) => attempts.record(call, upstream, result),
            Outcome::Silent => attempts.record_silence(call, upstream),
        };
        drop(reservation);
        match next {
            NextAction::Retry if Instant::now() < call.answer_deadline() && attempts.is_permitted(call) => {}
            NextAction::Retry | NextAction::Refuse if attempts.ran == 0 => {
                return Err((
                    LocalAnswer::Refused(link::spread(RETRY_FULL)),
                    "upstreams rejected the request or cannot be reached",
                ));
            }
            _ => return Err(unanswered(call)),
        }
    }
}

/// The answer to a request that was sent and not answered.
fn unanswered(call: &Call) -> Refusal {
    if Instant::now() >= call.answer_deadline() {
        (LocalAnswer::Late, "no answer in time")
    } else {
        (
            LocalAnswer::Unclear,
            "nothing is known of the request after it was sent",
        )
    }
}

/// Reserves capacity at an upstream, after waiting in the queue if all are full. Starts anew if the regions of the request
/// change while it waits.
async fn reserve(
    call: &Rc<Call>,
    tried: &[UpstreamKey],
    start: RunStart,
    active: Option<&ActiveRequest>,
) -> Result<Reservation, Refusal> {
    let size = call.run_size(start.generated);
    let queued_at = call.shared.now();
    let mut requirements = admission::requirements(call, size, tried);
    loop {
        let place = (start, queued_at, !tried.is_empty());
        let reserved = reserve_once(call, requirements, place, active);
        tokio::select! {
            biased;
            () = call.residence.changed() => {}
            outcome = reserved => return outcome,
        }
        requirements = admission::bounded_requirements(call, size, tried);
    }
}

async fn reserve_once(
    call: &Rc<Call>,
    requirements: Requirements,
    (start, queued_at, is_repeat): (RunStart, Time, bool),
    active: Option<&ActiveRequest>,
) -> Result<Reservation, Refusal> {
    let shared = &call.shared;
    let size = requirements.size;
    shutdown::check(call, active)?;
    limit::record_demand(shared, &requirements);
    if requirements.capacity > 0
        && shared.is_isolated()
        && let Some(upstream) = probe::place(shared, &requirements).await
    {
        return Ok(Reservation::new(shared, upstream, size));
    }
    let now = shared.now();
    let longest = admission::longest_wait(call, &requirements);
    let queue_deadline = call.answer_deadline().min(start.since + longest);
    let stay = admission::stay(call, longest, queue_deadline, is_repeat);
    let decision = shared
        .fleet()
        .decide(&requirements, &stay, || limit::instances(shared), now);
    let wait = match decision {
        Decision::Send(upstream) => return Ok(prefixes::reserve(shared, upstream, &requirements)),
        Decision::Refuse(cause) => return Err(refusal(call, &cause, longest)),
        Decision::Wait(cause) => limit::plan_wait(call, &requirements, queue_deadline, &cause),
    };
    admission::log_wait(call, &requirements, longest);
    let key = shared.fleet_mut().enqueue(QueuedRequest {
        requirements,
        priority: call.priority,
        queued_at,
        share: admission::share(call, wait.until),
    });
    let mut entry = QueueEntry::new(shared, key);
    shared.grant_waiting();
    let outcome = tokio::select! {
        biased;
        outcome = timeout_at(wait.until, admission::await_grant(call, &mut entry)) => outcome,
        refusal = shutdown::refusal(call, active) => return Err(refusal),
    };
    drop(entry);
    match outcome {
        Ok(Ok((upstream, run))) => {
            let reservation = Reservation::adopt(shared, upstream, run, size);
            admission::log_granted(call, upstream);
            // The rest of the grace may have become too short while the request waited.
            shutdown::check(call, active)?;
            Ok(reservation)
        }
        Ok(Err(_)) | Err(_) if wait.is_held() => Err(wait.refuse(call)),
        Ok(Err(_)) | Err(_) => Err(admission::refusal(call, longest).unwrap_or_else(|| wait.refuse(call))),
    }
}

/// The gateway's answer to a request that gets no place and may not wait, by its `longest` wait.
fn refusal(call: &Call, cause: &Cause, longest: Duration) -> Refusal {
    match cause {
        Cause::NoUpstream => (
            LocalAnswer::Refused(link::spread(RETRY_NO_UPSTREAM)),
            "no upstream of the service is known",
        ),
        Cause::Scarce(forecast) => admission::refuse_scarce(call, forecast, longest),
        Cause::Held(held) => limit::refuse(call, *held),
        Cause::Full | Cause::Queue | Cause::Turns => {
            (LocalAnswer::Refused(RETRY_FULL), "all upstreams are full")
        }
    }
}

/// How an attempt ended.
enum Outcome {
    /// A stream whose head has arrived.
    Stream(Response<ReceivedBody>, ConnectionTask),
    /// A complete response, or a long one that is passed on as it arrives.
    Complete(Response<ResponseBody>),
    /// No usable response.
    NoAnswer(AttemptResult),
    /// No sign of life until the time limit; the request may still arrive.
    Silent,
}

/// Whether a status means that the upstream failed.
fn is_failure(status: StatusCode) -> bool {
    status.is_server_error()
}

/// What a status says about the upstream's health.
fn health_of(status: StatusCode) -> UpstreamHealth {
    if is_failure(status) {
        UpstreamHealth::Failing
    } else {
        UpstreamHealth::Healthy
    }
}

/// Whether a status promises the client that the request has not run. Upstreams state that in a header of
/// their own ([`AnswerKind::NotRun`]), so a response with such a status but without the header is not passed on.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Sends the request to the reserved upstream, as a `repeat` if another may have got it before. Its stream begins after
/// the event `position`. An attempt that is not the `last` one has a time limit of its own.
async fn attempt(
    call: &Rc<Call>,
    reservation: &Reservation,
    repeat: Option<Repeat>,
    (position, last): (Option<u64>, bool),
) -> Outcome {
    let shared = &call.shared;
    let upstream = reservation.upstream;
    let record = |health| shared.fleet_mut().record_attempt(upstream, health, shared.now());
    let deadline = if last {
        call.answer_deadline()
    } else {
        call.answer_deadline()
            .min(Instant::now() + call.route.target_latency.mul_f64(ATTEMPT_FACTOR))
    };
    let sent = Instant::now();
    let resume = position.map(|event| Resume {
        memory: None,
        last_event: Some(event),
    });
    let send_deadline = admission::send_deadline(call, deadline);
    let sending = call.send(reservation, repeat, resume.as_ref(), send_deadline);
    let (response, driver) = match admission::await_answer(call, reservation, sending, deadline).await {
        Ok(answered) => answered,
        Err(error) => return unanswered_send(call, reservation.upstream, &error, sent),
    };
    let status = response.status();
    match call.classify(upstream, status, response.headers()) {
        AnswerKind::NotRun => {
            // Another upstream now has the address, so the intended one is gone.
            if status == StatusCode::MISDIRECTED_REQUEST {
                record(UpstreamHealth::Unreachable);
            }
            limit::record_rejection(call, upstream, &response, driver.relay());
            return no_answer(call, upstream, AttemptResult::Rejected, &status);
        }
        AnswerKind::Foreign => {
            record(UpstreamHealth::Failing);
            return no_answer(
                call,
                upstream,
                AttemptResult::Unknown,
                &"the answer is not the upstream's answer to this request",
            );
        }
        AnswerKind::Ran if implies_not_run(status) => {
            return no_answer(call, upstream, AttemptResult::Failed, &status);
        }
        AnswerKind::Ran => {}
    }
    let health = health_of(status);
    if call.route.kind.is_stream() && status.is_success() {
        record(health);
        return Outcome::Stream(response, driver);
    }
    match plain::collect(call, upstream, response, driver, deadline).await {
        Ok(response) => {
            record(health);
            if health == UpstreamHealth::Healthy {
                pace::record_call(call, reservation);
            }
            verdict::record_sound(call);
            Outcome::Complete(response)
        }
        Err(error) => {
            record(UpstreamHealth::Failing);
            crash::observe_failure(call, upstream, &error, sent);
            no_answer(call, upstream, AttemptResult::Unknown, &error)
        }
    }
}

/// How an attempt ended that got no head of an answer. `sent` is when it began.
fn unanswered_send(call: &Rc<Call>, upstream: UpstreamKey, error: &socket::Error, sent: Instant) -> Outcome {
    let shared = &call.shared;
    let (health, result) = match error {
        // Says nothing about the upstream.
        socket::Error::Excluded(_) => return no_answer(call, upstream, AttemptResult::Unsent, error),
        socket::Error::Connect(_) => (UpstreamHealth::Unreachable, AttemptResult::Unsent),
        socket::Error::Broken(_)
        | socket::Error::Status(_)
        | socket::Error::Unfinished(_)
        | socket::Error::Timeout => (UpstreamHealth::Failing, AttemptResult::Unknown),
    };
    shared.fleet_mut().record_attempt(upstream, health, shared.now());
    crash::observe_failure(call, upstream, error, sent);
    let outcome = no_answer(call, upstream, result, error);
    if matches!(error, socket::Error::Timeout) {
        Outcome::Silent
    } else {
        outcome
    }
}

/// Logs why an attempt brought no usable answer.
fn no_answer(
    call: &Call,
    upstream: UpstreamKey,
    attempt: AttemptResult,
    reason: &dyn std::fmt::Display,
) -> Outcome {
    log::warn!(
        request:% = call.id(), upstream:% = upstream_name(call, upstream), attempt:? = attempt, reason:% = reason,
        age_ms = call.age_ms(); "attempt without an answer"
    );
    Outcome::NoAnswer(attempt)
}

/// Returns the name of an upstream for log lines, or `forgotten` once its state has been removed.
pub(super) fn upstream_name(call: &Call, upstream: UpstreamKey) -> Box<str> {
    let fleet = call.shared.fleet();
    fleet
        .upstream(upstream)
        .map_or_else(|| Box::from("forgotten"), |found| found.entry.id.clone())
}

fn log_sent(call: &Call, reservation: &Reservation, attempts_before: u32) {
    let held = prefixes::count_expected(call, reservation.upstream);
    let fleet = call.shared.fleet();
    let Some(found) = fleet.upstream(reservation.upstream) else {
        return;
    };
    let pace = pace::Known::new(fleet.known_pace(reservation.upstream, call.shared.now()));
    log::info!(
        request:% = call.id(), route:% = call.route.name, service:% = call.service, upstream:% = found.entry.id,
        pace = pace.factor, pace_weight = pace.weight, pace_age_ms = pace.age_ms,
        tokens = reservation.size.tokens, upstream_tokens = found.expected_tokens(),
        upstream_prompts = found.pending_prefill(), upstream_requests = found.total_requests(),
        saved_tokens = held.tokens, saved_age_ms = held.age.as_millis() as u64, attempts_before,
        domain:% = found.entry.domain, regions:% = call.regions(), age_ms = call.age_ms(), version = call.version;
        "sent to an upstream"
    );
}

fn log_answered(call: &Call, status: StatusCode, upstream: UpstreamKey) {
    metrics::histogram!("carobhaven_answer_seconds").record(call.arrival.elapsed().as_secs_f64());
    log::info!(
        request:% = call.id(), upstream:% = upstream_name(call, upstream), status = status.as_u16(),
        age_ms = call.age_ms(); "answer passed on"
    );
}
