//! One request: from its head to the head of its answer.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use carob_dispatch::{
    fleet::{Placement, QueuedRequest, UpstreamHealth, UpstreamKey},
    head::Head,
    outcome::{self, AttemptResult, NextAction},
    table::{Denial, RouteKind},
};
use carob_platform::{
    answer::{self, Claim},
    request,
};
use hyper::{Request, Response, StatusCode, body::Incoming, header::HOST, http::request::Parts};
use smallvec::SmallVec;
use tokio::time::{Instant, timeout_at};

use super::{
    answer::{Answer, Own},
    body::{self, Held},
    call::Call,
    guard::{Active, Run, Wait},
    listen::Count,
    plain, probe,
    resume::Opened,
    shared::Shared,
    stream,
};
use crate::socket::{self, Driver};

/// Answers to repeatable requests are waited for this many objectives before another upstream is tried.
const REPEAT_AFTER: f64 = 2.5;

/// How long a client waits that says nothing of it.
const PATIENCE: Duration = Duration::from_mins(1);

/// Bytes of a request's body while no configuration is known.
const BODY: usize = 4 << 20;

/// Share of the objective for which a request may wait for an upstream; the rest is for its prompt.
const WAIT_SHARE: f64 = 0.6;

/// When to come back while no configuration is known: it is read within a second of the start.
const RETRY_START: Duration = Duration::from_millis(800);

/// When to come back while no upstream is known or can be reached: a new one is listed within seconds.
const RETRY_NO_UPSTREAM: Duration = Duration::from_secs(1);

/// When to come back while all upstreams are full: some of the requests that they run have ended by then.
const RETRY_FULL: Duration = Duration::from_millis(1_500);

/// When to come back to another instance, since this one leaves: at once.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(50);

/// Handles a request up to the head of its answer.
pub(super) async fn handle(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
    active: Active,
    count: Count,
) -> Response<Answer> {
    let arrival = Instant::now();
    let (parts, body) = request.into_parts();
    let head = request::decode(&parts.headers);
    let id = head.id.clone();
    metrics::counter!("carobhaven_requests_total").increment(1);
    let patience = arrival + head.client_timeout.unwrap_or(PATIENCE);
    let limit = shared.table().map_or(BODY, |table| table.limits().body_bytes);
    let body = match timeout_at(patience, body::read(shared, body, limit)).await {
        Ok(Ok(body)) => body,
        Ok(Err(body::Error::TooLong)) => {
            return refuse(&head, Own::Denied(413), "body over the limit", arrival);
        }
        Ok(Err(body::Error::Full)) => {
            return refuse(
                &head,
                Own::Refused(RETRY_FULL),
                "bodies hold all their memory",
                arrival,
            );
        }
        Ok(Err(body::Error::Broken)) | Err(_) => {
            return refuse(&head, Own::Denied(400), "body not whole", arrival);
        }
    };
    let call = match admit(shared, head, parts, body, arrival, patience) {
        Ok(call) => call,
        Err((head, own, reason)) => return refuse(&head, own, reason, arrival),
    };
    let outcome = attempts(&call, active, count).await;
    match outcome {
        Ok(response) => response,
        Err((own, reason)) => {
            log::warn!(
                request:% = call.id(), route:% = call.route.name, own:? = own, reason, age_ms = call.age(),
                version = call.version, queued = shared.fleet().queue_length(&call.service); "answered by the gateway"
            );
            metrics::counter!("carobhaven_own_answers_total", "status" => own.status().as_str().to_owned())
                .increment(1);
            own.response(&id)
        }
    }
}

fn refuse(head: &Head, own: Own, reason: &str, arrival: Instant) -> Response<Answer> {
    log::warn!(
        request:% = String::from_utf8_lossy(&head.id), own:? = own, reason,
        age_ms = arrival.elapsed().as_millis() as u64; "answered by the gateway"
    );
    metrics::counter!("carobhaven_own_answers_total", "status" => own.status().as_str().to_owned())
        .increment(1);
    own.response(&head.id)
}

/// Finds the request's place in the configuration.
fn admit(
    shared: &Rc<Shared>,
    head: Head,
    parts: Parts,
    (body, held): (Bytes, Held),
    arrival: Instant,
    patience: Instant,
) -> Result<Rc<Call>, (Head, Own, &'static str)> {
    let Some(table) = shared.table() else {
        return Err((head, Own::Refused(RETRY_START), "no configuration is known yet"));
    };
    if head.id.is_empty() {
        return Err((head, Own::Denied(400), "no id"));
    }
    let host = parts
        .headers
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default();
    let found = match table.lookup(host, parts.uri.path(), head.key.as_deref()) {
        Ok(found) => found,
        // A newer configuration may have the route or the key.
        Err(_) if !shared.current() => {
            return Err((
                head,
                Own::Refused(RETRY_START),
                "not permitted by a configuration that may be old",
            ));
        }
        Err(Denial::NoRoute) => return Err((head, Own::Denied(404), "no such route")),
        Err(Denial::InvalidKey) => return Err((head, Own::Denied(401), "no account has the key")),
    };
    let Some(service) = found.route.pick_service(rand::random()) else {
        return Err((head, Own::Refused(RETRY_NO_UPSTREAM), "the route has no service"));
    };
    let engine = table.service(service).and_then(|service| service.engine.clone());
    shared.with_budget(service, carob_dispatch::budget::RetryBudget::record_request);
    Ok(Rc::new(Call {
        shared: Rc::clone(shared),
        service: service.into(),
        engine,
        account: found.account.map(|account| account.name.clone()),
        rank: found
            .account
            .and_then(|account| account.priority)
            .unwrap_or(found.route.priority),
        until: patience.min(arrival + found.route.timeout),
        route: found.route.clone(),
        version: table.version(),
        head,
        parts,
        body,
        _held: held,
        arrival,
    }))
}

type Refusal = (Own, &'static str);

/// Sends the request to upstreams until one answers or no other may be tried.
async fn attempts(call: &Rc<Call>, active: Active, count: Count) -> Result<Response<Answer>, Refusal> {
    let mut tried: SmallVec<[UpstreamKey; 4]> = SmallVec::new();
    let (mut ran, mut rejected) = (0, 0);
    loop {
        let run = match acquire(call, &tried).await {
            Ok(run) => run,
            Err(refusal) if ran == 0 => return Err(refusal),
            Err(_) => return Err((Own::Unclear, "no other upstream for a retry")),
        };
        let upstream = run.upstream;
        log_sent(call, &run, ran + rejected);
        let last = ran + 1 >= call.route.max_attempts || call.route.kind != RouteKind::Safe;
        let outcome = attempt(call, &run, last).await;
        let attempt = match outcome {
            Outcome::Stream(response, driver) => {
                let opened = Opened {
                    run,
                    response,
                    driver,
                    early: None,
                };
                return Ok(stream::start(call, opened, active, count));
            }
            Outcome::Whole(response) if !failed(response.status()) => {
                log_ended(call, response.status(), upstream);
                return Ok(response);
            }
            Outcome::Whole(response) => {
                ran += 1;
                let next = outcome::next_action(
                    call.route.kind,
                    AttemptResult::Failed,
                    ran,
                    rejected,
                    call.route.max_attempts,
                );
                if !matches!(next, NextAction::Retry { .. }) || !may_retry(call) {
                    log_ended(call, response.status(), upstream);
                    return Ok(response);
                }
                tried.push(upstream);
                continue;
            }
            Outcome::Nothing(attempt) => attempt,
        };
        drop(run);
        match attempt {
            AttemptResult::Unsent | AttemptResult::Rejected => rejected += 1,
            AttemptResult::Failed | AttemptResult::Unknown => ran += 1,
        }
        tried.push(upstream);
        match outcome::next_action(call.route.kind, attempt, ran, rejected, call.route.max_attempts) {
            NextAction::Retry { budgeted }
                if Instant::now() < call.until && (!budgeted || may_retry(call)) => {}
            NextAction::Retry { .. } | NextAction::Refuse if ran == 0 => {
                return Err((
                    Own::Refused(RETRY_FULL),
                    "upstreams rejected the request or cannot be reached",
                ));
            }
            _ if Instant::now() >= call.until => return Err((Own::Late, "no answer in time")),
            _ => return Err((Own::Unclear, "nothing is known of the request after it was sent")),
        }
    }
}

fn may_retry(call: &Call) -> bool {
    let permitted = call
        .shared
        .with_budget(&call.service, carob_dispatch::budget::RetryBudget::try_retry);
    if !permitted {
        log::info!(request:% = call.id(), service:% = call.service; "no retry: the budget is spent");
    }
    permitted
}

/// Waits for a place at an upstream.
async fn acquire(call: &Rc<Call>, tried: &[UpstreamKey]) -> Result<Run, Refusal> {
    let shared = &call.shared;
    let size = call.size(0);
    let need = call.need(size, tried);
    if let Some(remaining) = shared.remaining()
        && remaining < call.duration()
    {
        return Err((
            Own::Refused(RETRY_ELSEWHERE),
            "the instance leaves before the request would end",
        ));
    }
    if need.capacity > 0
        && shared.alone()
        && let Some(upstream) = probe::place(shared, &need).await
    {
        return Ok(Run::new(shared, upstream, size));
    }
    let now = shared.now();
    let first = shared.fleet().queue_length(&call.service) == 0;
    let place = shared.fleet().place(&need, now);
    match place {
        Placement::Upstream(upstream) if first || !tried.is_empty() => {
            return Ok(Run::new(shared, upstream, size));
        }
        Placement::NoUpstream => {
            return Err((
                Own::Refused(RETRY_NO_UPSTREAM),
                "no upstream of the service is known",
            ));
        }
        Placement::Upstream(_) | Placement::Full => {}
    }
    let latest = call
        .until
        .min(call.arrival + call.route.target_latency.mul_f64(WAIT_SHARE));
    if Instant::now() >= latest {
        return Err((Own::Refused(RETRY_FULL), "all upstreams are full"));
    }
    let key = shared.fleet_mut().enqueue(QueuedRequest {
        requirements: need,
        priority: call.rank,
        queued_at: now,
    });
    let wait = Wait::new(shared, key);
    let granted = shared.expect(key);
    shared.grant();
    let outcome = timeout_at(latest, granted).await;
    drop(wait);
    match outcome {
        Ok(Ok((upstream, run))) => {
            log::info!(request:% = call.id(), age_ms = call.age(); "place found after waiting");
            Ok(Run::with_key(shared, upstream, run, size))
        }
        Ok(Err(_)) | Err(_) => Err((Own::Refused(RETRY_FULL), "all upstreams stayed full")),
    }
}

/// How an attempt ended.
enum Outcome {
    /// The head of a stream.
    Stream(Response<Incoming>, Driver),
    /// A whole answer, or a long one that is passed on as it comes.
    Whole(Response<Answer>),
    /// No answer.
    Nothing(AttemptResult),
}

/// Whether a status says that the upstream failed.
fn failed(status: StatusCode) -> bool {
    status.is_server_error()
}

/// Statuses that promise that a request has not run; an upstream's own word for it is another.
fn promises(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

async fn attempt(call: &Rc<Call>, run: &Run, last: bool) -> Outcome {
    let shared = &call.shared;
    let judge = |quality| {
        shared
            .fleet_mut()
            .record_attempt(run.upstream, quality, shared.now());
    };
    let deadline = if last {
        call.until
    } else {
        call.until
            .min(Instant::now() + call.route.target_latency.mul_f64(REPEAT_AFTER))
    };
    let nothing = |attempt, reason: &dyn std::fmt::Display| {
        log::warn!(
            request:% = call.id(), upstream:% = name(call, run.upstream), attempt:? = attempt, reason:% = reason,
            age_ms = call.age(); "attempt without an answer"
        );
        Outcome::Nothing(attempt)
    };
    let (response, driver) = match call.send(run, None, deadline).await {
        Ok(answered) => answered,
        Err(error @ socket::Error::Connect(_)) => {
            judge(UpstreamHealth::Unreachable);
            return nothing(AttemptResult::Unsent, &error);
        }
        Err(error) => {
            judge(UpstreamHealth::Failing);
            return nothing(AttemptResult::Unknown, &error);
        }
    };
    let status = response.status();
    match answer::claim(status, response.headers(), &call.head.id) {
        Claim::NotRun => {
            // Another upstream has the address, so that this one is not there.
            if status == StatusCode::MISDIRECTED_REQUEST {
                judge(UpstreamHealth::Unreachable);
            }
            return nothing(AttemptResult::Rejected, &status);
        }
        Claim::Foreign => {
            judge(UpstreamHealth::Failing);
            return nothing(
                AttemptResult::Unknown,
                &"the answer is not the upstream's answer to this request",
            );
        }
        Claim::Ran if promises(status) => return nothing(AttemptResult::Failed, &status),
        Claim::Ran => {}
    }
    judge(if failed(status) {
        UpstreamHealth::Failing
    } else {
        UpstreamHealth::Healthy
    });
    if call.route.kind == RouteKind::Stream && status.is_success() {
        return Outcome::Stream(response, driver);
    }
    match plain::collect(shared, response, driver, deadline).await {
        Ok(response) => Outcome::Whole(response),
        Err(error) => nothing(AttemptResult::Unknown, &error),
    }
}

/// The name of an upstream for log lines.
pub(super) fn name(call: &Call, upstream: UpstreamKey) -> Box<str> {
    let fleet = call.shared.fleet();
    fleet
        .upstream(upstream)
        .map_or_else(|| Box::from("forgotten"), |found| found.entry.id.clone())
}

fn log_sent(call: &Call, run: &Run, before: u32) {
    let fleet = call.shared.fleet();
    let Some(found) = fleet.upstream(run.upstream) else {
        return;
    };
    log::info!(
        request:% = call.id(), route:% = call.route.name, upstream:% = found.entry.id, tokens = run.size.tokens,
        upstream_tokens = found.expected_tokens(), upstream_prompts = found.pending_prefill(), upstream_requests = found.total_requests(), attempts_before = before,
        age_ms = call.age(), version = call.version; "sent to an upstream"
    );
}

fn log_ended(call: &Call, status: StatusCode, upstream: UpstreamKey) {
    metrics::histogram!("carobhaven_answer_seconds").record(call.arrival.elapsed().as_secs_f64());
    log::info!(
        request:% = call.id(), upstream:% = name(call, upstream), status = status.as_u16(),
        age_ms = call.age(); "answer passed on"
    );
}
