//! Migrates a running generation away from an upstream that leaves.

use std::{cell::RefCell, fmt, rc::Rc, time::Duration};

use carob_base::Time;
use carob_dispatch::{
    fleet::{RequestSize, UpstreamKey},
    migration::{
        CATCH_UP_CUTOFF, CAUGHT_UP_THRESHOLD, COPY_ATTEMPTS, COPY_CUTOFF, COPY_TIMEOUT, MAX_TARGETS,
        RETRY_DELAY, SHORT_REMAINING,
    },
};
use carob_platform::engine::{self, CopyOutcome};
use smallvec::SmallVec;
use tokio::{task::AbortHandle, time::Instant};

use super::{
    call::Call, cold, exchange::upstream_name, guard::Reservation, limit, link, pace, resume::OpenStream,
    shared::Shared, switch,
};
use crate::socket;

/// Time limit of a call that releases an unused copy.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// State shared by a migration and the stream of its generation.
#[derive(Default)]
pub(super) struct Progress {
    /// Reservation at the target, and handle of the copy of the memory there. Whichever of the two uses the
    /// copy takes it.
    pub(super) copy: Option<(Reservation, String)>,
    /// Whether the first copy is being made.
    pub(super) copying: bool,
    /// Whether the target has been requested to continue and its outcome is not known yet.
    pub(super) switching: bool,
    /// Whether the source was told to stop, so that its stream ends early without a failure of its own.
    pub(super) stopped: bool,
    /// Id of the last event that was passed on to the client.
    pub(super) last_event: Option<u64>,
    /// Closes the connection to the source.
    pub(super) connection: Option<AbortHandle>,
}

/// How a migration ended.
pub(super) enum MigrationOutcome {
    /// The generation runs at the target.
    Continued(Box<OpenStream>),
    /// The source runs no such generation.
    NotRunning,
    /// The generation was not migrated, for this reason.
    Failed(&'static str),
}

impl fmt::Display for MigrationOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Continued(_) => "continues at the other upstream",
            Self::NotRunning => "the source runs no such generation",
            Self::Failed(reason) => reason,
        })
    }
}

/// The upstream that a generation leaves.
#[derive(Clone, Copy)]
struct Source {
    key: UpstreamKey,
    /// When it became known that it leaves.
    leaving_since: Time,
}

/// Migrates the generation of `call` away from the upstream `from`. The generation is expected to hold
/// `tokens` at its end and to continue for `remaining`.
pub(super) async fn run(
    call: Rc<Call>,
    from: UpstreamKey,
    progress: Rc<RefCell<Progress>>,
    tokens: u64,
    remaining: Duration,
) -> MigrationOutcome {
    let shared = &call.shared;
    let source = match shared.fleet().upstream(from) {
        Some(found) => Source {
            key: from,
            leaving_since: found.leaving_since.unwrap_or_else(|| shared.now()),
        },
        None => return MigrationOutcome::Failed("the upstream is forgotten"),
    };
    if remaining < SHORT_REMAINING {
        tokio::time::sleep(SHORT_REMAINING).await;
    }
    let copy = match copy_ahead(&call, source, tokens, &progress).await {
        Ok(copy) => copy,
        Err(outcome) => return outcome,
    };
    let target = copy.0.upstream;
    // From now on the stream resumes from this copy if the source fails.
    progress.borrow_mut().copy = Some(copy);
    catch_up(&call, source, target, &progress).await;
    switch::switch_over(&call, source.key, tokens, &progress).await
}

/// Repeats the copy to include what was generated during the previous one, until a copy takes so little time
/// that little is left to recompute.
async fn catch_up(call: &Call, source: Source, target: UpstreamKey, progress: &RefCell<Progress>) {
    while call.shared.now().since(source.leaving_since) < CATCH_UP_CUTOFF {
        let started = Instant::now();
        let CopyOutcome::Done(copied) = copy(call, source.key, target, false).await else {
            return;
        };
        match &mut progress.borrow_mut().copy {
            Some((_, handle)) => *handle = copied.handle,
            // The stream goes on from it already.
            None => return,
        }
        if started.elapsed() < CAUGHT_UP_THRESHOLD {
            return;
        }
    }
}

/// Releases an unused copy, so that it does not occupy memory.
pub(super) async fn release(shared: &Rc<Shared>, source: UpstreamKey, handle: &str) {
    let deadline = Instant::now() + RELEASE_TIMEOUT;
    let released = link::call(shared, source, engine::release(handle), b"", deadline).await;
    if let Err(error) = released {
        log::info!(error:% = error, handle; "unused copy not released");
    }
}

/// Copies the memory to the first target with room while the generation continues at the source. Returns the
/// reservation at the target and the handle of the copy, or the outcome of the migration if it failed.
async fn copy_ahead(
    call: &Rc<Call>,
    source: Source,
    tokens: u64,
    progress: &RefCell<Progress>,
) -> Result<(Reservation, String), MigrationOutcome> {
    let shared = &call.shared;
    let mut tried: SmallVec<[UpstreamKey; 4]> = SmallVec::new();
    loop {
        let requirements = call.requirements(RequestSize { tokens, prefill: 0 }, &tried);
        let target = shared
            .fleet()
            .migration_target(source.key, &requirements, rand::random(), shared.now());
        let target = target.filter(|target| call.check_place(*target).is_ok());
        let Some(target) = target.filter(|_| tried.len() < MAX_TARGETS) else {
            if shared.now().since(source.leaving_since) >= COPY_CUTOFF {
                return Err(MigrationOutcome::Failed("no upstream has room for the copy"));
            }
            // Requests that end at the targets free memory there, so all of them are tried again.
            tried.clear();
            limit::record_demand(shared, &requirements);
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        tried.push(target);
        cold::expect_move(shared, target);
        let reservation = Reservation::new(shared, target, requirements.size);
        let started = Instant::now();
        progress.borrow_mut().copying = true;
        let outcome = copy(call, source.key, target, false).await;
        progress.borrow_mut().copying = false;
        log_copy(call, source, target, &outcome, started);
        match outcome {
            CopyOutcome::Done(copied) => return Ok((reservation, copied.handle)),
            CopyOutcome::NoRoom(_) => {}
            CopyOutcome::NotRunning => return Err(MigrationOutcome::NotRunning),
            CopyOutcome::Busy | CopyOutcome::Unsent | CopyOutcome::Malformed => {
                return Err(MigrationOutcome::Failed("the source does not copy"));
            }
        }
    }
}

fn log_copy(call: &Call, source: Source, target: UpstreamKey, outcome: &CopyOutcome, started: Instant) {
    let fleet = call.shared.fleet();
    let Some(found) = fleet.upstream(target) else {
        return;
    };
    let pace = pace::Known::new(fleet.known_pace(target, call.shared.now()));
    log::info!(
        request:% = call.id(), from:% = upstream_name(call, source.key), to:% = found.entry.id,
        pace = pace.factor, pace_weight = pace.weight, pace_age_ms = pace.age_ms,
        target_tokens = found.expected_tokens(), target_requests = found.total_requests(),
        near = fleet.same_domain(source.key, target), outcome:% = outcome,
        took_ms = started.elapsed().as_millis() as u64,
        notice_ms = call.shared.now().since(source.leaving_since).as_millis() as u64;
        "memory copied ahead of a move"
    );
}

/// Requests the source to copy the generation's memory to `target`, and retries while the source answers that
/// another copy is in progress or that the generation does not run yet. A `last` copy stops the generation.
pub(super) async fn copy(call: &Call, source: UpstreamKey, target: UpstreamKey, last: bool) -> CopyOutcome {
    let mut outcome = copy_once(call, source, target, last, COPY_TIMEOUT).await;
    for _ in 1..COPY_ATTEMPTS {
        match outcome {
            CopyOutcome::Busy => {}
            CopyOutcome::NotRunning if !last => {}
            other => return other,
        }
        tokio::time::sleep(RETRY_DELAY).await;
        outcome = copy_once(call, source, target, last, COPY_TIMEOUT).await;
    }
    outcome
}

/// Requests the source once to copy the generation's memory to `target`, and waits for the answer for `limit`. A `last` copy
/// stops the generation.
pub(super) async fn copy_once(
    call: &Call,
    source: UpstreamKey,
    target: UpstreamKey,
    last: bool,
    limit: Duration,
) -> CopyOutcome {
    let address = call
        .shared
        .fleet()
        .upstream(target)
        .map(|found| found.entry.address);
    let Some(address) = address else {
        return CopyOutcome::Unsent;
    };
    if let Err(exclusion) = call.check_copy(source, target) {
        log::info!(
            request:% = call.id(), target:% = upstream_name(call, target), exclusion = exclusion.name(), last;
            "memory not copied: the target is not permitted any more"
        );
        return CopyOutcome::NoRoom(None);
    }
    if target != source {
        call.log_copy_target(target, last);
    }
    let id = call.id().into_owned();
    let deadline = Instant::now() + limit;
    let request = engine::copy(&id, address, last);
    match link::call_copy(call, (source, target), request, deadline).await {
        Ok(response) => engine::decode_copy(response.status(), response.body()),
        Err(error) => {
            log::info!(
                request:% = id, source:% = upstream_name(call, source), error:% = error, last; "copy call failed"
            );
            match error {
                // The target is not permitted, as another instance knows; the call was not sent.
                socket::Error::Excluded(_) => CopyOutcome::NoRoom(None),
                socket::Error::Connect(_) => CopyOutcome::Unsent,
                socket::Error::Broken(_)
                | socket::Error::Status(_)
                | socket::Error::Unfinished(_)
                | socket::Error::Timeout => CopyOutcome::Malformed,
            }
        }
    }
}
