//! Stops a run of a generation that goes on elsewhere, until it is known to have ended.
//!
//! A run has ended if its upstream says so, if the process of the upstream has ended, or when the deadline that it was
//! sent with has passed. A notice to leave is no such sign, nor is a call that could not be sent or was not answered: the
//! upstream may be cut off for a moment and serve on. It is called again until then.

use std::{rc::Rc, time::Duration};

use carob_dispatch::{
    fleet::UpstreamKey,
    migration::{CONFIRM_TIMEOUT, STOP_INTERVAL, STOP_PERIOD, STOP_TIMEOUT, TURN_INTERVAL},
};
use carob_platform::engine::CopyOutcome;
use tokio::{
    sync::{oneshot, watch},
    time::{Instant, timeout, timeout_at},
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
    let order = Order {
        upstream: source,
        named: target,
        quiet_answers: 1,
        keeps_memory: false,
    };
    let (state, _unobserved) = watch::channel(RunState::Unknown);
    stop(&call, order, &state).await;
}

/// What is known of a run that is called to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunState {
    /// Its upstream has not answered.
    Unknown,
    /// No call can be sent to its upstream.
    Unreachable,
    /// It has ended.
    Ended,
}

/// An upstream that is called to stop a run.
pub(super) struct Abandoned {
    pub(super) upstream: UpstreamKey,
    state: watch::Receiver<RunState>,
}

/// A run that is being stopped.
pub(super) struct Stopping {
    state: watch::Receiver<RunState>,
    /// Handle of the final copy of its memory.
    memory: oneshot::Receiver<String>,
}

impl Stopping {
    /// Waits until `deadline` for the end of the run; returns whether it has ended.
    pub(super) async fn has_ended(&mut self, deadline: Instant) -> bool {
        let ended = self.state.wait_for(|state| *state == RunState::Ended);
        matches!(timeout_at(deadline, ended).await, Ok(Ok(_)))
    }
}

/// Waits until the run has ended, or for `limit` if its upstream does not answer. An upstream that no call can be sent to is
/// not waited for: it has probably ended, and is called until that is known.
async fn settle(state: &mut watch::Receiver<RunState>, limit: Duration) -> RunState {
    let settled = state.wait_for(|state| *state != RunState::Unknown);
    let outcome = timeout(limit, settled).await;
    match outcome {
        Ok(Ok(state)) => *state,
        Ok(Err(_)) | Err(_) => RunState::Unknown,
    }
}

fn supports_stop(call: &Call) -> bool {
    call.engine
        .as_ref()
        .is_some_and(|engine| engine.supports_migration)
}

/// Gives up the run of a stream's present upstream, which goes on elsewhere; waits for a moment until it has stopped if it
/// `may_go_on` by all that is known.
pub(super) async fn abandon_present(call: &Rc<Call>, upstream: UpstreamKey, may_go_on: bool) {
    if !supports_stop(call) {
        return;
    }
    let begun = call
        .abandoned
        .borrow()
        .iter()
        .rfind(|run| run.upstream == upstream)
        .map(|run| run.state.clone());
    let mut state = match begun {
        Some(state) => state,
        None => abandon(call, upstream, spare(call, upstream), 1).state,
    };
    if may_go_on {
        settle(&mut state, CONFIRM_TIMEOUT).await;
    }
}

/// Stops the run of a stream's present upstream, whose answer has broken off, before it goes on from a copy of its memory at
/// `target`. Returns the handle of the final copy there, if one was made.
pub(super) async fn end_present(
    call: &Rc<Call>,
    upstream: UpstreamKey,
    target: UpstreamKey,
) -> Option<String> {
    if !supports_stop(call) {
        return None;
    }
    let started = Instant::now();
    let order = Order {
        upstream,
        named: target,
        quiet_answers: 1,
        keeps_memory: true,
    };
    let mut stopping = begin(call, order);
    let state = settle(&mut stopping.state, CONFIRM_TIMEOUT).await;
    let handle = stopping.memory.try_recv().ok();
    log::info!(
        request:% = call.id(), upstream:% = upstream_name(call, upstream), target:% = upstream_name(call, target),
        state:? = state, final_copy = handle.is_some(), took_ms = started.elapsed().as_millis() as u64;
        "run stopped before it goes on from a copy"
    );
    handle
}

/// Gives up a run of the generation at `upstream`, which may have the request: it is called to stop until it confirms that
/// nothing runs there, also through other instances, and gets the request no more.
pub(super) fn abandon(
    call: &Rc<Call>,
    upstream: UpstreamKey,
    spare: UpstreamKey,
    quiet_answers: u32,
) -> Stopping {
    let order = Order {
        upstream,
        named: spare,
        quiet_answers,
        keeps_memory: false,
    };
    begin(call, order)
}

/// What is to be stopped, and how.
#[derive(Clone, Copy)]
struct Order {
    upstream: UpstreamKey,
    /// Upstream that the final copy of the memory goes to at first.
    named: UpstreamKey,
    /// Number of answers in a row that the upstream runs no such generation after which none will run there either.
    quiet_answers: u32,
    /// Whether the generation goes on from its memory, so that this is not released.
    keeps_memory: bool,
}

fn begin(call: &Rc<Call>, order: Order) -> Stopping {
    let upstream = order.upstream;
    let (state, observed) = watch::channel(RunState::Unknown);
    let (sender, memory) = oneshot::channel();
    call.abandoned.borrow_mut().push(Abandoned {
        upstream,
        state: observed.clone(),
    });
    metrics::counter!("carobhaven_abandoned_runs_total").increment(1);
    let call = Rc::clone(call);
    tokio::task::spawn_local(async move {
        let evidence = stop(&call, order, &state).await;
        log::info!(
            request:% = call.id(), upstream:% = upstream_name(&call, upstream), confirmed = evidence.is_some();
            "run of a generation given up"
        );
        if let Some(Evidence::Copied(handle)) = evidence {
            // Fails only if nobody waits for it.
            let _taken = sender.send(handle);
        }
    });
    Stopping {
        state: observed,
        memory,
    }
}

/// By what a run is known to have ended.
#[derive(Clone, Debug)]
enum Evidence {
    /// The upstream has stopped it, and its memory has this handle.
    Stopped(String),
    /// The same; the memory was copied to the upstream that the order names.
    Copied(String),
    /// The upstream runs no such generation.
    NotRunning,
    /// Another process has the name or the address of the upstream.
    Replaced,
    /// Its deadline has passed.
    Deadline,
}

impl Evidence {
    const fn name(&self) -> &'static str {
        match self {
            Self::Stopped(_) | Self::Copied(_) => "stopped",
            Self::NotRunning => "not running",
            Self::Replaced => "upstream replaced",
            Self::Deadline => "deadline passed",
        }
    }
}

/// Calls an upstream to stop the generation, until it has stopped it or has said often enough that it runs no such generation.
/// Returns by what it is known that the run has ended, if it is.
async fn stop(call: &Rc<Call>, order: Order, state: &watch::Sender<RunState>) -> Option<Evidence> {
    let shared = &call.shared;
    let Order {
        upstream, mut named, ..
    } = order;
    let begun = Instant::now();
    let end = call.deadline.min(begun + STOP_PERIOD);
    let (mut quiet, mut calls, mut unsent) = (0, 0_u32, 0_u32);
    let evidence = loop {
        if Instant::now() >= end || shared.fleet().upstream(upstream).is_none() {
            break (Instant::now() >= call.deadline).then_some(Evidence::Deadline);
        }
        if !shared.fleet_mut().may_call(upstream, shared.now()) {
            state.send_replace(RunState::Unreachable);
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
            CopyOutcome::Done(copied) if named == order.named => {
                break Some(Evidence::Copied(copied.handle));
            }
            CopyOutcome::Done(copied) => break Some(Evidence::Stopped(copied.handle)),
            CopyOutcome::NoRoom(Some(handle)) => break Some(Evidence::Stopped(handle)),
            CopyOutcome::NotRunning => {
                quiet += 1;
                if quiet >= order.quiet_answers {
                    break Some(Evidence::NotRunning);
                }
            }
            CopyOutcome::Unsent => {
                unsent += 1;
                let retry_at = shared.now().max(started + STOP_INTERVAL);
                shared.fleet_mut().end_call(upstream, Some(retry_at));
                state.send_replace(RunState::Unreachable);
                continue;
            }
            CopyOutcome::Busy | CopyOutcome::NoRoom(None) | CopyOutcome::Malformed => {
                quiet = 0;
                named = spare(call, upstream);
            }
        }
        tokio::time::sleep(STOP_INTERVAL).await;
    };
    if evidence.is_some() {
        state.send_replace(RunState::Ended);
    }
    metrics::counter!("carobhaven_stop_calls_total", "outcome" => "sent").increment((calls - unsent).into());
    metrics::counter!("carobhaven_stop_calls_total", "outcome" => "unsent").increment(unsent.into());
    log::info!(
        request:% = call.id(), upstream:% = upstream_name(call, upstream),
        evidence = evidence.as_ref().map_or("none", Evidence::name), calls, unsent,
        took_ms = begun.elapsed().as_millis() as u64; "calls to stop a run have ended"
    );
    if let Some(Evidence::Stopped(handle) | Evidence::Copied(handle)) = &evidence {
        log::info!(
            request:% = call.id(), source:% = upstream_name(call, upstream);
            "the source still ran the generation and was stopped"
        );
        if !order.keeps_memory {
            migrate::release(shared, upstream, handle).await;
        }
    }
    evidence
}
