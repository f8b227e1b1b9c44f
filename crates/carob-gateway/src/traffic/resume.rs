//! Continues a generation at another upstream, from the copy of its memory there.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use carob_dispatch::{budget::Reason, fleet::UpstreamHealth};
use carob_platform::{answer::AnswerKind, request::Resume};
use http_body_util::BodyExt;
use hyper::Response;
use tokio::time::{Instant, timeout_at};

use super::{
    call::Call,
    crash,
    exchange::upstream_name,
    framing::Framing,
    guard::Reservation,
    limit,
    repeats::{BUDGET_SPENT, Cause, Repeat},
    verdict,
};
use crate::{
    overhead::ReceivedBody,
    socket::{self, ConnectionTask},
};

/// Time limit for the first bytes of an upstream that is to continue a generation which runs nowhere else.
pub(super) const RESUME_TIMEOUT: Duration = Duration::from_secs(3);

/// The stream of a generation that runs at an upstream.
pub(super) struct OpenStream {
    pub(super) reservation: Reservation,
    /// Head and unread body of the response.
    pub(super) response: Response<ReceivedBody>,
    /// Keeps the connection open.
    pub(super) driver: ConnectionTask,
    /// First bytes of the body, if they were read already.
    pub(super) first_bytes: Option<Bytes>,
}

impl OpenStream {
    /// Waits for the first bytes until `limit`.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if the stream breaks off, or ends without bytes and without a mark of its end: the
    /// upstream before may still have something to send.
    pub(super) async fn await_first_bytes(mut self, limit: Instant) -> Result<Self, Failure> {
        let reason = match timeout_at(limit, self.response.body_mut().frame()).await {
            Ok(Some(Ok(frame))) => {
                self.first_bytes = frame.into_data().ok();
                return Ok(self);
            }
            Ok(Some(Err(error))) => socket::describe(&error),
            Ok(None) if !Framing::of(&self.response).is_explicit() => {
                "the connection ended before any event".to_owned()
            }
            // The stream has ended, or its first bytes come later.
            Ok(None) | Err(_) => return Ok(self),
        };
        Err(Failure {
            reservation: self.reservation,
            reason,
            fate: Fate::Unknown,
        })
    }
}

/// What is known of a generation that was to continue at an upstream and does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    /// It was not sent there, or the upstream has refused it; its copy is not used.
    NotRun,
    /// The upstream ran it and has ended it; its copy is used.
    Ended,
    /// The upstream may run it, now or later, and its copy may be used.
    Unknown,
}

/// Why a generation does not continue at an upstream.
pub(super) struct Failure {
    /// The reservation there, so that it may be used for another try.
    pub(super) reservation: Reservation,
    pub(super) reason: String,
    pub(super) fate: Fate,
}

impl Failure {
    fn not_run(reservation: Reservation, reason: &str) -> Self {
        Self {
            reservation,
            reason: reason.to_owned(),
            fate: Fate::NotRun,
        }
    }
}

/// Whether an upstream left so long ago that it gets no more requests.
fn has_left(call: &Call, reservation: &Reservation) -> bool {
    let shared = &call.shared;
    let fleet = shared.fleet();
    let since = fleet
        .upstream(reservation.upstream)
        .and_then(|found| found.leaving_since);
    since.is_some_and(|since| shared.now().since(since) >= shared.settings().drain)
}

/// Sends the request to the upstream of `reservation`, to continue the generation from a copy of its memory, and waits for
/// the head of the answer for `limit`.
///
/// # Errors
///
/// Returns a [`Failure`] if no stream comes of it. Unless its fate is known, the upstream has to be stopped.
pub(super) async fn resume_at(
    call: &Rc<Call>,
    reservation: Reservation,
    reason: Reason,
    resume: &Resume,
    limit: Duration,
) -> Result<OpenStream, Failure> {
    let started = Instant::now();
    let deadline = call.deadline.min(started + limit);
    let target = upstream_name(call, reservation.upstream);
    let cause = Cause { reason, silent: None };
    if !verdict::may_move(call) {
        return Err(Failure::not_run(reservation, verdict::CRASHES));
    }
    if has_left(call, &reservation) {
        return Err(Failure::not_run(reservation, "the upstream has left"));
    }
    let Some(repeat) = Repeat::reserve(call, cause) else {
        return Err(Failure::not_run(reservation, BUDGET_SPENT));
    };
    let (response, driver) = match call
        .send(&reservation, Some(repeat), Some(resume), deadline)
        .await
    {
        Ok(answered) => answered,
        Err(error) => {
            log::warn!(
                request:% = call.id(), to:% = target, error:% = error; "generation could not continue elsewhere"
            );
            record_failed_attempt(call, &reservation, &error);
            crash::observe_failure(call, reservation.upstream, &error, started);
            return Err(Failure {
                reservation,
                reason: error.to_string(),
                fate: match error {
                    socket::Error::Connect(_) | socket::Error::Excluded(_) => Fate::NotRun,
                    socket::Error::Broken(_)
                    | socket::Error::Status(_)
                    | socket::Error::Unfinished(_)
                    | socket::Error::Timeout => Fate::Unknown,
                },
            });
        }
    };
    let status = response.status();
    let kind = call.classify(reservation.upstream, status, response.headers());
    if kind != AnswerKind::Ran || !status.is_success() {
        limit::record_rejection(call, reservation.upstream, &response, driver.relay());
        log::warn!(
            request:% = call.id(), to:% = target, status = status.as_u16(), claim:? = kind;
            "generation could not continue elsewhere"
        );
        return Err(Failure {
            reservation,
            reason: format!("{target} answered {status}"),
            fate: match kind {
                AnswerKind::NotRun => Fate::NotRun,
                AnswerKind::Ran => Fate::Ended,
                AnswerKind::Foreign => Fate::Unknown,
            },
        });
    }
    log::info!(
        request:% = call.id(), to:% = target, event = resume.last_event.unwrap_or(0),
        took_ms = started.elapsed().as_millis() as u64; "generation continues elsewhere"
    );
    Ok(OpenStream {
        reservation,
        response,
        driver,
        first_bytes: None,
    })
}

fn record_failed_attempt(call: &Call, reservation: &Reservation, error: &socket::Error) {
    let health = match error {
        socket::Error::Excluded(_) => return,
        socket::Error::Connect(_) => UpstreamHealth::Unreachable,
        socket::Error::Broken(_)
        | socket::Error::Status(_)
        | socket::Error::Unfinished(_)
        | socket::Error::Timeout => UpstreamHealth::Failing,
    };
    let shared = &call.shared;
    shared
        .fleet_mut()
        .record_attempt(reservation.upstream, health, shared.now());
}
