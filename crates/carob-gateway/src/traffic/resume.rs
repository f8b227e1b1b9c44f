//! Continues a generation at another upstream, from the copy of its memory there.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use carob_dispatch::{budget::Reason, fleet::UpstreamHealth, migration::OVERLAP};
use carob_platform::{answer::AnswerKind, request::Resume};
use http_body_util::BodyExt;
use hyper::Response;
use tokio::time::{Instant, timeout};

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

/// Time limit for the response head of an upstream that is to continue a generation which runs nowhere else.
pub(super) const RESUME_TIMEOUT: Duration = Duration::from_secs(3);

/// The same while the source continues the generation: both may work on it for 0.4 s at most, the way there and back
/// included, and heads take 0.1 s.
pub(super) const MOVE_TIMEOUT: Duration = Duration::from_millis(180);

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
    /// Waits for the first bytes, for at most [`OVERLAP`]. The source continues meanwhile, so that the client
    /// sees no pause.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if the stream breaks off, or ends without bytes and without a mark of its end: the
    /// source may still have something to send.
    pub(super) async fn await_first_bytes(mut self) -> Result<Self, Failure> {
        let reason = match timeout(OVERLAP, self.response.body_mut().frame()).await {
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
        })
    }
}

/// Why a generation does not continue at an upstream.
pub(super) struct Failure {
    /// The reservation there, so that it may be used for another try.
    pub(super) reservation: Reservation,
    pub(super) reason: String,
}

/// Sends the request to the upstream of `reservation`, to continue the generation from a copy of its memory, and waits for
/// the head of the answer for `limit`.
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
        let reason = verdict::CRASHES.to_owned();
        return Err(Failure { reservation, reason });
    }
    let Some(repeat) = Repeat::reserve(call, cause) else {
        let reason = BUDGET_SPENT.to_owned();
        return Err(Failure { reservation, reason });
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
            let reason = error.to_string();
            return Err(Failure { reservation, reason });
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
        let reason = format!("{target} answered {status}");
        return Err(Failure { reservation, reason });
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
        socket::Error::Connect(_) => UpstreamHealth::Unreachable,
        socket::Error::Broken(_) | socket::Error::Unfinished(_) | socket::Error::Timeout => {
            UpstreamHealth::Failing
        }
    };
    let shared = &call.shared;
    shared
        .fleet_mut()
        .record_attempt(reservation.upstream, health, shared.now());
}
