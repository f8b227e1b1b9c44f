//! Answers questions of operators where a request would go, with the decisions of [`exchange`](super::exchange) and without their effects.

use std::rc::Rc;

use bytes::Bytes;
use carob_dispatch::{
    fleet::{Decision, Explanation},
    table::Route,
};
use carob_platform::request;
use hyper::http::request::Parts;
use tokio::time::Instant;

use super::{
    admission,
    body::HeldBytes,
    call::Call,
    exchange::{DEFAULT_CLIENT_TIMEOUT, Refusal},
    limit, link, lookup, outdated,
    shared::Shared,
    shutdown, verdict,
};
use crate::question::{Answer, Choice, Question, Rejection};

/// Maximum number of a route's services that are answered for.
const MAX_SERVICES: usize = 8;

/// Id of a described request that names none.
const DEFAULT_ID: &[u8] = b"where";

/// Answers a question.
pub(super) fn answer(shared: &Rc<Shared>, question: Question) {
    let begun = Instant::now();
    let answer = explain(shared, &question.parts).map_err(reject);
    log::info!(
        route = answer.as_ref().map_or("none", |answer| &*answer.route),
        rejected = answer.as_ref().map_or_else(|rejection| rejection.reason, |_| ""),
        upstreams = answer.as_ref().map_or(0, Answer::upstreams),
        elapsed_us = begun.elapsed().as_micros() as u64; "placement explained to an operator"
    );
    // The operator may have gone.
    let _unread = question.reply.send(answer);
}

fn reject((local, reason): Refusal) -> Rejection {
    Rejection {
        status: local.status().as_u16(),
        reason,
    }
}

fn explain(shared: &Rc<Shared>, parts: &Parts) -> Result<Answer, Refusal> {
    lookup::check_memory(shared)?;
    let first = describe(shared, parts, 0)?;
    let more = (1..MAX_SERVICES).map_while(|index| describe(shared, parts, index).ok());
    let choices = std::iter::once(Rc::clone(&first)).chain(more);
    Ok(Answer {
        version: first.version,
        is_current: shared.is_current(),
        is_informed: !shared.is_uninformed(),
        is_isolated: shared.is_isolated(),
        route: first.route.name.clone(),
        account: first.account.clone(),
        regions: first.regions().to_string(),
        priority: first.priority,
        choices: choices.map(|call| choose(&call)).collect(),
    })
}

/// The described request as it is admitted if the traffic split assigns it to the service of this `index`.
fn describe(shared: &Rc<Shared>, parts: &Parts, index: usize) -> Result<Rc<Call>, Refusal> {
    let mut head = request::decode(&parts.headers);
    if head.id.is_empty() {
        head.id = Bytes::from_static(DEFAULT_ID);
    }
    let arrival = Instant::now();
    let deadline = arrival + head.client_timeout.unwrap_or(DEFAULT_CLIENT_TIMEOUT);
    let pick = |route: &Route| services(route).nth(index).map(|(name, _)| name.clone());
    let body = (Bytes::new(), HeldBytes::new(shared));
    lookup::admit(shared, (head, parts.clone()), body, (arrival, deadline), pick)
}

/// Services of a route that get requests, with their weights.
fn services(route: &Route) -> impl Iterator<Item = &(Box<str>, u32)> {
    route.services.iter().filter(|(_, weight)| *weight > 0)
}

/// What would be done with a request, as in [`exchange::handle`](super::exchange::handle).
fn choose(call: &Call) -> Choice {
    let shared = &call.shared;
    let requirements = admission::bounded_requirements(call, call.run_size(0), &[]);
    let longest = admission::longest_wait(call, &requirements);
    let stay = admission::stay(
        call,
        longest,
        call.answer_deadline().min(call.arrival + longest),
        false,
    );
    let instances = || limit::instances(shared);
    let explanation: Explanation = shared
        .fleet()
        .explain(&requirements, &stay, instances, shared.now());
    let upstream = match explanation.decision {
        Decision::Send(upstream) => Some(upstream),
        Decision::Wait(_) | Decision::Refuse(_) => None,
    };
    let refusal = verdict::peek(call, upstream)
        .and_then(|()| link::check(call))
        .and_then(|()| outdated::peek(call))
        .and_then(|()| shutdown::peek(call))
        .err();
    let weight = services(&call.route).find(|(name, _)| *name == call.service);
    Choice {
        service: call.service.clone(),
        weight: weight.map_or(0, |(_, weight)| *weight),
        is_engine: call.engine.is_some(),
        size: requirements.size,
        longest: stay.left,
        refusal: refusal.map(reject),
        explanation,
    }
}
