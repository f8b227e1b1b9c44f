//! Keeps to the limits that upstreams name, and to the pauses that they ask for: reads both from
//! answers, and exchanges permits with the other instances.

use std::{collections::HashSet, net::SocketAddr, rc::Rc, time::Duration};

use carob_dispatch::{
    fleet::{Cause, Held, Requirements, UpstreamKey},
    limits::{
        ASK_TIME, COLD_ASK_TIME, Claim as PlaceClaim, Content, Grant as PlaceGrant, Members,
        Message as PermitMessage, Report, Statement,
    },
};
use carob_platform::answer::{self, AnswerKind, NumberError};
use hyper::{HeaderMap, Response, StatusCode};
use prost::Message;
use tokio::{net::UdpSocket, time::Instant};

use super::{
    answer::LocalAnswer,
    call::Call,
    cold,
    exchange::{RETRY_FULL, Refusal, upstream_name},
    shared::{PEER_TIMEOUT, Shared},
};
use crate::peer::{Announcement, Claim, Grant, Pause, Permits, Want};

/// Minimum time between two rounds of messages.
const MIN_INTERVAL: Duration = Duration::from_millis(15);

/// Minimum time between two log lines about limits that cannot be read.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Bounds of the suggested retry delay of a request that finds no permit.
const MIN_RETRY: Duration = Duration::from_millis(300);
const MAX_RETRY: Duration = Duration::from_secs(10);

/// Largest part by which a pause is extended, at random.
const PAUSE_SPREAD: f64 = 0.1;

/// Why a request is refused for lack of permits, in log lines.
const HELD: &str = "upstreams limit their requests";

/// Reads the limit in the head of an answer to a request that was sent at `sent`.
pub(super) fn record_answer(
    call: &Call,
    upstream: UpstreamKey,
    (status, headers): (StatusCode, &HeaderMap),
    sent: Instant,
) {
    // Another upstream has the address now, or the answer is not the upstream's.
    if status == StatusCode::MISDIRECTED_REQUEST
        || answer::classify(status, headers, &call.head.id) == AnswerKind::Foreign
    {
        return;
    }
    let shared = &call.shared;
    match answer::endured_rejections(headers) {
        Ok(rejections) => record_brittle(call, upstream, rejections, sent),
        Err(error) => warn_malformed(call, upstream, &error),
    }
    let rate = match answer::named_limit(headers) {
        Ok(rate) => rate,
        Err(error) => return warn_malformed(call, upstream, &error),
    };
    let now = shared.now();
    let hash = shared.fleet().upstream_hash(upstream);
    let before = shared.fleet().limits().limit(hash);
    let changed = shared
        .fleet_mut()
        .limits_mut()
        .record_answer(hash, rate, now - sent.elapsed(), now);
    let Some(statement) = changed else { return };
    log::info!(
        request:% = call.id(), upstream:% = upstream_name(call, upstream), incarnation:% = format!("{hash:016x}"),
        limit:% = rate_text(statement.rate), before:% = rate_text(before.and_then(|before| before.rate));
        "upstream changed its limit"
    );
    after_change(shared);
}

/// Records whether an upstream says that it is brittle, in an answer to a request that was sent at `sent`.
fn record_brittle(call: &Call, upstream: UpstreamKey, rejections: Option<f64>, sent: Instant) {
    let shared = &call.shared;
    let now = shared.now();
    let hash = shared.fleet().upstream_hash(upstream);
    let changed = shared
        .fleet_mut()
        .limits_mut()
        .record_brittle(hash, rejections, now - sent.elapsed(), now);
    let Some(statement) = changed else { return };
    log::info!(
        request:% = call.id(), upstream:% = upstream_name(call, upstream), incarnation:% = format!("{hash:016x}"),
        rejections:% = rate_text(statement.rate); "upstream says whether it is brittle"
    );
    after_change(shared);
}

/// Sends nothing to an upstream that has rejected a request, if its answer asks for a pause. Instances that were told the same
/// time return one after the other. The instance that relayed the answer, if one did, is told.
pub(super) fn record_rejection<T>(
    call: &Call,
    upstream: UpstreamKey,
    response: &Response<T>,
    relay: Option<SocketAddr>,
) {
    if response.status() != StatusCode::SERVICE_UNAVAILABLE {
        return;
    }
    let shared = &call.shared;
    let hash = shared.fleet().upstream_hash(upstream);
    shared.fleet_mut().limits_mut().record_rejected(hash);
    match answer::named_pause(response.headers()) {
        Ok(Some(time)) if !time.is_zero() => {
            if let Some(peer) = relay {
                let pause = Pause {
                    upstream_hash: shared.fleet().upstream_hash(upstream),
                    left_ms: time.as_millis() as u64,
                };
                shared.add_peer_pause(peer, pause);
            }
            let spread = time.mul_f64(rand::random::<f64>() * PAUSE_SPREAD);
            shared.fleet_mut().pause(upstream, shared.now() + time + spread);
            log::info!(
                request:% = call.id(), upstream:% = upstream_name(call, upstream),
                pause_ms = (time + spread).as_millis() as u64; "upstream asks for a pause"
            );
        }
        Ok(_) => {}
        Err(error) => warn_malformed(call, upstream, &error),
    }
}

/// Applies what the instance at `peer` tells about pauses that were asked of this one, in answers that it has relayed.
pub(super) fn merge_pauses(shared: &Shared, peer: SocketAddr, pauses: &[Pause]) {
    if pauses.is_empty() || !shared.peers().contains(&peer) {
        return;
    }
    let now = shared.now();
    for pause in pauses {
        let Some(upstream) = shared.fleet().find_hash(pause.upstream_hash) else {
            continue;
        };
        let time = Duration::from_millis(pause.left_ms).min(answer::MAX_PAUSE);
        shared.fleet_mut().pause(upstream, now + time);
        log::info!(
            incarnation:% = format!("{:016x}", pause.upstream_hash), peer:% = peer,
            pause_ms = time.as_millis() as u64; "upstream asks for a pause, in an answer to another instance"
        );
    }
}

/// Applies what the instance at `peer` tells about limits.
pub(super) fn merge(shared: &Shared, peer: SocketAddr, reports: &[Report]) {
    if reports.is_empty() || !shared.peers().contains(&peer) {
        return;
    }
    let now = shared.now();
    for report in reports {
        let Some(statement) = shared.fleet_mut().limits_mut().merge(report, peer, now) else {
            continue;
        };
        log::info!(
            incarnation:% = format!("{:016x}", report.incarnation), peer:% = peer,
            limit:% = rate_text(statement.rate), heard_ms = report.age.as_millis() as u64;
            "limit of an upstream heard from another instance"
        );
        after_change(shared);
    }
}

/// Applies what the instance at `peer` tells about upstreams that are brittle.
pub(super) fn merge_brittle(shared: &Shared, peer: SocketAddr, reports: &[Report]) {
    if reports.is_empty() || !shared.peers().contains(&peer) {
        return;
    }
    let now = shared.now();
    for report in reports {
        let merged = shared.fleet_mut().limits_mut().merge_brittle(report, peer, now);
        let Some(statement) = merged else { continue };
        log::info!(
            incarnation:% = format!("{:016x}", report.incarnation), peer:% = peer,
            rejections:% = rate_text(statement.rate), heard_ms = report.age.as_millis() as u64;
            "brittle upstream heard of from another instance"
        );
        after_change(shared);
    }
}

fn after_change(shared: &Shared) {
    update_gauge(shared);
    if shared.fleet().limits().has_changes() {
        shared.load_changed.notify_one();
    }
    shared.limits_changed.notify_one();
    shared.grant_waiting();
}

fn warn_malformed(call: &Call, upstream: UpstreamKey, error: &NumberError) {
    metrics::counter!("carobhaven_limit_malformed_total").increment(1);
    if call.shared.may_log_limit(LOG_INTERVAL) {
        log::warn!(
            request:% = call.id(), upstream:% = upstream_name(call, upstream), error:% = error;
            "limit of an upstream cannot be read"
        );
    }
}

fn update_gauge(shared: &Shared) {
    let in_force = shared.fleet().limits().in_force();
    metrics::gauge!("carobhaven_limits_in_force").set(in_force as f64);
    let brittle = shared.fleet().limits().brittle_count();
    metrics::gauge!("carobhaven_brittle_upstreams").set(brittle as f64);
}

fn rate_text(rate: Option<f64>) -> String {
    rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string())
}

/// Records which upstreams a request that looks for a place would be sent to, if they name limits.
pub(super) fn record_demand(shared: &Shared, requirements: &Requirements) {
    let now = shared.now();
    shared.fleet_mut().record_demand(requirements, now);
    if !shared.fleet().limits().is_empty() || !shared.fleet().cold().is_empty() {
        shared.limits_changed.notify_one();
    }
}

/// How long a request waits in the queue.
pub(super) struct Wait {
    pub(super) until: Instant,
    /// Present if it waits for a permit.
    held: Option<Held>,
}

/// Decides how long a request that joins the queue for this `cause` waits, until `deadline` at most.
pub(super) fn plan_wait(call: &Call, requirements: &Requirements, deadline: Instant, cause: &Cause) -> Wait {
    let shared = &call.shared;
    let now = Instant::now();
    let Cause::Held(found) = cause else {
        if !shared.fleet().cold().is_empty() {
            // The request takes a permit for a cold upstream if one comes first.
            shared.limits_changed.notify_one();
        }
        return Wait {
            until: deadline,
            held: None,
        };
    };
    let is_expected = now.checked_add(found.wait).is_some_and(|end| end <= deadline);
    let until = if is_expected {
        deadline
    } else {
        let fleet = shared.fleet();
        let is_cold = fleet
            .cold()
            .is_bounded(fleet.upstream_hash(found.upstream), shared.now());
        deadline.min(now + if is_cold { COLD_ASK_TIME } else { ASK_TIME })
    };
    if let Some(pause) = found.pause.filter(|_| is_expected) {
        let shared = Rc::clone(shared);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(pause).await;
            shared.grant_waiting();
        });
    }
    let time = until.saturating_duration_since(now);
    shared.fleet_mut().record_wait(requirements, shared.now() + time);
    shared.limits_changed.notify_one();
    Wait {
        until,
        held: Some(*found),
    }
}

/// Number of instances that share permits, this one included.
pub(super) fn instances(shared: &Shared) -> usize {
    heard(shared).len() + 1
}

impl Wait {
    /// Whether the request waits for a permit.
    pub(super) const fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// The gateway's answer to a request that has waited in vain.
    pub(super) fn refuse(&self, call: &Call) -> Refusal {
        self.held.map_or(
            (LocalAnswer::Refused(RETRY_FULL), "all upstreams stayed full"),
            |held| refuse(call, held),
        )
    }
}

/// The gateway's answer to a request that gets no permit in its time.
pub(super) fn refuse(call: &Call, held: Held) -> Refusal {
    let shared = &call.shared;
    metrics::counter!("carobhaven_limit_refusals_total").increment(1);
    let fleet = shared.fleet();
    let hash = fleet.upstream_hash(held.upstream);
    if let Some(statement) = fleet.limits().limit(hash) {
        log::info!(
            request:% = call.id(), upstream:% = upstream_name(call, held.upstream),
            incarnation:% = format!("{hash:016x}"), limit:% = rate_text(statement.rate),
            limit_ms = shared.now().since(statement.at).as_millis() as u64, source:% = source_text(&statement),
            wait_ms = held.wait.min(MAX_RETRY).as_millis() as u64; "request refused: upstreams limit their requests"
        );
    } else if fleet.cold().is_bounded(hash, shared.now()) {
        log::info!(
            request:% = call.id(), upstream:% = upstream_name(call, held.upstream), cold = fleet.cold().count(shared.now()),
            wait_ms = held.wait.min(MAX_RETRY).as_millis() as u64; "request refused: upstreams are cold"
        );
    } else {
        log::info!(
            request:% = call.id(), upstream:% = upstream_name(call, held.upstream),
            wait_ms = held.wait.min(MAX_RETRY).as_millis() as u64;
            "request refused: upstreams ask for a pause"
        );
    }
    // Requests that are refused in the same moment come back at different times.
    let delay = held
        .wait
        .clamp(MIN_RETRY, MAX_RETRY)
        .mul_f64(1.0 + rand::random::<f64>());
    (LocalAnswer::Refused(delay), HELD)
}

fn source_text(statement: &Statement) -> String {
    statement
        .peer
        .map_or_else(|| "answer".to_owned(), |peer| peer.to_string())
}

/// Other registered instances that have been heard of lately.
fn heard(shared: &Shared) -> Vec<SocketAddr> {
    let registered: HashSet<SocketAddr> = shared.peers().into_iter().collect();
    let fleet = shared.fleet();
    fleet
        .heard_within(PEER_TIMEOUT, shared.now())
        .filter(|peer| registered.contains(peer))
        .collect()
}

/// Issues permits and asks for them, for as long as the process runs.
pub(super) async fn exchange_permits(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    loop {
        let next = [
            shared.fleet().limits().next_poll(),
            shared.fleet().cold().next_poll(shared.now()),
        ];
        let next = next.into_iter().flatten().min();
        match next {
            Some(time) => {
                // A timeout is the usual case: the next permit is due.
                let _changed = tokio::time::timeout(time, shared.limits_changed.notified()).await;
            }
            None => shared.limits_changed.notified().await,
        }
        let heard = heard(&shared);
        let members = Members {
            own: shared.settings().peer_address,
            heard: &heard,
            registered: shared.peers().len() + 1,
        };
        let (mut messages, mut issued) = shared.fleet_mut().limits_mut().poll(members, shared.now());
        let (more, places) = shared.fleet_mut().poll_places(members, shared.now());
        messages.extend(more);
        issued += places;
        let (cold, cold_permits) = cold::poll(&shared, members, shared.now());
        // Upstreams with limits may have left.
        update_gauge(&shared);
        if issued > 0 {
            count_permits("received", issued);
        }
        if issued + cold_permits > 0 {
            shared.grant_waiting();
        }
        for message in messages {
            send(&socket, message).await;
        }
        for message in cold {
            send_to(&socket, &Announcement::from(&message), message.to).await;
        }
        tokio::time::sleep(MIN_INTERVAL).await;
    }
}

async fn send(socket: &UdpSocket, message: PermitMessage) {
    let mut announcement = Announcement::default();
    let upstream_hash = message.incarnation;
    match message.content {
        Content::Want(count) => announcement.wants.push(Want {
            upstream_hash,
            count,
            cold: None,
        }),
        Content::Permits(count) => {
            count_permits("issued", count);
            announcement.permits.push(Permits {
                upstream_hash,
                count,
                cold: None,
            });
        }
        Content::Claim(claim) => announcement.claims.push(Claim {
            upstream_hash,
            wanted: claim.wanted,
            held: claim.held,
            seen: claim.seen,
            issuer: claim.issuer,
            rejected: claim.rejected,
        }),
        Content::Grant(grant) => announcement.grants.push(Grant {
            upstream_hash,
            total: grant.total,
            issuer: grant.issuer,
        }),
    }
    send_to(socket, &announcement, message.to).await;
}

async fn send_to(socket: &UdpSocket, announcement: &Announcement, to: SocketAddr) {
    let sent = socket.send_to(&announcement.encode_to_vec(), to).await;
    if let Err(error) = sent {
        log::debug!(peer:% = to, error:% = error; "message about permits not sent");
    }
}

/// Applies a message about permits of the instance at `peer`, if that is registered; returns whether it is one.
pub(super) fn receive(shared: &Shared, peer: SocketAddr, message: &Announcement) -> bool {
    let is_empty = message.wants.is_empty()
        && message.permits.is_empty()
        && message.claims.is_empty()
        && message.grants.is_empty();
    if is_empty {
        return false;
    }
    if !shared.peers().contains(&peer) {
        return true;
    }
    cold::receive(shared, peer, message);
    let wants = message
        .wants
        .iter()
        .filter(|want| want.cold.is_none())
        .map(|want| (want.upstream_hash, Content::Want(want.count)));
    let permits = message
        .permits
        .iter()
        .filter(|permits| permits.cold.is_none())
        .map(|permits| (permits.upstream_hash, Content::Permits(permits.count)));
    let now = shared.now();
    let mut received = 0;
    let claims = message.claims.iter().map(|claim| {
        let content = PlaceClaim {
            wanted: claim.wanted,
            held: claim.held,
            seen: claim.seen,
            issuer: claim.issuer,
            rejected: claim.rejected,
        };
        (claim.upstream_hash, Content::Claim(content))
    });
    let grants = message.grants.iter().map(|grant| {
        let content = PlaceGrant {
            total: grant.total,
            issuer: grant.issuer,
        };
        (grant.upstream_hash, Content::Grant(content))
    });
    for (hash, content) in wants.chain(permits).chain(claims).chain(grants) {
        received += shared.fleet_mut().limits_mut().receive(peer, hash, content, now);
    }
    if received > 0 {
        count_permits("received", received);
        shared.grant_waiting();
    }
    if !message.wants.is_empty() || !message.claims.is_empty() {
        shared.limits_changed.notify_one();
    }
    true
}

/// Counts what became of permits.
pub(super) fn count_permits(event: &'static str, count: u32) {
    metrics::counter!("carobhaven_limit_permits_total", "event" => event).increment(u64::from(count));
}
