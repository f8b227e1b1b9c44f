//! Upstreams that are cold: where this instance learns of them, and the permits with which requests go to them.

use std::{net::SocketAddr, time::Duration};

use carob_base::Time;
use carob_dispatch::{
    fleet::{Exclusion, UpstreamKey},
    limits::{COLD_ASK_TIME, ColdChange, ColdContent, ColdMessage, ColdReport, Members, Spent},
    table::RoutingTable,
};
use carob_platform::answer;
use hyper::{Response, StatusCode};
use tokio::time::Instant;

use super::{call::Call, exchange::upstream_name, guard::Reservation, shared::Shared};
use crate::{
    peer::{Announcement, Cold},
    settings::Settings,
    socket,
};

/// Time between two checks whether a permit has arrived.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Time from the choice of a migration's target until the generation goes on there: a copy, and one that catches up.
const MOVE_TIME: Duration = Duration::from_millis(800);

/// Puts the settings in force.
pub(super) fn apply_settings(shared: &Shared, settings: &Settings) {
    shared.fleet_mut().set_cold_options(settings.cold);
}

/// Puts the rates of a configuration in force.
pub(super) fn apply_table(shared: &Shared, table: &RoutingTable) {
    let rates = table
        .services()
        .map(|service| (service.name.clone(), service.cold_rate));
    shared.fleet_mut().set_cold_rates(rates.collect());
    after_change(shared);
}

/// Reads the answer of an upstream to a check whether it is healthy.
pub(super) fn record_health<T>(shared: &Shared, upstream: UpstreamKey, response: &Response<T>) {
    // Another upstream has the address now.
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let left = match answer::cold_left(response.headers()) {
        Ok(left) => left.unwrap_or_default(),
        Err(error) => {
            metrics::counter!("carobhaven_cold_malformed_total").increment(1);
            log::warn!(error:% = error; "time for which an upstream stays cold cannot be read");
            return;
        }
    };
    let now = shared.now();
    let mut fleet = shared.fleet_mut();
    let hash = fleet.upstream_hash(upstream);
    let service = fleet.upstream(upstream).map(|found| found.entry.service.clone());
    if let Some(service) = service {
        fleet.cold_mut().record_health((hash, &service), left, now);
    }
    drop(fleet);
    after_change(shared);
}

/// Applies what the instance at `peer` tells about cold upstreams.
pub(super) fn merge(shared: &Shared, peer: SocketAddr, upstreams: &[Cold]) {
    if upstreams.is_empty() || !shared.peers().contains(&peer) {
        return;
    }
    let (own, now) = (shared.settings().peer_address, shared.now());
    for upstream in upstreams {
        let report = ColdReport::from(upstream);
        shared.fleet_mut().merge_cold(&report, peer, own, now);
    }
    after_change(shared);
}

/// What the other instances are to be told about cold upstreams.
pub(super) fn reports(shared: &Shared, complete: bool) -> Vec<Cold> {
    let now = shared.now();
    let reports = shared.fleet_mut().cold_mut().take_reports(complete, now);
    reports.into_iter().map(Cold::from).collect()
}

/// Logs which upstreams have become cold for this instance or are not cold any more, and has the others told.
pub(super) fn after_change(shared: &Shared) {
    let now = shared.now();
    let changes = shared.fleet_mut().cold_mut().take_changes(now);
    for change in &changes {
        log_change(shared, change);
    }
    if shared.fleet().cold().has_unsent() {
        shared.load_changed.notify_one();
    }
    if changes.is_empty() {
        return;
    }
    let count = shared.fleet().cold().count(now);
    metrics::gauge!("carobhaven_cold_upstreams").set(count as f64);
    shared.limits_changed.notify_one();
    shared.grant_waiting();
}

fn log_change(shared: &Shared, change: &ColdChange) {
    let fleet = shared.fleet();
    let found = fleet
        .find_hash(change.incarnation)
        .and_then(|key| fleet.upstream(key));
    let name = found.map_or("unknown", |found| &*found.entry.id);
    let incarnation = format!("{:016x}", change.incarnation);
    let source = if change.origin.boot_id <= 1 {
        "entry"
    } else {
        "health check"
    };
    let is_cold = !change.left.is_zero();
    let event = if is_cold { "begun" } else { "ended" };
    metrics::counter!("carobhaven_cold_changes_total", "event" => event).increment(1);
    if is_cold {
        log::info!(
            upstream:% = name, incarnation:% = incarnation, left_ms = change.left.as_millis() as u64,
            rate = change.rate, source, number = change.origin.number; "upstream is cold"
        );
    } else {
        log::info!(
            upstream:% = name, incarnation:% = incarnation, source, number = change.origin.number;
            "upstream is not cold any more"
        );
    }
}

/// Issues permits and asks for them. Returns the messages to be sent, and the number of permits that this instance has
/// issued to itself.
pub(super) fn poll(shared: &Shared, members: Members<'_>, now: Time) -> (Vec<ColdMessage>, u32) {
    let (messages, own) = shared.fleet_mut().poll_cold(members, now);
    after_change(shared);
    let issued = messages.iter().map(|message| match message.content {
        ColdContent::Permits(permits) => permits.count,
        ColdContent::Want(_) => 0,
    });
    count_permits("issued", issued.sum());
    count_permits("received", own);
    (messages, own)
}

/// Applies what the registered instance at `peer` says about permits.
pub(super) fn receive(shared: &Shared, peer: SocketAddr, message: &Announcement) {
    let now = shared.now();
    let mut received = 0;
    for (hash, content) in message.cold_contents() {
        received += shared.fleet_mut().receive_cold(peer, hash, content, now);
    }
    if received > 0 {
        count_permits("received", received);
        shared.grant_waiting();
    }
}

/// Spends the permit of a request that is about to be sent. One that has none, since its upstream was not cold when it got
/// its place or its permit has expired, waits for a short time.
///
/// # Errors
///
/// Returns an error if the upstream is cold and no permit arrives.
pub(super) async fn spend(call: &Call, reservation: &Reservation) -> Result<(), socket::Error> {
    let shared = &call.shared;
    let started = Instant::now();
    let until = call.answer_deadline().min(started + COLD_ASK_TIME);
    let mut asked = false;
    loop {
        match reservation.spend_cold() {
            Spent::NotNeeded => return Ok(()),
            Spent::Permit => {
                count_permits("used", 1);
                return Ok(());
            }
            Spent::Missing if Instant::now() >= until => break,
            Spent::Missing => {}
        }
        if !asked {
            asked = true;
            ask(shared, reservation.upstream);
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    let exclusion = Exclusion::Cold;
    log::info!(
        request:% = call.id(), upstream:% = upstream_name(call, reservation.upstream), exclusion = exclusion.name(),
        wait_ms = started.elapsed().as_millis() as u64; "request not sent: its upstream is cold, and there is no permit"
    );
    metrics::counter!("carobhaven_destinations_rejected_total", "reason" => exclusion.name()).increment(1);
    Err(socket::Error::Excluded(exclusion))
}

/// Asks for a permit for a generation that goes on at an upstream once its memory is copied there.
pub(super) fn expect_move(shared: &Shared, upstream: UpstreamKey) {
    ask_until(shared, upstream, shared.now() + MOVE_TIME);
}

fn ask(shared: &Shared, upstream: UpstreamKey) {
    ask_until(shared, upstream, shared.now() + COLD_ASK_TIME);
}

fn ask_until(shared: &Shared, upstream: UpstreamKey, until: Time) {
    if shared.fleet().cold().is_empty() {
        return;
    }
    let mut fleet = shared.fleet_mut();
    let hash = fleet.upstream_hash(upstream);
    fleet.cold_mut().record_wait(hash, until);
    drop(fleet);
    shared.limits_changed.notify_one();
}

fn count_permits(event: &'static str, count: u32) {
    if count > 0 {
        metrics::counter!("carobhaven_cold_permits_total", "event" => event).increment(u64::from(count));
    }
}
