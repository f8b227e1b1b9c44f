//! Continues a generation at another upstream from the copy of its memory there.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use carob_dispatch::{fleet::UpstreamHealth, migration::OVERLAP};
use carob_platform::{
    answer::{self, Claim},
    request::Resume,
};
use http_body_util::BodyExt;
use hyper::{Response, body::Incoming};
use tokio::time::{Instant, timeout};

use super::{call::Call, exchange::name, guard::Run};
use crate::socket::{self, Driver};

/// How long the answer of an upstream that continues a generation is waited for.
const CONTINUE: Duration = Duration::from_secs(3);

/// A generation that runs at an upstream, with the head of its stream.
pub(super) struct Opened {
    /// Its place.
    pub(super) run: Run,
    /// The stream.
    pub(super) response: Response<Incoming>,
    /// Keeps the connection open.
    pub(super) driver: Driver,
    /// Bytes of the stream that were read already.
    pub(super) early: Option<Bytes>,
}

impl Opened {
    /// Waits for the first bytes while the source goes on, so that the client sees no pause.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream breaks off.
    pub(super) async fn begun(mut self) -> Result<Self, Failure> {
        match timeout(OVERLAP, self.response.body_mut().frame()).await {
            Ok(Some(Ok(frame))) => self.early = frame.into_data().ok(),
            Ok(Some(Err(error))) => {
                return Err(Failure {
                    place: self.run,
                    reason: error.to_string(),
                });
            }
            // The stream has ended, or begins later.
            Ok(None) | Err(_) => {}
        }
        Ok(self)
    }
}

/// Why a generation does not continue.
pub(super) struct Failure {
    /// The place that it had there.
    pub(super) place: Run,
    /// The reason.
    pub(super) reason: String,
}

/// Sends the request to the upstream of `place`, to continue from `memory`.
pub(super) async fn at(call: &Rc<Call>, place: Run, memory: &Resume) -> Result<Opened, Failure> {
    let begun = Instant::now();
    let deadline = call.until.min(begun + CONTINUE);
    let target = name(call, place.upstream);
    let (response, driver) = match call.send(&place, Some(memory), deadline).await {
        Ok(answered) => answered,
        Err(error) => {
            log::warn!(
                request:% = call.id(), to:% = target, error:% = error; "generation could not continue elsewhere"
            );
            blame(call, &place, &error);
            let reason = error.to_string();
            return Err(Failure { place, reason });
        }
    };
    let status = response.status();
    let claim = answer::claim(status, response.headers(), &call.head.id);
    if claim != Claim::Ran || !status.is_success() {
        log::warn!(
            request:% = call.id(), to:% = target, status = status.as_u16(), claim:? = claim;
            "generation could not continue elsewhere"
        );
        let reason = format!("{target} answered {status}");
        return Err(Failure { place, reason });
    }
    log::info!(
        request:% = call.id(), to:% = target, event = memory.event.unwrap_or(0),
        took_ms = begun.elapsed().as_millis() as u64; "generation continues elsewhere"
    );
    Ok(Opened {
        run: place,
        response,
        driver,
        early: None,
    })
}

fn blame(call: &Call, place: &Run, error: &socket::Error) {
    let quality = match error {
        socket::Error::Connect(_) => UpstreamHealth::Unreachable,
        socket::Error::Broken(_) | socket::Error::Timeout => UpstreamHealth::Failing,
    };
    let shared = &call.shared;
    shared
        .fleet_mut()
        .record_attempt(place.upstream, quality, shared.now());
}
