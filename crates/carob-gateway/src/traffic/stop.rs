//! Stops a run of a generation that goes on elsewhere, until it is known to have ended.
//!
//! A run has ended if its upstream says so, if the process of the upstream has ended, or when the deadline that it was
//! sent with has passed. A notice to leave is no such sign, nor is a call that could not be sent or was not answered: the
//! upstream may be cut off for a moment and serve on. It is called again until then.

use std::rc::Rc;

use carob_dispatch::{
    fleet::UpstreamKey,
    migration::{CONFIRM_TIMEOUT, STOP_INTERVAL, STOP_PERIOD, STOP_TIMEOUT, TURN_INTERVAL},
};
use carob_platform::engine::CopyOutcome;
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

use super::{call::Call, exchange::upstream_name, migrate};

/// An upstream that the call which stops a generation at `upstream` can name for its memory: one with room, or `upstream`
/// itself.
pub(super) fn spare(call: &Call, upstream: UpstreamKey) -> UpstreamKey {
    let shared = &call.shared;
    let requirements = call.requirements(call.size(0), &[upstream]);
    shared
        .fleet()
        .migration_target(upstream, &requirements, rand::random(), shared.now())
        .unwrap_or(upstream)
}

/// Stops the generation at `source` after it has continued at `target`. Most upstreams abort a request when its connection
/// closes, but not all do.
pub(super) async fn stop_source(call: Rc<Call>, source: UpstreamKey, target: UpstreamKey) {
    stop(&call, source, target, 1).await;
}

/// Gives up the run of a stream's present upstream, which goes on elsewhere; waits for a moment until it has stopped if it
/// `may_go_on` by all that is known.
pub(super) async fn abandon_present(call: &Rc<Call>, upstream: UpstreamKey, may_go_on: bool) {
    let supports_stop = call
        .engine
        .as_ref()
        .is_some_and(|engine| engine.supports_migration);
    if !supports_stop || call.abandoned.borrow().contains(&upstream) {
        return;
    }
    let mut confirmed = abandon(call, upstream, spare(call, upstream), 1);
    if may_go_on {
        is_confirmed(&mut confirmed, Instant::now() + CONFIRM_TIMEOUT).await;
    }
}

/// Gives up a run of the generation at `upstream`, which may have the request: it is called to stop until it confirms that
/// nothing runs there, also through other instances, and gets the request no more. Returns what tells of the confirmation.
pub(super) fn abandon(
    call: &Rc<Call>,
    upstream: UpstreamKey,
    spare: UpstreamKey,
    quiet_answers: u32,
) -> oneshot::Receiver<()> {
    call.abandoned.borrow_mut().push(upstream);
    metrics::counter!("carobhaven_abandoned_runs_total").increment(1);
    let (sender, confirmed) = oneshot::channel();
    let call = Rc::clone(call);
    tokio::task::spawn_local(async move {
        let evidence = stop(&call, upstream, spare, quiet_answers).await;
        log::info!(
            request:% = call.id(), upstream:% = upstream_name(&call, upstream), confirmed = evidence.is_some();
            "run of a generation given up"
        );
        if evidence.is_some() {
            // Fails only if nobody waits for it.
            let _told = sender.send(());
        }
    });
    confirmed
}

/// Waits until `deadline` for the confirmation that an upstream runs the generation no more.
pub(super) async fn is_confirmed(confirmed: &mut oneshot::Receiver<()>, deadline: Instant) -> bool {
    matches!(timeout_at(deadline, confirmed).await, Ok(Ok(())))
}

/// By what a run is known to have ended.
#[derive(Clone, Copy, Debug)]
enum Evidence {
    /// The upstream has stopped it.
    Stopped,
    /// The upstream runs no such generation.
    NotRunning,
    /// Another process has the name or the address of the upstream.
    Replaced,
    /// Its deadline has passed.
    Deadline,
}

/// Calls `upstream` to stop the generation, until it has stopped it or has said `quiet_answers` times in a row that it runs
/// no such generation. The final copy that stops it goes to `named` at first; its memory is not needed. Returns by what it is
/// known that the run has ended, if it is.
async fn stop(
    call: &Rc<Call>,
    upstream: UpstreamKey,
    mut named: UpstreamKey,
    quiet_answers: u32,
) -> Option<Evidence> {
    let shared = &call.shared;
    let begun = Instant::now();
    let end = call.deadline.min(begun + STOP_PERIOD);
    let (mut quiet, mut calls, mut unsent) = (0, 0_u32, 0_u32);
    let evidence = loop {
        if Instant::now() >= end || shared.fleet().upstream(upstream).is_none() {
            break (Instant::now() >= call.deadline).then_some(Evidence::Deadline);
        }
        if !shared.fleet_mut().may_call(upstream, shared.now()) {
            tokio::time::sleep(TURN_INTERVAL).await;
            continue;
        }
        if shared.fleet().has_ended(upstream) {
            break Some(Evidence::Replaced);
        }
        let started = shared.now();
        let outcome = migrate::copy(call, upstream, named, true, STOP_TIMEOUT).await;
        calls += 1;
        match outcome {
            CopyOutcome::Done(copied) => break Some(stopped(call, upstream, &copied.handle).await),
            CopyOutcome::NoRoom(Some(handle)) => break Some(stopped(call, upstream, &handle).await),
            CopyOutcome::NotRunning => {
                quiet += 1;
                if quiet >= quiet_answers {
                    break Some(Evidence::NotRunning);
                }
            }
            CopyOutcome::Unsent => {
                unsent += 1;
                let retry_at = shared.now().max(started + STOP_INTERVAL);
                shared.fleet_mut().end_call(upstream, Some(retry_at));
                continue;
            }
            CopyOutcome::Busy | CopyOutcome::NoRoom(None) | CopyOutcome::Malformed => {
                quiet = 0;
                named = spare(call, upstream);
            }
        }
        tokio::time::sleep(STOP_INTERVAL).await;
    };
    metrics::counter!("carobhaven_stop_calls_total", "outcome" => "sent").increment((calls - unsent).into());
    metrics::counter!("carobhaven_stop_calls_total", "outcome" => "unsent").increment(unsent.into());
    log::info!(
        request:% = call.id(), upstream:% = upstream_name(call, upstream), evidence:? = evidence, calls, unsent,
        took_ms = begun.elapsed().as_millis() as u64; "calls to stop a run have ended"
    );
    evidence
}

/// Releases the memory of a run that was stopped.
async fn stopped(call: &Call, upstream: UpstreamKey, handle: &str) -> Evidence {
    log::info!(request:% = call.id(), source:% = upstream_name(call, upstream); "the source still ran the generation and was stopped");
    migrate::release(&call.shared, upstream, handle).await;
    Evidence::Stopped
}
