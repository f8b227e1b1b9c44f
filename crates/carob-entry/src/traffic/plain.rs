//! Calls to plain services.
//!
//! Idempotent calls are retried on other upstreams within the service's retry budget. Non-idempotent calls
//! are claimed before they are sent, and sent at most once.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use carob_base::Name;
use carob_http::{Headers, client, listen::Exchange};
use carob_route::{End, submit::Request};
use carob_stream::call::{self, Failure, Step};
use carob_suspect::Fingerprint;
use carob_wire::{Problem, header};

use super::{
    admit::{self, Call},
    claimed,
    place::{Decision, RequestHandle},
};
use crate::{control::Destination, shared::Shared};

/// Headers that are not passed on: they concern one connection, or this system sets or checks them itself.
const NOT_FORWARDED: [&str; 9] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "te",
    "transfer-encoding",
    "upgrade",
];
/// Minimum time limit of one attempt.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);

/// The parts of a caller's request that are passed on to an upstream.
#[derive(Debug)]
pub struct ForwardedCall {
    method: String,
    path: String,
    headers: Headers,
    body: Bytes,
}

/// Sends the call to an upstream of its service.
pub fn serve(shared: &Arc<Shared>, call: &Call, mut exchange: Exchange) {
    let forward = ForwardedCall::new(&mut exchange);
    if call.route.idempotent {
        idempotent(shared, call, &forward, exchange);
    } else {
        claimed::serve(shared, call, &forward, exchange);
    }
}

impl ForwardedCall {
    fn new(exchange: &mut Exchange) -> Self {
        let mut path = exchange.path().to_owned();
        if !exchange.query().is_empty() {
            path = format!("{path}?{}", exchange.query());
        }
        Self {
            method: exchange.method().to_owned(),
            path,
            headers: end_to_end(exchange.headers()),
            body: exchange.take_body(),
        }
    }

    /// Digest of the call, by which reuse of an idempotency key for another call is detected.
    pub fn claim_fingerprint(&self) -> u64 {
        carob_claim::key::fingerprint(&self.method, &self.path, &self.body)
    }

    /// Digest of the call, by which crashes of upstreams are attributed.
    pub fn suspect_fingerprint(&self, service: &Name) -> Fingerprint {
        Fingerprint::new(service, &self.claim_fingerprint().to_be_bytes())
    }

    /// The request to the upstream; `limit` is its time limit.
    pub fn request(&self, destination: &Destination, id: u64, limit: Duration) -> client::Request {
        let mut request = client::Request::new(&self.method, destination.address, &self.path)
            .with_body(self.body.clone())
            .with_header(header::REQUEST_ID, id.to_string())
            .with_deadline(limit);
        for (name, value) in self.headers.iter() {
            request = request.with_header(name, value);
        }
        request
    }
}

/// The request to the router for a plain call.
pub fn route_request(shared: &Shared, call: &Call) -> Request {
    Request::new(
        shared.next_id(),
        call.service.name.clone(),
        call.account.name.clone(),
    )
    .with_idempotent(call.route.idempotent)
}

/// Passes an upstream's response on to the caller.
pub fn respond(exchange: Exchange, response: client::Response, id: u64) {
    let headers = end_to_end(&response.headers).with(header::REQUEST_ID, id.to_string());
    exchange.respond(response.status, &headers, response.body);
}

/// The headers without those in [`NOT_FORWARDED`].
fn end_to_end(headers: &Headers) -> Headers {
    let mut kept = Headers::new();
    for (name, value) in headers.iter().filter(|(name, _)| !NOT_FORWARDED.contains(name)) {
        kept.push(name, value);
    }
    kept
}

fn idempotent(shared: &Arc<Shared>, call: &Call, forward: &ForwardedCall, exchange: Exchange) {
    let limits = limits(call);
    let mut state = call::Call::new(limits, shared.now());
    let handle = RequestHandle::submit(
        shared,
        route_request(shared, call),
        forward.suspect_fingerprint(&call.service.name),
    );
    let mut decision = handle.wait(|| exchange.is_disconnected());
    loop {
        let destination = match decision {
            Decision::Send(destination) => destination,
            Decision::CallerGone => return handle.finish(End::Cancelled { tokens: 0 }, None),
            Decision::Refuse(problem) => {
                let problem = if state.failed().is_empty() {
                    problem
                } else {
                    state.into_problem()
                };
                handle.finish(End::Failed, None);
                return admit::refuse(exchange, &problem);
            }
        };
        let attempt = state.start(destination.upstream.clone(), shared.now());
        let limit = state.deadline().since(shared.now());
        let result = client::call(&forward.request(&destination, handle.id(), limit));
        let (step, end) = match &result {
            Ok(response) if matches!(response.status, 429 | 503) => (
                state.on_failure(attempt, Failure::Busy, shared.now()),
                End::Failed,
            ),
            Ok(_) => (state.on_answer(attempt), End::Complete { tokens: 0 }),
            Err(client::Error::Refused(_) | client::Error::NotSent(_)) => (
                state.on_failure(attempt, Failure::Refused, shared.now()),
                End::UpstreamDied,
            ),
            Err(client::Error::Unknown(_)) => (
                state.on_failure(attempt, Failure::NoAnswer, shared.now()),
                End::Failed,
            ),
        };
        match (step, result) {
            (Step::Answer, Ok(response)) => {
                let id = handle.id();
                handle.finish(end, None);
                return respond(exchange, response, id);
            }
            (Step::Fail(problem), _) => return fail(handle, end, exchange, &problem),
            (Step::Retry, result) => {
                log::info!(
                    "call: request={} upstream={} retry after {:?}",
                    handle.id(),
                    destination.upstream,
                    result.err()
                );
                handle.retry(end, None);
                decision = handle.wait(|| exchange.is_disconnected());
            }
            (step, _) => {
                unreachable!("one attempt at a time ends in an answer, a retry or a failure: {step:?}")
            }
        }
    }
}

fn fail(handle: RequestHandle, end: End, exchange: Exchange, problem: &Problem) {
    handle.finish(end, None);
    admit::refuse(exchange, problem);
}

/// Limits of the call. One attempt gets at most half of the time for which the caller waits, so that a retry
/// can still start.
fn limits(call: &Call) -> call::Options {
    let response_timeout = call.service.response_timeout;
    call::Options {
        retry_window: response_timeout,
        attempt_timeout: (response_timeout / 2).max(MIN_ATTEMPT_TIMEOUT),
        ..call::Options::default()
    }
}
