//! Refuses requests that may run in some regions only while these may have changed without this instance knowing.

use std::{
    cell::Cell,
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use carob_base::Time;
use carob_dispatch::{
    freshness::{Contact, Doubt, Freshness, MAX_UNCONFIRMED, Moment},
    regions::Regions,
};
use tokio::{
    sync::Notify,
    time::{Instant, timeout_at},
};

use super::{
    answer::LocalAnswer,
    call::Call,
    exchange::Refusal,
    link,
    shared::{PEER_TIMEOUT, Shared},
};

/// Suggested retry delay; another instance may know the regions, and one that stood still catches up within it.
const RETRY_OUTDATED: Duration = Duration::from_secs(1);

/// Whether the configuration can be relied on.
pub(super) struct Outdated {
    freshness: Cell<Freshness>,
    /// Newest version that another instance has told of, and since when a newer one than that in force here was known.
    heard: Cell<Option<(u64, Time)>>,
    /// What was logged last.
    logged: Cell<Option<Doubt>>,
    /// Notified when that changes.
    changed: Notify,
}

impl Outdated {
    pub(super) fn new(now: Time) -> Self {
        Self {
            freshness: Cell::new(Freshness::new(moment(now))),
            heard: Cell::new(None),
            logged: Cell::new(Some(Doubt::Started)),
            changed: Notify::new(),
        }
    }

    /// Records that the store or a peer confirmed at `time` that the configuration is current.
    pub(super) fn confirm(&self, time: Time) {
        self.change(|freshness| freshness.confirm(time));
        // What the store still does not have by then was lost, or never was there.
        let is_denied = |(_, since): &(u64, Time)| time > *since + MAX_UNCONFIRMED;
        self.heard.set(self.heard.get().filter(|heard| !is_denied(heard)));
    }

    fn change<T>(&self, change: impl FnOnce(&mut Freshness) -> T) -> T {
        let mut freshness = self.freshness.get();
        let outcome = change(&mut freshness);
        self.freshness.set(freshness);
        outcome
    }
}

fn moment(time: Time) -> Moment {
    let day = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Moment {
        time,
        day: day.unwrap_or_default(),
    }
}

/// Records a regular pass of the traffic thread.
pub(super) fn pass(shared: &Shared) {
    let now = moment(shared.now());
    shared.outdated.change(|freshness| freshness.pass(now));
    refresh(shared);
}

/// Version of the configuration in force here; zero if there is none.
fn own_version(shared: &Shared) -> u64 {
    shared.table().map_or(0, |table| table.version())
}

/// Newest version that has been heard of; zero if there is none.
fn heard_version(shared: &Shared) -> u64 {
    shared.outdated.heard.get().map_or(0, |(version, _)| version)
}

/// Version that other instances are told of: the one in force here. While the store answers nobody that is heard, also a newer one
/// that was heard of, as the only instance that has it may end.
pub(super) fn told_version(shared: &Shared) -> u64 {
    let own = own_version(shared);
    if shared.is_uninformed() {
        own.max(heard_version(shared))
    } else {
        own
    }
}

/// Records that the instance at `peer` knows `version` to be in force somewhere.
pub(super) fn hear_version(shared: &Shared, peer: SocketAddr, version: u64) {
    let own = own_version(shared);
    if version <= own.max(heard_version(shared)) {
        return;
    }
    // A version that follows one that was missed does not end the lag.
    let since = match shared.outdated.heard.get() {
        Some((before, since)) if before > own => since,
        _ => shared.now(),
    };
    shared.outdated.heard.set(Some((version, since)));
    log::debug!(peer:% = peer, version, own; "another instance knows of a newer configuration");
}

/// Time for which another instance is known to have a newer configuration.
fn lag(shared: &Shared, now: Time) -> Duration {
    match shared.outdated.heard.get() {
        Some((version, since)) if version > own_version(shared) => now.since(since),
        _ => Duration::ZERO,
    }
}

/// Takes note of whether the configuration can be relied on now.
pub(super) fn refresh(shared: &Shared) {
    present(shared);
}

/// Why a request that may run in `regions` must not go anywhere now; `None` if it may.
pub(super) fn doubt(shared: &Shared, regions: &Regions) -> Option<Doubt> {
    if regions.is_any() {
        return None;
    }
    present(shared)
}

/// Refuses a request that must not go anywhere now. One of which `ran` attempts may have run cannot return, and waits until it
/// may go on, for half of the pause that its client bears.
pub(super) async fn check(call: &Call, ran: u32) -> Result<(), Refusal> {
    if ran > 0 && await_end(call, call.route.patience() / 2).await {
        return Ok(());
    }
    let Some(doubt) = doubt(&call.shared, &call.regions()) else {
        return Ok(());
    };
    metrics::counter!("carobhaven_outdated_refusals_total", "reason" => doubt.name()).increment(1);
    let (local, reason) = refusal();
    Err((if ran == 0 { local } else { LocalAnswer::Unclear }, reason))
}

/// Waits until a request may go somewhere, for `limit` at most; returns whether it may.
async fn await_end(call: &Call, limit: Duration) -> bool {
    let end = call.answer_deadline().min(Instant::now() + limit);
    loop {
        let changed = call.shared.outdated.changed.notified();
        if doubt(&call.shared, &call.regions()).is_none() {
            return true;
        }
        if timeout_at(end, changed).await.is_err() {
            return false;
        }
    }
}

/// Whether a request would be refused.
pub(super) fn peek(call: &Call) -> Result<(), Refusal> {
    doubt(&call.shared, &call.regions()).map_or(Ok(()), |_doubt| Err(refusal()))
}

fn refusal() -> Refusal {
    (
        LocalAnswer::Refused(link::spread(RETRY_OUTDATED)),
        "the regions in which it may run may have changed",
    )
}

/// Why the configuration cannot be relied on; logs when that changes.
fn present(shared: &Shared) -> Option<Doubt> {
    let now = moment(shared.now());
    let uninformed = shared.is_uninformed();
    let contact = Contact {
        uninformed,
        peers: shared.peer_count(),
        heard: if uninformed {
            shared.fleet().recent_peers(PEER_TIMEOUT, now.time)
        } else {
            0
        },
        lag: lag(shared, now.time),
    };
    let outdated = &shared.outdated;
    let doubt = outdated.change(|freshness| freshness.doubt(now, contact));
    let before = outdated.logged.replace(doubt);
    if before != doubt {
        outdated.changed.notify_waiters();
    }
    if before == doubt || (before == Some(Doubt::Started) && doubt.is_none()) {
        return doubt;
    }
    let age = outdated.freshness.get().age(now);
    let age_ms = age.map(|age| age.as_millis() as u64);
    match doubt {
        Some(doubt) => log::warn!(
            reason = doubt.name(), age_ms:? = age_ms, peers = contact.peers, heard = contact.heard;
            "configuration may be outdated; requests restricted to regions are refused"
        ),
        None => log::info!(age_ms:? = age_ms; "configuration can be relied on again"),
    }
    doubt
}
