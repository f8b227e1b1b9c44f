//! Moves a running generation away from an upstream that leaves.

use std::{cell::RefCell, fmt, net::SocketAddr, rc::Rc, time::Duration};

use carob_base::Time;
use carob_dispatch::{
    fleet::{RequestSize, UpstreamKey},
    migration::{
        CATCH_UP_CUTOFF, CAUGHT_UP_THRESHOLD, COPY_CUTOFF, COPY_TIMEOUT, MAX_RETRIES, MAX_TARGETS,
        RETRY_DELAY, SHORT_REMAINING,
    },
};
use carob_platform::{
    engine::{self, Copy},
    request::Resume,
};
use smallvec::SmallVec;
use tokio::time::Instant;

use super::{
    call::Call,
    exchange::name,
    guard::Run,
    resume::{self, Opened},
};
use crate::socket;

/// Time for giving up a copy that is not used.
const RELEASE: Duration = Duration::from_secs(1);

/// How far a move and the stream of its generation have come; the two share it.
#[derive(Default)]
pub(super) struct Progress {
    /// The place at the other upstream, and the handle of the copy there.
    pub(super) copy: Option<(Run, String)>,
    /// Whether the other upstream was asked to continue.
    pub(super) switching: bool,
    /// Id of the last event that the client got.
    pub(super) event: Option<u64>,
}

/// How a move ended.
pub(super) enum Moved {
    /// The generation runs at the other upstream.
    Continued(Box<Opened>),
    /// The source runs no such generation.
    NotRunning,
    /// It has not moved.
    Failed(&'static str),
}

impl fmt::Display for Moved {
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
    address: SocketAddr,
    /// When it was known to leave.
    left: Time,
}

/// Moves the generation of `call` away from `from`; `progress` shows how far it has come. It holds `tokens` and is
/// expected to go on for `remaining`.
pub(super) async fn run(
    call: Rc<Call>,
    from: UpstreamKey,
    progress: Rc<RefCell<Progress>>,
    tokens: u64,
    remaining: Duration,
) -> Moved {
    let shared = &call.shared;
    let source = match shared.fleet().upstream(from) {
        Some(found) => Source {
            key: from,
            address: found.entry.address,
            left: found.leaving_since.unwrap_or_else(|| shared.now()),
        },
        None => return Moved::Failed("the upstream is forgotten"),
    };
    if remaining < SHORT_REMAINING {
        tokio::time::sleep(SHORT_REMAINING).await;
    }
    let copied = match copy_ahead(&call, source, tokens).await {
        Ok(copied) => copied,
        Err(moved) => return moved,
    };
    let target = copied.0.upstream;
    // It is used if the source ends from now on.
    progress.borrow_mut().copy = Some(copied);
    catch_up(&call, source, target, &progress).await;
    switch(&call, source, &progress).await
}

/// Lets the upstream that has the copy go on, while the source still does.
async fn switch(call: &Rc<Call>, source: Source, progress: &RefCell<Progress>) -> Moved {
    let copied = progress.borrow_mut().copy.take();
    let Some((place, handle)) = copied else {
        return Moved::Failed("the copy was used already");
    };
    let memory = Resume {
        engine: source.address,
        handle,
        event: progress.borrow().event,
    };
    let target = place.upstream;
    progress.borrow_mut().switching = true;
    let outcome = match resume::at(call, place, &memory).await {
        Ok(opened) => opened.begun().await,
        Err(failure) => Err(failure),
    };
    progress.borrow_mut().switching = false;
    match outcome {
        Ok(opened) => {
            tokio::task::spawn_local(stop(Rc::clone(call), source.address, target));
            Moved::Continued(Box::new(opened))
        }
        Err(failure) => {
            progress.borrow_mut().copy = Some((failure.place, memory.handle));
            Moved::Failed("the other upstream does not continue")
        }
    }
}

/// Copies what the generation has made during the copy before, until that is little.
async fn catch_up(call: &Call, source: Source, target: UpstreamKey, progress: &RefCell<Progress>) {
    while call.shared.now().since(source.left) < CATCH_UP_CUTOFF {
        let begun = Instant::now();
        let Copy::Done(copied) = copy(call, source.address, target, false).await else {
            return;
        };
        if let Some((_, handle)) = &mut progress.borrow_mut().copy {
            *handle = copied.handle;
        }
        if begun.elapsed() < CAUGHT_UP_THRESHOLD {
            return;
        }
    }
}

/// Stops the generation at `source`, now that it runs at `target`.
///
/// Most upstreams drop a request when its connection closes, but not all do. A final copy stops it for certain; what
/// it copies is not needed.
async fn stop(call: Rc<Call>, source: SocketAddr, target: UpstreamKey) {
    let handle = match copy(&call, source, target, true).await {
        Copy::Done(copied) => copied.handle,
        Copy::NoRoom(Some(handle)) => handle,
        // It has been dropped, or the source has gone.
        Copy::NoRun | Copy::NoRoom(None) | Copy::Busy | Copy::Malformed => return,
    };
    log::info!(request:% = call.id(), source:% = source; "the source still ran the generation and was stopped");
    release(source, &handle).await;
}

/// Gives up a copy that is not needed, so that it does not hold memory.
pub(super) async fn release(source: SocketAddr, handle: &str) {
    let released = socket::call(source, engine::release(handle), Instant::now() + RELEASE).await;
    if let Err(error) = released {
        log::info!(source:% = source, error:% = error; "an unused copy was not given up");
    }
}

/// Copies the memory while the generation goes on, to the first target with room. Returns the place there and the
/// copy's handle, or how the move ended.
async fn copy_ahead(call: &Rc<Call>, source: Source, tokens: u64) -> Result<(Run, String), Moved> {
    let shared = &call.shared;
    let mut except: SmallVec<[UpstreamKey; 4]> = SmallVec::new();
    loop {
        let need = call.need(RequestSize { tokens, prefill: 0 }, &except);
        let target = shared.fleet().migration_target(source.key, &need, rand::random());
        let Some(target) = target.filter(|_| except.len() < MAX_TARGETS) else {
            if shared.now().since(source.left) >= COPY_CUTOFF {
                return Err(Moved::Failed("no upstream has room for the copy"));
            }
            // Requests that end elsewhere make room.
            except.clear();
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        except.push(target);
        let place = Run::new(shared, target, need.size);
        let begun = Instant::now();
        let outcome = copy(call, source.address, target, false).await;
        log_copy(call, source, target, &outcome, begun);
        match outcome {
            Copy::Done(copied) => return Ok((place, copied.handle)),
            Copy::NoRoom(_) => {}
            Copy::NoRun => return Err(Moved::NotRunning),
            Copy::Busy | Copy::Malformed => return Err(Moved::Failed("the source does not copy")),
        }
    }
}

fn log_copy(call: &Call, source: Source, target: UpstreamKey, outcome: &Copy, begun: Instant) {
    let fleet = call.shared.fleet();
    let Some(found) = fleet.upstream(target) else {
        return;
    };
    log::info!(
        request:% = call.id(), from:% = name(call, source.key), to:% = found.entry.id,
        target_tokens = found.expected_tokens(), target_requests = found.total_requests(),
        near = fleet.same_domain(source.key, target), outcome:% = outcome,
        took_ms = begun.elapsed().as_millis() as u64,
        notice_ms = call.shared.now().since(source.left).as_millis() as u64; "memory copied ahead of a move"
    );
}

/// Asks the source to copy, again while it says that another call is under way or that nothing runs yet.
async fn copy(call: &Call, source: SocketAddr, target: UpstreamKey, last: bool) -> Copy {
    let address = call
        .shared
        .fleet()
        .upstream(target)
        .map(|found| found.entry.address);
    let Some(address) = address else {
        return Copy::Malformed;
    };
    let id = call.id().into_owned();
    for _ in 0..MAX_RETRIES {
        let deadline = Instant::now() + COPY_TIMEOUT;
        let answer = match socket::call(source, engine::copy(&id, address, last), deadline).await {
            Ok((status, body)) => engine::copied(status, &body),
            Err(error) => {
                log::info!(request:% = id, source:% = source, error:% = error, last; "copy call failed");
                return Copy::Malformed;
            }
        };
        match answer {
            Copy::Busy => {}
            Copy::NoRun if !last => {}
            other => return other,
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    Copy::NoRun
}
