//! Moves a running generation away from an upstream that leaves.

use std::{cell::RefCell, fmt, net::SocketAddr, rc::Rc, time::Duration};

use carob_base::Time;
use carob_dispatch::{
    fleet::{Size, UpstreamKey},
    migration::{COPY_LATEST, COPY_TIMEOUT, ENDS_SOON, RETRIES, RETRY_PAUSE, TARGETS, finale},
};
use carob_platform::engine::{self, Copy};
use smallvec::SmallVec;
use tokio::time::Instant;

use super::{call::Call, exchange::name, guard::Run};
use crate::socket;

/// How far a move has come; read by whoever passes events on when the source breaks off meanwhile.
#[derive(Default)]
pub(super) struct Progress {
    /// The place at the other upstream, and the handle of the copy there.
    pub(super) copy: Option<(Run, String)>,
    /// Whether the source was asked to stop.
    pub(super) stopping: bool,
}

/// How a move ended.
pub(super) enum Moved {
    /// The generation has stopped, and the other upstream has its memory.
    Stopped,
    /// The generation has stopped, but its memory is only at the source, under this handle.
    Stranded(String),
    /// The source runs no such generation.
    NotRunning,
    /// There is no place for it, or the source cannot be asked.
    Failed(&'static str),
}

impl fmt::Display for Moved {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Stopped => "stopped with its memory at the target",
            Self::Stranded(_) => "stopped with its memory at the source",
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
    /// Tokens that the generations of all instances hold there.
    held: u64,
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
            left: found.left.unwrap_or_else(|| shared.now()),
            held: found.expected(),
        },
        None => return Moved::Failed("the upstream is forgotten"),
    };
    if remaining < ENDS_SOON {
        tokio::time::sleep(ENDS_SOON).await;
    }
    let target = match copy_ahead(&call, source, tokens).await {
        Ok((place, handle)) => {
            let target = place.upstream;
            progress.borrow_mut().copy = Some((place, handle));
            target
        }
        Err(moved) => return moved,
    };
    let now = shared.now();
    let due = call
        .engine
        .as_ref()
        .map_or(now, |engine| finale(engine, source.held, source.left, now));
    tokio::time::sleep(due.since(now)).await;
    progress.borrow_mut().stopping = true;
    match copy(&call, source.address, target, true).await {
        Copy::Done(copied) => {
            if let Some((_, handle)) = &mut progress.borrow_mut().copy {
                *handle = copied.handle;
            }
            Moved::Stopped
        }
        Copy::NoRoom(Some(handle)) => Moved::Stranded(handle),
        Copy::NoRun => Moved::NotRunning,
        Copy::NoRoom(None) | Copy::Busy | Copy::Malformed => Moved::Failed("the final copy failed"),
    }
}

/// Copies the memory while the generation goes on, to the first target with room. Returns the place there and the
/// copy's handle, or how the move ended.
async fn copy_ahead(call: &Rc<Call>, source: Source, tokens: u64) -> Result<(Run, String), Moved> {
    let shared = &call.shared;
    let mut except: SmallVec<[UpstreamKey; 4]> = SmallVec::new();
    loop {
        let need = call.need(Size { tokens, unread: 0 }, &except);
        let target = shared.fleet().refuge(source.key, &need, rand::random());
        let Some(target) = target.filter(|_| except.len() < TARGETS) else {
            if shared.now().since(source.left) >= COPY_LATEST {
                return Err(Moved::Failed("no upstream has room for the copy"));
            }
            // Requests that end elsewhere make room.
            except.clear();
            tokio::time::sleep(RETRY_PAUSE).await;
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
        target_tokens = found.expected(), target_requests = found.requests(),
        near = fleet.near(source.key, target), outcome:% = outcome,
        took_ms = begun.elapsed().as_millis() as u64,
        notice_ms = call.shared.now().since(source.left).as_millis() as u64; "memory copied ahead of a move"
    );
}

/// Asks the source to copy, again while it says that another call is under way or that nothing runs yet.
async fn copy(call: &Call, source: SocketAddr, target: UpstreamKey, last: bool) -> Copy {
    let Some(address) = call
        .shared
        .fleet()
        .upstream(target)
        .map(|found| found.entry.address)
    else {
        return Copy::Malformed;
    };
    let id = call.id().into_owned();
    for _ in 0..RETRIES {
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
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    Copy::NoRun
}
