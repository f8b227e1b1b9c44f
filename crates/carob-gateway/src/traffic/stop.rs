//! Stops a run of a generation that goes on elsewhere, until it is known to have ended.
//!
//! A run has ended if its upstream says so, if the process of the upstream has ended, or when the deadline that it was
//! sent with has passed. A notice to leave is no such sign, nor is a call that could not be sent or was not answered: the
//! upstream may be cut off for a moment and serve on. It is called again until then.

use std::{rc::Rc, time::Duration};

use carob_dispatch::{
    fleet::UpstreamKey,
    migration::{CONFIRM_TIMEOUT, RETRY_DELAY, STOP_INTERVAL, STOP_PERIOD, STOP_TIMEOUT, TURN_INTERVAL},
};
use carob_platform::engine::CopyOutcome;
use tokio::{
    sync::{oneshot, watch},
    time::{Instant, timeout_at},
};

use super::{call::Call, exchange::upstream_name, migrate};

/// What is to be stopped, and how.
#[derive(Clone, Copy)]
struct StopRequest {
    upstream: UpstreamKey,
    /// Upstream that the final copy of the memory goes to at first.
    named: UpstreamKey,
    /// Number of answers in a row that the upstream runs no such generation after which none will run there either.
    quiet_answers: u32,
    /// Whether the generation goes on from its memory, so that this is not released.
    keeps_memory: bool,
}

/// What is known of a run that is called to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunState {
    /// Its upstream has not answered.
    Unknown,
    /// Its upstream has answered that it goes on.
    Running,
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

/// Waits until the run has ended: for as long as its upstream answers that it goes on, and for `limit` if there is no answer.
/// An upstream that no call can be sent to is not waited for: it has probably ended, and is called until that is known.
async fn settle(state: &mut watch::Receiver<RunState>, limit: Duration) -> RunState {
    let end = Instant::now() + limit;
    loop {
        let known = *state.borrow_and_update();
        let is_changed = match known {
            RunState::Ended | RunState::Unreachable => false,
            RunState::Running => state.changed().await.is_ok(),
            RunState::Unknown => matches!(timeout_at(end, state.changed()).await, Ok(Ok(()))),
        };
        if !is_changed {
            return known;
        }
    }
}

fn supports_stop(call: &Call) -> bool {
    call.engine
        .as_ref()
        .is_some_and(|engine| engine.supports_migration)
}

/// An upstream that the call which stops a generation at `upstream` can name for its memory: one with room where the request
/// may go, or `upstream` itself.
pub(super) fn spare(call: &Call, upstream: UpstreamKey) -> UpstreamKey {
    let shared = &call.shared;
    let requirements = call.requirements(call.size(0), &[upstream]);
    shared
        .fleet()
        .migration_target(upstream, &requirements, rand::random(), shared.now())
        .filter(|target| call.check_place(*target).is_ok())
        .unwrap_or(upstream)
}

/// Stops the generation at `source` after it has continued at `target`. Most upstreams abort a request when its connection
/// closes, but not all do.
pub(super) async fn stop_source(call: Rc<Call>, source: UpstreamKey, target: UpstreamKey) {
    let wanted = StopRequest {
        upstream: source,
        named: target,
        quiet_answers: 1,
        keeps_memory: false,
    };
    let (state, _unobserved) = watch::channel(RunState::Unknown);
    let evidence = stop(&call, wanted, &state).await;
    release(&call, wanted, evidence.as_ref()).await;
}

/// Gives up the run of a stream's present upstream, which goes on elsewhere, and waits until it has stopped; for `limit` if its
/// upstream does not answer.
pub(super) async fn abandon_present(call: &Rc<Call>, upstream: UpstreamKey, limit: Duration) {
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
    settle(&mut state, limit).await;
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
    let wanted = StopRequest {
        upstream,
        named: target,
        quiet_answers: 1,
        keeps_memory: true,
    };
    let mut stopping = begin(call, wanted);
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
    let wanted = StopRequest {
        upstream,
        named: spare,
        quiet_answers,
        keeps_memory: false,
    };
    begin(call, wanted)
}

/// Calls an upstream to stop a run, in a task of its own, so that it is stopped whatever becomes of the caller.
fn begin(call: &Rc<Call>, wanted: StopRequest) -> Stopping {
    let upstream = wanted.upstream;
    let (state, observed) = watch::channel(RunState::Unknown);
    let (sender, memory) = oneshot::channel();
    call.abandoned.borrow_mut().push(Abandoned {
        upstream,
        state: observed.clone(),
    });
    metrics::counter!("carobhaven_abandoned_runs_total").increment(1);
    let call = Rc::clone(call);
    tokio::task::spawn_local(async move {
        let evidence = stop(&call, wanted, &state).await;
        log::info!(
            request:% = call.id(), upstream:% = upstream_name(&call, upstream), confirmed = evidence.is_some();
            "run of a generation given up"
        );
        if let Some(Evidence::Copied(handle)) = &evidence {
            // Before the end of the run is told. Fails only if nobody waits for it.
            let _taken = sender.send(handle.clone());
        }
        if evidence.is_some() {
            state.send_replace(RunState::Ended);
        }
        release(&call, wanted, evidence.as_ref()).await;
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
    /// The same; the memory was copied to the upstream that the request names.
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

/// What follows from the outcome of a call.
enum Next {
    /// The run has ended.
    Ended(Evidence),
    /// This is known of the run, and the next call follows after this time.
    Again(RunState, Duration),
}

/// Calls that were made to stop a run.
#[derive(Default)]
struct Calls {
    sent: u32,
    unsent: u32,
    /// Answers in a row that the upstream runs no such generation.
    quiet: u32,
}

impl Calls {
    /// Records the outcome of a call; its copy goes to the upstream that the request names if it is `as_wanted`.
    fn record(&mut self, outcome: CopyOutcome, quiet_answers: u32, as_wanted: bool) -> Next {
        let is_quiet = outcome == CopyOutcome::NotRunning;
        if outcome == CopyOutcome::Unsent {
            self.unsent += 1;
            return Next::Again(RunState::Unreachable, Duration::ZERO);
        }
        self.sent += 1;
        self.quiet = if is_quiet { self.quiet + 1 } else { 0 };
        match outcome {
            CopyOutcome::Done(copied) if as_wanted => Next::Ended(Evidence::Copied(copied.handle)),
            CopyOutcome::Done(copied) => Next::Ended(Evidence::Stopped(copied.handle)),
            CopyOutcome::NoRoom(Some(handle)) => Next::Ended(Evidence::Stopped(handle)),
            CopyOutcome::NotRunning if self.quiet >= quiet_answers => Next::Ended(Evidence::NotRunning),
            CopyOutcome::Busy => Next::Again(RunState::Running, RETRY_DELAY),
            CopyOutcome::NoRoom(None) => Next::Again(RunState::Running, STOP_INTERVAL),
            CopyOutcome::NotRunning | CopyOutcome::Unsent | CopyOutcome::Malformed => {
                Next::Again(RunState::Unknown, STOP_INTERVAL)
            }
        }
    }
}

/// Calls an upstream to stop the generation, until it has stopped it or has said often enough that it runs no such generation.
/// Returns by what it is known that the run has ended, if it is.
async fn stop(call: &Rc<Call>, wanted: StopRequest, state: &watch::Sender<RunState>) -> Option<Evidence> {
    let shared = &call.shared;
    let StopRequest {
        upstream, mut named, ..
    } = wanted;
    let begun = Instant::now();
    let end = call.deadline.min(begun + STOP_PERIOD);
    let mut calls = Calls::default();
    let evidence = loop {
        if Instant::now() >= end || shared.fleet().upstream(upstream).is_none() {
            break (Instant::now() >= call.deadline).then_some(Evidence::Deadline);
        }
        if !shared.fleet_mut().try_start_call(upstream, shared.now()) {
            state.send_replace(RunState::Unreachable);
            tokio::time::sleep(TURN_INTERVAL).await;
            continue;
        }
        if shared.fleet().has_ended(upstream) {
            break Some(Evidence::Replaced);
        }
        if named != upstream && call.check_place(named).is_err() {
            named = spare(call, upstream);
        }
        let started = shared.now();
        let outcome = migrate::copy_once(call, upstream, named, true, STOP_TIMEOUT).await;
        let other_target = matches!(outcome, CopyOutcome::NoRoom(None) | CopyOutcome::Malformed);
        match calls.record(outcome, wanted.quiet_answers, named == wanted.named) {
            Next::Ended(evidence) => break Some(evidence),
            Next::Again(known, pause) => {
                state.send_replace(known);
                if known == RunState::Unreachable {
                    let retry_at = shared.now().max(started + STOP_INTERVAL);
                    shared.fleet_mut().end_call(upstream, Some(retry_at));
                }
                tokio::time::sleep(pause).await;
            }
        }
        if other_target {
            named = spare(call, upstream);
        }
    };
    metrics::counter!("carobhaven_stop_calls_total", "outcome" => "sent").increment(calls.sent.into());
    metrics::counter!("carobhaven_stop_calls_total", "outcome" => "unsent").increment(calls.unsent.into());
    log::info!(
        request:% = call.id(), upstream:% = upstream_name(call, upstream),
        evidence = evidence.as_ref().map_or("none", Evidence::name), sent = calls.sent, unsent = calls.unsent,
        took_ms = begun.elapsed().as_millis() as u64; "calls to stop a run have ended"
    );
    evidence
}

/// Releases the memory of a run that was stopped, unless it is used.
async fn release(call: &Call, wanted: StopRequest, evidence: Option<&Evidence>) {
    let Some(Evidence::Stopped(handle) | Evidence::Copied(handle)) = evidence else {
        return;
    };
    log::info!(
        request:% = call.id(), source:% = upstream_name(call, wanted.upstream);
        "the source still ran the generation and was stopped"
    );
    if !wanted.keeps_memory {
        migrate::release(&call.shared, wanted.upstream, handle).await;
    }
}
