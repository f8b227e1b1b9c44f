//! Questions of operators where a described request would go now, and the answers to them.

use std::time::Duration;

use carob_dispatch::fleet::{Candidate, Decision, Explanation, RequestSize};
use hyper::{
    Method, Request,
    header::{HOST, HeaderValue},
    http::request::Parts,
};
use serde_json::{Value, json};
use tokio::sync::oneshot;

/// Path of questions: it is followed by the method, the host and the path of the described request.
pub(crate) const PATH: &str = "/where/";

/// A question to the traffic thread.
#[derive(Debug)]
pub(crate) struct Question {
    /// Head of the described request.
    pub(crate) parts: Parts,
    /// Takes the answer.
    pub(crate) reply: oneshot::Sender<Result<Answer, Rejection>>,
}

/// The request would be answered by the gateway, whatever the state of the upstreams.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rejection {
    /// Status of that answer.
    pub(crate) status: u16,
    /// Why.
    pub(crate) reason: &'static str,
}

/// What would be done with the described request.
#[derive(Debug)]
pub(crate) struct Answer {
    /// Version of the configuration.
    pub(crate) version: u64,
    /// Whether the configuration can be taken as current.
    pub(crate) is_current: bool,
    /// Whether directory updates arrive.
    pub(crate) is_informed: bool,
    /// Whether most other instances are unresponsive, so that the load that they cause is unknown.
    pub(crate) is_isolated: bool,
    /// Name of the route.
    pub(crate) route: Box<str>,
    /// Name of the client account; absent for anonymous requests.
    pub(crate) account: Option<Box<str>>,
    /// Regions in which the request may run.
    pub(crate) regions: String,
    /// Priority; 0 goes first.
    pub(crate) priority: u8,
    /// What would be done at each service of the route.
    pub(crate) choices: Vec<Choice>,
}

/// What would be done with the described request if the route's traffic split assigns it to a service.
#[derive(Debug)]
pub(crate) struct Choice {
    /// Name of the service.
    pub(crate) service: Box<str>,
    /// Weight of the service in the split.
    pub(crate) weight: u32,
    /// Whether its upstreams are engines.
    pub(crate) is_engine: bool,
    /// Capacity that the request takes.
    pub(crate) size: RequestSize,
    /// Longest time in the queue.
    pub(crate) longest: Duration,
    /// The gateway's answer for a reason other than the upstreams' load, if it would give one.
    pub(crate) refusal: Option<Rejection>,
    /// How the upstreams were evaluated.
    pub(crate) explanation: Explanation,
}

/// Reads the described request from the `request` of an operator.
///
/// # Errors
///
/// Returns what is wrong with it.
pub(crate) fn parse<T>(request: Request<T>) -> Result<Parts, String> {
    let target = request
        .uri()
        .path_and_query()
        .map_or("", |target| target.as_str());
    let described = target
        .strip_prefix(PATH)
        .and_then(|target| target.split_once('/'))
        .and_then(|(method, target)| Some((method, target.split_once('/')?)));
    let Some((method, (host, path))) = described else {
        return Err(format!("expected {PATH}METHOD/HOST/PATH, found {target}"));
    };
    let method = Method::from_bytes(method.as_bytes())
        .map_err(|_error| format!("expected an HTTP method, found {method}"))?;
    let uri = format!("/{path}")
        .parse()
        .map_err(|error| format!("expected a path, found /{path}: {error}"))?;
    let host =
        HeaderValue::from_str(host).map_err(|_error| format!("expected the name of a host, found {host}"))?;
    let (mut parts, _body) = request.into_parts();
    parts.headers.insert(HOST, host);
    (parts.method, parts.uri) = (method, uri);
    Ok(parts)
}

impl Answer {
    /// Number of upstreams in it.
    pub(crate) fn upstreams(&self) -> usize {
        let explained = self.choices.iter().map(|choice| &choice.explanation);
        explained.map(|explanation| explanation.candidates.len()).sum()
    }

    /// Renders the answer of the instance `name`. Field names are stable, and end with the unit of what they hold;
    /// `_share` is a share of an upstream's capacity.
    pub(crate) fn render(&self, name: &str) -> Value {
        json!({
            "instance": name,
            "configuration_version": self.version,
            "configuration_current": self.is_current,
            "directory_current": self.is_informed,
            "isolated": self.is_isolated,
            "route": &*self.route,
            "account": self.account.as_deref(),
            "regions": self.regions,
            "priority": self.priority,
            "services": self.choices.iter().map(|choice| choice.render(self.is_isolated)).collect::<Vec<_>>(),
        })
    }
}

impl Choice {
    fn render(&self, is_isolated: bool) -> Value {
        let explanation = &self.explanation;
        let (candidates, excluded): (Vec<_>, Vec<_>) = explanation
            .candidates
            .iter()
            .partition(|candidate| candidate.evaluation.is_ok());
        let (decision, reason, detail) = self.decision();
        let upstream = match explanation.decision {
            Decision::Send(key) if self.refusal.is_none() => {
                candidates.iter().find(|candidate| candidate.key == key)
            }
            _ => None,
        };
        let wait = match explanation.decision {
            Decision::Wait(cause) | Decision::Refuse(cause) => cause.expected_wait(),
            Decision::Send(_) => None,
        };
        json!({
            "service": &*self.service,
            "weight": self.weight,
            "decision": decision,
            "reason": reason,
            "detail": detail,
            "caller_status": self.refusal.map(|refusal| refusal.status),
            "upstream": upstream.map(|candidate| &*candidate.id),
            "asks_load_first": is_isolated && self.is_engine,
            "longest_wait_ms": millis(self.longest),
            "expected_wait_ms": wait.map(millis),
            "queued_requests": explanation.queued,
            "waiting_instances": explanation.waiting_instances,
            "expected_tokens": self.size.tokens,
            "prefill_tokens": self.size.prefill,
            "candidates": candidates.into_iter().map(render_candidate).collect::<Vec<_>>(),
            "excluded": excluded.into_iter().map(render_candidate).collect::<Vec<_>>(),
            "omitted_upstreams": explanation.omitted,
            "other_service_upstreams": explanation.other_services,
        })
    }

    /// What would be done, the name of the reason, and the reason in words.
    fn decision(&self) -> (&'static str, &'static str, &'static str) {
        if let Some(refusal) = self.refusal {
            return ("refuse", "gateway", refusal.reason);
        }
        match &self.explanation.decision {
            Decision::Send(_) => ("send", "lowest-score", "it has the lowest score"),
            Decision::Wait(cause) => ("wait", cause.name(), cause.text()),
            Decision::Refuse(cause) => ("refuse", cause.name(), cause.text()),
        }
    }
}

fn render_candidate(candidate: &Candidate) -> Value {
    let pace = candidate.pace;
    let mut value = json!({
        "upstream": &*candidate.id,
        "domain": &*candidate.domain,
        "requests": candidate.requests,
        "slots": candidate.slots,
        "expected_tokens": candidate.tokens,
        "pending_prefill_tokens": candidate.prefill,
        "peer_load_age_ms": candidate.load_age.map(millis),
        "pace_ms": pace.map(|pace| pace.pace_ms),
        "pace_factor": pace.map(|pace| pace.factor),
        "pace_samples": pace.map(|pace| pace.weight),
        "pace_age_ms": pace.map(|pace| millis(pace.age)),
        "saved_prompt_tokens": candidate.held.tokens,
        "saved_prompt_age_ms": (candidate.held.parts > 0).then(|| millis(candidate.held.age)),
        "pause_left_ms": millis(candidate.pause),
    });
    let terms = match &candidate.evaluation {
        Ok(score) => json!({
            "score_share": score.total(),
            "load_share": score.load,
            "pace_share": score.pace,
            "failures_share": score.failures,
            "unreachable_share": score.unreachable,
            "relay_share": score.relay,
            "distance_share": score.distance,
            "random_share": score.random,
            "saved_share": -score.saved,
            "permit_share": -score.permit,
        }),
        Err(exclusion) => json!({ "reason": exclusion.name(), "detail": exclusion.text() }),
    };
    if let (Value::Object(fields), Value::Object(terms)) = (&mut value, terms) {
        fields.extend(terms);
    }
    value
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
