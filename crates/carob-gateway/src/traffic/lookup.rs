//! Checks requests against the configuration and looks up what it says of them.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use carob_dispatch::{
    crashes::Part,
    fleet::urgency::Urgency,
    head::{Head, LastEvent},
    residence::Residence,
    table::{Denial, Route},
};
use hyper::{
    Uri,
    header::{HOST, HeaderValue},
    http::request::Parts,
};
use tokio::{sync::Notify, time::Instant};

use super::{
    answer::LocalAnswer,
    body::HeldBytes,
    call::Call,
    exchange::{RETRY_FULL, RETRY_NO_UPSTREAM, Refusal},
    guard::{FollowedResidence, ResidenceGuard},
    link,
    shared::Shared,
    waiting,
};

/// Suggested retry delay while no configuration is known, which is read within a second of the start.
const RETRY_NO_CONFIG: Duration = Duration::from_millis(800);

/// Refuses requests while answers that wait leave no memory for another one.
pub(super) fn check_memory(shared: &Shared) -> Result<(), Refusal> {
    if !waiting::is_exhausted(shared) {
        return Ok(());
    }
    Err((
        LocalAnswer::Refused(link::spread(RETRY_FULL)),
        "answers that wait for their clients hold all their memory",
    ))
}

/// Decides where the stream of a request begins: after the last event that its client has, if the route permits a
/// further run.
const fn first_position(head: &Head, route: &Route) -> Result<Option<u64>, Refusal> {
    if !route.kind.is_stream() || !route.kind.is_idempotent() {
        return Ok(None);
    }
    match head.last_event {
        LastEvent::Absent => Ok(None),
        LastEvent::Id(id) => Ok(Some(id)),
        LastEvent::Malformed => Err((
            LocalAnswer::Denied(400),
            "expected a number of at most 64 bits as the id of the last event, found something else",
        )),
    }
}

/// Returns the host of a request, empty if there is none. That of its target goes before the header, which is forwarded as if
/// it had named it.
fn request_host(parts: &mut Parts) -> Result<Box<str>, Refusal> {
    if parts.headers.get_all(HOST).iter().nth(1).is_some() {
        return Err((LocalAnswer::Denied(400), "expected one host, found several"));
    }
    if let (Some(host), Some(path)) = (parts.uri.host(), parts.uri.path_and_query()) {
        let host = HeaderValue::from_str(host).map_err(|_error| (LocalAnswer::Denied(400), "no host"))?;
        parts.headers.insert(HOST, host);
        parts.uri = Uri::from(path.clone());
    }
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    Ok(host.unwrap_or_default().into())
}

/// Checks a request against the configuration and looks up its route, service and client account. `pick` chooses among the
/// services of the route.
pub(super) fn admit(
    shared: &Rc<Shared>,
    (head, mut parts): (Head, Parts),
    (body, held): (Bytes, HeldBytes),
    (arrival, client_deadline): (Instant, Instant),
    pick: impl FnOnce(&Route) -> Option<Box<str>>,
) -> Result<Rc<Call>, Refusal> {
    let Some(table) = shared.table() else {
        return Err((
            LocalAnswer::Refused(RETRY_NO_CONFIG),
            "no configuration is known yet",
        ));
    };
    if head.id.is_empty() {
        return Err((LocalAnswer::Denied(400), "no id"));
    }
    let host = request_host(&mut parts)?;
    let found = match table.lookup(&host, parts.uri.path(), head.key.as_deref()) {
        Ok(found) => found,
        // A newer configuration may contain the route or the key.
        Err(_) if !shared.is_current() => {
            return Err((
                LocalAnswer::Refused(RETRY_NO_CONFIG),
                "not permitted by a configuration that may be old",
            ));
        }
        Err(Denial::NoRoute) => return Err((LocalAnswer::Denied(404), "no such route")),
        Err(Denial::InvalidKey) => return Err((LocalAnswer::Denied(401), "no account has the key")),
    };
    let Some(service) = pick(found.route) else {
        return Err((
            LocalAnswer::Refused(RETRY_NO_UPSTREAM),
            "the route has no service",
        ));
    };
    let last_event = first_position(&head, found.route)?;
    let engine = table.service(&service).and_then(|service| service.engine.clone());
    let prompt = head.parts.iter().map(|hash| Part::of_prompt(&service, *hash));
    let priority = found
        .account
        .and_then(|account| account.priority)
        .unwrap_or(found.route.priority);
    let urgency = engine.as_ref().map_or(Urgency::UNIFORM, |_| {
        Urgency::new(
            table.priority_classes(&service),
            priority,
            found.route.target_latency,
        )
    });
    let residence = Residence::new(&found, table.version());
    let followed = FollowedResidence::new((&host, parts.uri.path()), head.key.as_deref(), residence);
    Ok(Rc::new(Call {
        shared: Rc::clone(shared),
        prompt: prompt.collect(),
        service,
        engine,
        residence: ResidenceGuard::new(shared, followed),
        account: found.account.map(|account| account.name.clone()),
        priority,
        urgency,
        deadline: client_deadline.min(arrival + found.route.timeout),
        route: found.route.clone(),
        last_event,
        version: table.version(),
        sent_to: RefCell::default(),
        send_begun: Notify::new(),
        copy_awaited: Cell::new(None),
        copy_begun: Notify::new(),
        abandoned: RefCell::default(),
        head,
        parts,
        body,
        _held: held,
        arrival,
    }))
}
