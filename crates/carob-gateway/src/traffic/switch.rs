//! Decides which of two upstreams runs a generation that moves.
//!
//! The request to the target decides a move: from then on the target may run the generation, whether its answer arrives
//! or not. The source is stopped [`OVERLAP`] later at the latest and keeps its memory. If the target turns out not to
//! continue, it is stopped in turn, and the generation goes on from the source's memory.

use std::{cell::RefCell, net::SocketAddr, pin::Pin, rc::Rc};

use carob_dispatch::{
    budget::Reason,
    fleet::{RequestSize, UpstreamKey},
    migration::{CONFIRM_TIMEOUT, HOLD_TIMEOUT, OVERLAP, QUIET_ANSWERS, TARGET_SHARE, TARGET_TIMEOUT},
};
use carob_platform::{
    engine::CopyOutcome,
    request::{Memory, Resume},
};
use tokio::{
    sync::oneshot,
    task::AbortHandle,
    time::{Instant, timeout_at},
};

use super::{
    call::Call,
    exchange::upstream_name,
    guard::Reservation,
    migrate::{self, MigrationOutcome, Progress},
    resume::{self, Failure, Fate, OpenStream, RESUME_TIMEOUT},
    stop::{self, abandon},
};

/// Memory of a stopped generation: a reservation where it can go on from it, and its handle.
type Held = (Reservation, String);

/// Why a generation that was to be stopped is not held.
pub(super) struct NotHeld {
    pub(super) reason: &'static str,
    /// Whether it may have been stopped, so that its stream does not end in order.
    pub(super) is_stopped: bool,
    /// Whether it is known to go on.
    goes_on: bool,
}

impl NotHeld {
    /// The generation goes on.
    const fn going(reason: &'static str) -> Self {
        Self {
            reason,
            is_stopped: false,
            goes_on: true,
        }
    }

    /// The generation has ended by itself.
    const fn ended(reason: &'static str) -> Self {
        Self {
            reason,
            is_stopped: false,
            goes_on: false,
        }
    }

    /// The generation may have been stopped; its upstream's answer is lost.
    const fn unclear(reason: &'static str) -> Self {
        Self {
            reason,
            is_stopped: true,
            goes_on: false,
        }
    }
}

/// Continues the generation at the target from the copy in `progress`; the source continues it too, until the target has
/// started or might have.
pub(super) async fn switch_over(
    call: &Rc<Call>,
    source: UpstreamKey,
    tokens: u64,
    progress: &RefCell<Progress>,
) -> MigrationOutcome {
    let copy = progress.borrow_mut().copy.take();
    let Some(copy) = copy else {
        return MigrationOutcome::Failed("the copy was used already");
    };
    progress.borrow_mut().switching = true;
    let outcome = decide(call, source, tokens, copy, progress).await;
    progress.borrow_mut().switching = false;
    outcome
}

async fn decide(
    call: &Rc<Call>,
    source: UpstreamKey,
    tokens: u64,
    (reservation, handle): Held,
    progress: &RefCell<Progress>,
) -> MigrationOutcome {
    let Some(engine) = address(call, source) else {
        return MigrationOutcome::Failed("the upstream is forgotten");
    };
    let target = reservation.upstream;
    let resume = resume_from(engine, &handle, progress.borrow().last_event);
    let limit = TARGET_TIMEOUT.min(call.route.patience().mul_f64(TARGET_SHARE));
    let begun = call.send_begun.notified();
    let attempt = async {
        let deadline = Instant::now() + limit;
        let opened = resume::resume_at(call, reservation, Reason::Move, &resume, limit).await?;
        opened.await_first_bytes(deadline).await
    };
    tokio::pin!(attempt);
    let (early, overlap) = overlap(attempt.as_mut(), begun).await;
    let early = match early {
        Some(Ok(opened)) => {
            tokio::task::spawn_local(stop::stop_source(Rc::clone(call), source, target));
            return MigrationOutcome::Continued(Box::new(opened));
        }
        Some(Err(failure)) => Some(failure),
        None => None,
    };
    let mut confirmed = None;
    match early {
        Some(Failure {
            fate: Fate::NotRun,
            reservation,
            ..
        }) => {
            progress.borrow_mut().copy = Some((reservation, handle));
            return MigrationOutcome::Failed("the other upstream does not continue");
        }
        Some(Failure {
            fate: Fate::Ended, ..
        }) => return MigrationOutcome::Failed("the other upstream has ended the generation"),
        Some(_) => {
            // It has broken off, so that one answer tells whether it still runs the generation.
            let mut stopped = abandon(call, target, source, 1);
            if stopped.has_ended(overlap).await {
                return MigrationOutcome::Failed("the other upstream broke off");
            }
            confirmed = Some(stopped);
        }
        None => {}
    }
    progress.borrow_mut().stopped = true;
    log::info!(
        request:% = call.id(), source:% = upstream_name(call, source), target:% = upstream_name(call, target),
        broken = early.is_some(); "source stopped: the target may run the generation"
    );
    let connection = progress.borrow().connection.clone();
    let held = hold_apart(call, source, target, tokens, connection);
    let late = match early {
        Some(failure) => Err(failure),
        None => attempt.await,
    };
    match late {
        Ok(opened) => {
            tokio::task::spawn_local(discard(Rc::clone(call), source, target, held));
            MigrationOutcome::Continued(Box::new(opened))
        }
        Err(failure) => {
            if failure.fate == Fate::Unknown {
                let mut confirmed = confirmed.unwrap_or_else(|| abandon(call, target, source, QUIET_ANSWERS));
                confirmed.has_ended(Instant::now() + CONFIRM_TIMEOUT).await;
            }
            resume_held(call, engine, held, progress).await
        }
    }
}

/// Awaits the outcome of an `attempt`, but no longer than the source may go on beside it. Returns the outcome, if it is known
/// by then, and the end of that time, which starts once the send has `begun`: a target that is not connected yet cannot run
/// the generation.
async fn overlap<T>(
    mut attempt: Pin<&mut impl Future<Output = T>>,
    begun: impl Future<Output = ()>,
) -> (Option<T>, Instant) {
    let unsent = tokio::select! {
        biased;
        outcome = attempt.as_mut() => Some(outcome),
        () = begun => None,
    };
    let end = Instant::now() + OVERLAP;
    match unsent {
        Some(outcome) => (Some(outcome), end),
        None => (timeout_at(end, attempt).await.ok(), end),
    }
}

/// Continues a generation that was stopped, from the memory that is held of it.
async fn resume_held(
    call: &Rc<Call>,
    engine: SocketAddr,
    held: oneshot::Receiver<Result<Held, NotHeld>>,
    progress: &RefCell<Progress>,
) -> MigrationOutcome {
    let (reservation, handle) = match held.await {
        Ok(Ok(held)) => held,
        Ok(Err(failure)) => {
            // The source may have ended the generation in order just before.
            progress.borrow_mut().stopped = failure.is_stopped || failure.goes_on;
            return MigrationOutcome::Failed(failure.reason);
        }
        Err(_closed) => return MigrationOutcome::Failed("the source was not stopped"),
    };
    let resume = resume_from(engine, &handle, progress.borrow().last_event);
    match resume_stopped(call, reservation, &resume).await {
        Ok(opened) => MigrationOutcome::Continued(Box::new(opened)),
        Err(_failure) => MigrationOutcome::Failed("nothing continues from the source's memory"),
    }
}

/// Continues a generation that runs nowhere, or only where it is called to stop; stops it where that fails and it may run.
///
/// # Errors
///
/// Returns a [`Failure`] if no stream comes of it.
pub(super) async fn resume_stopped(
    call: &Rc<Call>,
    reservation: Reservation,
    resume: &Resume,
) -> Result<OpenStream, Failure> {
    let resumed = resume::resume_at(call, reservation, Reason::Resume, resume, RESUME_TIMEOUT).await;
    if let Err(failure) = &resumed
        && failure.fate == Fate::Unknown
    {
        let upstream = failure.reservation.upstream;
        let mut confirmed = abandon(call, upstream, stop::spare(call, upstream), QUIET_ANSWERS);
        confirmed.has_ended(Instant::now() + CONFIRM_TIMEOUT).await;
    }
    resumed
}

fn resume_from(engine: SocketAddr, handle: &str, last_event: Option<u64>) -> Resume {
    Resume {
        memory: Some(Memory {
            engine,
            handle: handle.to_owned(),
        }),
        last_event,
    }
}

fn address(call: &Call, upstream: UpstreamKey) -> Option<SocketAddr> {
    let fleet = call.shared.fleet();
    fleet.upstream(upstream).map(|found| found.entry.address)
}

/// Stops the generation at `source` in a task of its own, so that it is stopped whatever becomes of the caller: with its
/// memory, or by closing its `connection` if no upstream has room for that or the source cannot be called. The memory is
/// released if nobody waits for it any more.
fn hold_apart(
    call: &Rc<Call>,
    source: UpstreamKey,
    target: UpstreamKey,
    tokens: u64,
    connection: Option<AbortHandle>,
) -> oneshot::Receiver<Result<Held, NotHeld>> {
    let (sender, held) = oneshot::channel();
    let call = Rc::clone(call);
    tokio::task::spawn_local(async move {
        let until = Instant::now() + HOLD_TIMEOUT;
        let close = |reason| {
            let Some(connection) = connection.as_ref().filter(|open| !open.is_finished()) else {
                return false;
            };
            log::info!(
                request:% = call.id(), source:% = upstream_name(&call, source), reason;
                "connection to the source closed: it cannot be stopped with its memory"
            );
            connection.abort();
            true
        };
        call.copy_awaited.set(Some(source));
        let sent = timeout_at(until, call.copy_begun.notified());
        let unsent = async {
            if sent.await.is_ok() {
                std::future::pending::<()>().await;
            }
        };
        let holding = hold_by(&call, source, target, tokens, until);
        tokio::pin!(holding);
        let mut is_closed = false;
        let mut outcome = tokio::select! {
            biased;
            outcome = holding.as_mut() => outcome,
            () = unsent => {
                is_closed = close("no call to stop it could be sent in time");
                holding.await
            }
        };
        if let Err(failure) = &mut outcome {
            failure.is_stopped |= is_closed;
            if failure.goes_on && !is_closed {
                close(failure.reason);
            }
        }
        if let Err(Ok((_reservation, handle))) = sender.send(outcome) {
            migrate::release(&call.shared, source, &handle).await;
        }
    });
    held
}

/// Stops the generation at `source` and has its memory copied to an upstream with room other than `target`, or to that one
/// if none has and it is not later than `until`.
async fn hold_by(
    call: &Rc<Call>,
    source: UpstreamKey,
    target: UpstreamKey,
    tokens: u64,
    until: Instant,
) -> Result<Held, NotHeld> {
    let outcome = hold(call, source, Some(target), tokens).await;
    if !matches!(&outcome, Err(failure) if failure.goes_on) || Instant::now() >= until {
        return outcome;
    }
    // The target has room for the generation, if any upstream has. The source keeps the memory if it may not go there.
    let is_permitted = call.check_place(target).is_ok();
    let named = if is_permitted { target } else { source };
    hold_at(call, source, (named, source), tokens).await
}

/// Stops the generation at `from` and has its memory copied to an upstream with room, other than `excluded`. It goes on
/// there, or at `from`, which keeps its memory.
///
/// # Errors
///
/// Returns why the generation is not held.
async fn hold(
    call: &Rc<Call>,
    from: UpstreamKey,
    excluded: Option<UpstreamKey>,
    tokens: u64,
) -> Result<Held, NotHeld> {
    let shared = &call.shared;
    let requirements = call.requirements(RequestSize { tokens, prefill: 0 }, excluded.as_slice());
    let target = shared
        .fleet()
        .migration_target(from, &requirements, rand::random(), shared.now());
    let Some(target) = target else {
        return Err(NotHeld::going("no upstream has room for the copy"));
    };
    hold_at(call, from, (target, target), tokens).await
}

/// Stops the generation at `from` and has its memory copied to the upstream `named`. It goes on at `place`, or at `from`.
async fn hold_at(
    call: &Rc<Call>,
    from: UpstreamKey,
    (named, place): (UpstreamKey, UpstreamKey),
    tokens: u64,
) -> Result<Held, NotHeld> {
    let size = RequestSize { tokens, prefill: 0 };
    let started = Instant::now();
    let outcome = migrate::copy(call, from, named, true).await;
    log::info!(
        request:% = call.id(), source:% = upstream_name(call, from), target:% = upstream_name(call, named),
        outcome:% = outcome, took_ms = started.elapsed().as_millis() as u64; "source called to stop with its memory"
    );
    match outcome {
        CopyOutcome::Done(copied) => Ok((Reservation::new(&call.shared, place, size), copied.handle)),
        CopyOutcome::NoRoom(Some(handle)) => Ok((Reservation::new(&call.shared, from, size), handle)),
        CopyOutcome::NotRunning => Err(NotHeld::ended("the upstream runs no such generation any more")),
        CopyOutcome::Busy => Err(NotHeld::going("the upstream makes another copy")),
        CopyOutcome::Unsent => Err(NotHeld::going("the call to stop it could not be sent")),
        // Had it stopped, it would have named what it keeps.
        CopyOutcome::NoRoom(None) => Err(NotHeld::going("the upstream finds no room for the copy")),
        CopyOutcome::Malformed => Err(NotHeld::unclear("the upstream does not copy")),
    }
}

/// Releases the memory of a source whose generation goes on at `target`, and makes sure that it has stopped.
async fn discard(
    call: Rc<Call>,
    source: UpstreamKey,
    target: UpstreamKey,
    held: oneshot::Receiver<Result<Held, NotHeld>>,
) {
    match held.await {
        Ok(Ok((_reservation, handle))) => migrate::release(&call.shared, source, &handle).await,
        Ok(Err(_)) | Err(_) => stop::stop_source(call, source, target).await,
    }
}

/// Stops the generation at `from`, whose link is lost, and continues it from its memory; the calls go through another
/// instance. `tokens` is what it is expected to hold at its end, `last_event` the last event that the client has.
///
/// # Errors
///
/// Returns why the generation does not go on elsewhere.
pub(super) async fn rescue(
    call: &Rc<Call>,
    from: UpstreamKey,
    tokens: u64,
    last_event: Option<u64>,
) -> Result<OpenStream, NotHeld> {
    let Some(engine) = address(call, from) else {
        return Err(NotHeld::going("the upstream is forgotten"));
    };
    let (reservation, handle) = hold(call, from, None, tokens).await?;
    let resume = resume_from(engine, &handle, last_event);
    let resumed = resume_stopped(call, reservation, &resume).await;
    resumed.map_err(|_failure| NotHeld::unclear("the other upstream does not continue"))
}
