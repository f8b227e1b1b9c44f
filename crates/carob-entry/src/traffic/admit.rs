//! Authentication of a caller, and lookup of the route and the service of its call.

use std::{sync::Arc, time::Duration};

use carob_config::{Account, Config, Route, Service};
use carob_http::listen::Exchange;
use carob_wire::{Code, Problem};
use sha2::{Digest as _, Sha256};

use crate::shared::Shared;

/// Time after which a caller should retry a request that arrived before the first configuration.
pub const NOT_READY_RETRY: Duration = Duration::from_secs(1);

/// An admitted call.
#[derive(Debug)]
pub struct Call {
    /// The configuration under which it was admitted.
    pub config: Arc<Config>,
    /// The caller's account.
    pub account: Account,
    /// The route that matched the method and the path.
    pub route: Route,
    /// The route's service.
    pub service: Service,
    path: String,
    method: String,
}

/// What a call to a generation service refers to, by its method and its path below the route's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource<'a> {
    /// All answers: a new one is requested.
    Collection,
    /// The answer with this id, which is resumed.
    Answer(&'a str),
    /// The cancellation of the answer with this id.
    Cancel(&'a str),
    /// No known resource.
    Unknown,
}

/// Finds the account, the route and the service of a request.
///
/// # Errors
///
/// Returns the problem with which the caller is refused; nothing has run.
pub fn check(shared: &Shared, exchange: &Exchange) -> Result<Call, Problem> {
    let config = shared.config();
    let account = authenticate(&config, exchange)?.clone();
    let (method, path) = (exchange.method(), exchange.path());
    let Some(route) = config.route_for(method, path) else {
        return Err(unmatched(&config, path));
    };
    let Some(service) = config.services.get(&route.service) else {
        return Err(Problem::not_run(
            Code::NotFound,
            "the route's service does not exist",
        ));
    };
    if !account.services.is_empty() && !account.services.contains(&service.name) {
        return Err(Problem::not_run(
            Code::Forbidden,
            "the account may not use this service",
        ));
    }
    Ok(Call {
        account,
        route: route.clone(),
        service: service.clone(),
        path: path.to_owned(),
        method: method.to_owned(),
        config,
    })
}

fn authenticate<'a>(config: &'a Config, exchange: &Exchange) -> Result<&'a Account, Problem> {
    let key = exchange.header("authorization").and_then(bearer);
    let Some(key) = key else {
        return Err(Problem::not_run(
            Code::Unauthorized,
            "expected `Authorization: Bearer KEY`",
        ));
    };
    // Only hashes are compared, so that the time of the comparison reveals nothing about the key.
    let hash: [u8; 32] = Sha256::digest(key.as_bytes()).into();
    config
        .account_by_key(&hash)
        .ok_or_else(|| Problem::not_run(Code::Unauthorized, "the key belongs to no account"))
}

fn bearer(value: &str) -> Option<&str> {
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(key.trim())
}

fn unmatched(config: &Config, path: &str) -> Problem {
    let other_method = config.routes.values().any(|route| {
        let any = route.methods.first().map_or("GET", String::as_str);
        config.route_for(any, path).is_some()
    });
    if other_method {
        Problem::not_run(Code::MethodNotAllowed, "the route does not permit this method")
    } else {
        Problem::not_run(Code::NotFound, "no route covers the path")
    }
}

/// Refuses the request, logs the refusal and counts it in the metrics.
pub fn refuse(exchange: Exchange, problem: &Problem) {
    log::info!(
        "entry: refused method={} path={:?} code={:?} outcome={} detail={:?}",
        exchange.method(),
        exchange.path(),
        problem.code,
        problem.outcome.as_str(),
        problem.detail
    );
    metrics::counter!("carob_entry_refusals_total", "code" => format!("{:?}", problem.code)).increment(1);
    exchange.refuse(problem);
}

impl Call {
    /// What a call to a generation service refers to, by its path below the route's.
    pub fn resource(&self) -> Resource<'_> {
        let below = self.path.get(self.route.path.len()..).unwrap_or_default();
        let mut parts = below.split('/').filter(|part| !part.is_empty());
        match (self.method.as_str(), parts.next(), parts.next(), parts.next()) {
            ("POST", None, None, None) => Resource::Collection,
            ("GET", Some(id), None, None) => Resource::Answer(id),
            ("POST", Some(id), Some("cancel"), None) => Resource::Cancel(id),
            _ => Resource::Unknown,
        }
    }
}
