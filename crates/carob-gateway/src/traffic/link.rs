//! Finds out which upstreams this instance reaches: from its requests, and from probes where these fail.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use carob_dispatch::fleet::{LinkFailure, UpstreamKey};
use carob_platform::{answer, engine};
use hyper::{Request, Response, header::HOST};
use tokio::time::Instant;

use super::{
    answer::LocalAnswer,
    call::{CONNECT_TIMEOUT, Call},
    cold,
    exchange::Refusal,
    relay::{self, MemoryCopy, Purpose, RELAY_TIMEOUT},
    shared::Shared,
};
use crate::socket::{self, Connection, MAX_CONTROL_BYTES};

/// Suggested retry delay while no instance reaches an upstream; such a cut lasts for seconds.
const RETRY_CUT: Duration = Duration::from_millis(1_500);

/// Time limit of a probe: several round trips between regions, and the usual time of an answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// How often it is checked whether a probe has ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time without an answer after which an upstream is probed.
pub(super) const SILENT_TIME: Duration = Duration::from_millis(700);

/// Records that something arrived from an upstream on a direct connection.
pub(super) fn record_answer(shared: &Shared, upstream: UpstreamKey) {
    let now = shared.now();
    let lost = shared.fleet_mut().record_link_answer(upstream, now);
    let Some(lost) = lost else { return };
    log::info!(
        upstream:% = name(shared, upstream), lost_ms = lost.as_millis() as u64; "link to an upstream is back"
    );
    after_change(shared);
}

/// Records that a direct connection to an upstream failed for `reason` before anything arrived on it.
pub(super) fn record_failure(
    shared: &Shared,
    upstream: UpstreamKey,
    failure: LinkFailure,
    reason: &dyn std::fmt::Display,
) {
    let now = shared.now();
    if !shared.fleet_mut().record_link_failure(upstream, failure, now) {
        return;
    }
    log::warn!(
        upstream:% = name(shared, upstream), reason:% = reason; "link to an upstream is lost"
    );
    after_change(shared);
}

/// Has an upstream probed that has not answered a request since `sent`, unless it answered others.
pub(super) fn suspect(shared: &Shared, upstream: UpstreamKey, sent: Instant) {
    let now = shared.now();
    let sent = now - sent.elapsed();
    if shared.fleet_mut().suspect_link(upstream, sent, now) {
        shared.links_changed.notify_one();
    }
}

/// Finds out whether the link to an upstream is lost, after a direct connection to it broke.
pub(super) async fn is_lost_after_break(shared: &Shared, upstream: UpstreamKey) -> bool {
    let broken = Instant::now();
    suspect(shared, upstream, broken);
    while broken.elapsed() < PROBE_TIMEOUT {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if shared.fleet().is_link_lost(upstream) {
            return true;
        }
        let since = shared.now() - broken.elapsed();
        if shared.fleet().has_answered_since(upstream, since) {
            return false;
        }
    }
    false
}

/// Whether the link to an upstream is lost and another instance may reach it.
fn may_relay(shared: &Shared, upstream: UpstreamKey) -> bool {
    let service = shared
        .fleet()
        .upstream(upstream)
        .map(|found| found.entry.service.clone());
    shared.fleet().is_link_lost(upstream)
        && service.is_some_and(|service| relay::is_offered(shared, &service))
}

/// Waits for the head of an answer on a direct connection, and records what that says about the link.
/// A request that `may_repeat` is given up once it is known that the link is lost and another instance may help.
pub(super) async fn watch<T>(
    shared: &Shared,
    upstream: UpstreamKey,
    may_repeat: bool,
    answer: impl Future<Output = Result<T, socket::Error>>,
) -> Result<T, socket::Error> {
    let sent = Instant::now();
    tokio::pin!(answer);
    let outcome = loop {
        tokio::select! {
            biased;
            outcome = &mut answer => break outcome,
            () = tokio::time::sleep(SILENT_TIME / 2) => {
                if sent.elapsed() < SILENT_TIME {
                    continue;
                }
                suspect(shared, upstream, sent);
                if may_repeat && may_relay(shared, upstream) {
                    break Err(socket::Error::Broken("the link is lost".to_owned()));
                }
            }
        }
    };
    match &outcome {
        Err(socket::Error::Excluded(_)) => {}
        Ok(_) | Err(socket::Error::Status(_)) => record_answer(shared, upstream),
        Err(error @ socket::Error::Connect(_)) => {
            record_failure(shared, upstream, LinkFailure::Request, error);
        }
        // The answer may be the only thing that failed; the probe tells.
        Err(socket::Error::Broken(_) | socket::Error::Unfinished(_) | socket::Error::Timeout) => {
            suspect(shared, upstream, sent);
        }
    }
    outcome
}

fn after_change(shared: &Shared) {
    metrics::gauge!("carobhaven_links_lost").set(shared.fleet().lost_links() as f64);
    let cut = shared.fleet().cut_services();
    let before = shared.replace_cut(cut.clone());
    metrics::gauge!("carobhaven_services_cut").set(cut.len() as f64);
    if before != cut {
        // Other instances are told for which services this one can relay.
        shared.load_changed.notify_one();
    }
    for service in cut.iter().filter(|service| !before.contains(service)) {
        log::warn!(service:% = service; "no upstream of a service can be reached from here");
    }
    for service in before.iter().filter(|service| !cut.contains(service)) {
        log::info!(service:% = service; "upstreams of a service can be reached again");
    }
    shared.links_changed.notify_one();
}

/// Opens a connection to an upstream: directly, or through another instance if the link is lost or fails now.
///
/// # Errors
///
/// Returns [`socket::Error::Connect`] if no connection comes about by `deadline`, and [`socket::Error::Excluded`] if another
/// instance knows that the request may not run there; a direct connection is not tried then.
pub(super) async fn open(
    shared: &Rc<Shared>,
    upstream: UpstreamKey,
    purpose: Purpose<'_>,
    deadline: Instant,
) -> Result<Connection, socket::Error> {
    let Some(address) = shared.fleet().upstream(upstream).map(|found| found.entry.address) else {
        return Err(socket::Error::Connect("the upstream is forgotten".to_owned()));
    };
    let source = shared.settings().source;
    let direct = || Connection::open(address, source, deadline.min(Instant::now() + CONNECT_TIMEOUT));
    if shared.fleet().is_link_lost(upstream) && !shared.fleet().is_probed(upstream) {
        let relayed = async {
            let is_call = matches!(purpose, Purpose::Control { .. });
            if is_call && !shared.fleet_mut().try_ask_peers(upstream, shared.now()) {
                return Err(socket::Error::Connect(
                    "other instances were asked just now".to_owned(),
                ));
            }
            relay::open(shared, upstream, purpose, deadline).await
        };
        return open_either(direct, relayed, deadline).await;
    }
    if shared.fleet().is_link_lost(upstream) {
        let relayed = relay::open(shared, upstream, purpose, deadline).await;
        let may_answer = shared.fleet().is_link_silent(upstream) || !shared.fleet().hears_peers(shared.now());
        let is_excluded = matches!(relayed, Err(socket::Error::Excluded(_)));
        if relayed.is_ok() || is_excluded || !may_answer {
            return relayed;
        }
        return direct().await;
    }
    let error = match direct().await {
        Ok(connection) => return Ok(connection),
        Err(error) => error,
    };
    record_failure(shared, upstream, LinkFailure::Request, &error);
    if shared.fleet().has_fresh_link(upstream, shared.now()) {
        // Another upstream is the better choice.
        return Err(error);
    }
    relay::open(shared, upstream, purpose, deadline).await
}

/// Opens a connection to an upstream whose link is lost and not probed: directly or as a `relayed` one, whichever comes
/// about. Neither does if the upstream is excluded.
async fn open_either<D: Future<Output = Result<Connection, socket::Error>>>(
    direct: impl Fn() -> D,
    relayed: impl Future<Output = Result<Connection, socket::Error>>,
    deadline: Instant,
) -> Result<Connection, socket::Error> {
    let end = deadline.min(Instant::now() + RELAY_TIMEOUT);
    let tries = async {
        loop {
            let started = Instant::now();
            let outcome = direct().await;
            let has_hung = started.elapsed() >= CONNECT_TIMEOUT;
            // A connection that hangs does not come about when the link is back; a new one does.
            if outcome.is_ok() || !has_hung || Instant::now() >= end {
                return outcome;
            }
        }
    };
    tokio::select! {
        biased;
        Ok(connection) = tries => Ok(connection),
        outcome @ (Ok(_) | Err(socket::Error::Excluded(_))) = relayed => outcome,
        else => Err(socket::Error::Connect("neither directly nor through another instance".to_owned())),
    }
}

/// Sends a call about the generation `id`, or about the upstream if that is empty, to the upstream, directly or through
/// another instance, and reads the whole response.
///
/// # Errors
///
/// Returns an error if there is no response by `deadline`, or it belongs to a request.
pub(super) async fn call(
    shared: &Rc<Shared>,
    upstream: UpstreamKey,
    request: Request<Bytes>,
    id: &[u8],
    deadline: Instant,
) -> Result<Response<Bytes>, socket::Error> {
    let response = exchange(shared, upstream, Purpose::CONTROL, request, || Ok(()), deadline).await?;
    check_answer(response, id)
}

/// Like [`call`], for a call about the generation of `client` that has its memory copied to `target`.
///
/// # Errors
///
/// See [`call`]; [`socket::Error::Excluded`] if another instance knows that the generation may not run at `target`.
pub(super) async fn call_copy(
    client: &Call,
    (upstream, target): (UpstreamKey, UpstreamKey),
    request: Request<Bytes>,
    deadline: Instant,
) -> Result<Response<Bytes>, socket::Error> {
    let shared = &client.shared;
    let copy = MemoryCopy {
        residence: client.residence.followed(),
        target_hash: shared.fleet().upstream_hash(target),
    };
    let purpose = Purpose::Control { copy: Some(copy) };
    let permitted = || {
        client
            .check_copy(upstream, target)
            .map_err(socket::Error::Excluded)?;
        if client.copy_awaited.get() == Some(upstream) {
            client.copy_begun.notify_waiters();
        }
        Ok(())
    };
    let response = exchange(shared, upstream, purpose, request, permitted, deadline).await?;
    check_answer(response, &client.head.id)
}

fn check_answer(response: Response<Bytes>, id: &[u8]) -> Result<Response<Bytes>, socket::Error> {
    if answer::names_other_request(response.headers(), id) {
        return Err(socket::Error::Broken(
            "expected the answer to the call, found one to another request".to_owned(),
        ));
    }
    Ok(response)
}

async fn exchange(
    shared: &Rc<Shared>,
    upstream: UpstreamKey,
    purpose: Purpose<'_>,
    mut request: Request<Bytes>,
    permitted: impl Fn() -> Result<(), socket::Error>,
    deadline: Instant,
) -> Result<Response<Bytes>, socket::Error> {
    let address = shared.fleet().upstream(upstream).map(|found| found.entry.address);
    if let Some(host) = address.and_then(|address| address.to_string().parse().ok()) {
        request.headers_mut().insert(HOST, host);
    }
    let opened = open(shared, upstream, purpose, deadline).await;
    if matches!(opened, Ok(_) | Err(socket::Error::Excluded(_))) {
        // Others that wait to call the upstream need not wait for the answer, nor does a call with another target.
        shared.fleet_mut().end_call(upstream, None);
    }
    let connection = opened?;
    // A configuration may have come into force while the connection was opened.
    permitted()?;
    if connection.relay().is_some() {
        return socket::call_on(connection, request, MAX_CONTROL_BYTES, deadline).await;
    }
    let answer = socket::call_on(connection, request, MAX_CONTROL_BYTES, deadline);
    watch(shared, upstream, false, answer).await
}

/// Refuses a request if it is known that no instance reaches an upstream of its service.
pub(super) fn check(call: &Call) -> Result<(), Refusal> {
    let shared = &call.shared;
    let is_refused = shared.fleet().is_refused(&call.service);
    if !is_refused || !shared.fleet().hears_peers(shared.now()) || relay::is_offered(shared, &call.service) {
        return Ok(());
    }
    Err((
        LocalAnswer::Refused(spread(RETRY_CUT)),
        "no instance reaches an upstream of the service",
    ))
}

/// A retry delay from two thirds to four thirds of `delay`, at random, so that clients return one after the other.
pub(super) fn spread(delay: Duration) -> Duration {
    delay.mul_f64(2.0 / 3.0 * (1.0 + rand::random::<f64>()))
}

/// Probes upstreams whose links are lost or in doubt, for as long as the process runs.
pub(super) async fn run_probes(shared: Rc<Shared>) {
    loop {
        let next = shared.fleet().next_probe(shared.now());
        match next {
            Some(time) => {
                // A timeout is the usual case: the next probe is due.
                let _changed = tokio::time::timeout(time, shared.links_changed.notified()).await;
            }
            None => shared.links_changed.notified().await,
        }
        let now = shared.now();
        let due = shared.fleet_mut().take_probes(now);
        for upstream in due {
            tokio::task::spawn_local(probe(Rc::clone(&shared), upstream));
        }
    }
}

/// Asks an upstream for an answer of any kind.
async fn probe(shared: Rc<Shared>, upstream: UpstreamKey) {
    let Some((address, service)) = shared
        .fleet()
        .upstream(upstream)
        .map(|found| (found.entry.address, found.entry.service.clone()))
    else {
        return;
    };
    let deadline = Instant::now() + PROBE_TIMEOUT;
    metrics::counter!("carobhaven_link_probes_total").increment(1);
    let health = shared
        .table()
        .and_then(|table| Some(table.service(&service)?.health_path.clone()));
    let request = match health {
        Some(path) if !shared.is_engine(&service) => engine::get_health(&path),
        _ => engine::get_report(),
    };
    let connected = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let outcome = match Connection::open(address, shared.settings().source, connected).await {
        Ok(connection) => socket::call_on(connection, request, MAX_CONTROL_BYTES, deadline).await,
        Err(error) => Err(error),
    };
    match outcome {
        Ok(response) => {
            cold::record_health(&shared, upstream, &response);
            record_answer(&shared, upstream);
        }
        Err(socket::Error::Status(_)) => record_answer(&shared, upstream),
        Err(error @ socket::Error::Timeout) => {
            record_failure(&shared, upstream, LinkFailure::Silence, &error);
        }
        Err(error) => record_failure(&shared, upstream, LinkFailure::Probe, &error),
    }
}

fn name(shared: &Shared, upstream: UpstreamKey) -> Box<str> {
    let fleet = shared.fleet();
    fleet
        .upstream(upstream)
        .map_or_else(|| Box::from("forgotten"), |found| found.entry.id.clone())
}
