//! Responses of plain (non-streaming) services.
//!
//! A short response is read completely before its head is passed on, so that the request can still be retried
//! or answered with an error status if the response breaks off. A long one is passed on as it arrives, and so is
//! one of medium length while bodies hold much of their memory.

use std::{rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use carob_dispatch::fleet::{UpstreamHealth, UpstreamKey};
use carob_platform::answer;
use http_body_util::BodyExt;
use hyper::Response;
use tokio::time::{Instant, timeout_at};

use super::{
    answer::ResponseBody,
    body::HeldBytes,
    call::Call,
    crash,
    exchange::upstream_name,
    framing::{self, Framing},
    queue::{self, Closed, QueueReceiver},
    waiting::Held,
};
use crate::{
    memory::Kind,
    overhead::ReceivedBody,
    socket::{ConnectionTask, Error, describe},
};

/// A response body longer than this many bytes is passed on as it arrives.
const MAX_BUFFERED: usize = 256 << 10;

/// A response body of at most this many bytes is read completely also if bodies hold much memory.
const MIN_COUNTED: usize = 16 << 10;

/// Pause of a client's reads after which its upstream may cut off the response; they do so after some seconds.
pub(super) const UPSTREAM_PATIENCE: Duration = Duration::from_secs(1);

/// Reads a response until `deadline`: completely if it is short, else its first part.
pub(super) async fn collect(
    call: &Rc<Call>,
    upstream: UpstreamKey,
    response: Response<ReceivedBody>,
    driver: ConnectionTask,
    deadline: Instant,
) -> Result<Response<ResponseBody>, Error> {
    let framing = Framing::of(&response);
    let (mut parts, mut body) = response.into_parts();
    answer::strip_hop_headers(&mut parts.headers);
    let mut bytes = BytesMut::new();
    let mut held = HeldBytes::new(&call.shared);
    let mut waiting = None;
    loop {
        match next_data(&mut body, deadline).await {
            Err(error) => {
                framing::count_answer(framing, false);
                return Err(error);
            }
            Ok(Some(data)) => {
                held.add(data.len());
                bytes.extend_from_slice(&data);
            }
            Ok(None) => {
                framing::count_answer(framing, true);
                return Ok(Response::from_parts(parts, complete(bytes.freeze(), waiting)));
            }
        }
        let is_short_of_room = bytes.len() > MIN_COUNTED && {
            let waiting = waiting.get_or_insert_with(|| Held::new(call, Kind::Whole));
            waiting.set_partial(bytes.len());
            !call.shared.has_answer_room() || !waiting.may_collect()
        };
        if bytes.len() > MAX_BUFFERED || is_short_of_room {
            drop(waiting);
            let rest = Rest {
                first: bytes.freeze(),
                body,
                framing,
                driver,
            };
            let chunks = forward(Rc::clone(call), upstream, rest, deadline);
            return Ok(Response::from_parts(parts, ResponseBody::chunks(chunks)));
        }
    }
}

/// A body that was read completely. A long one counts as `waiting` until its client has taken it.
fn complete(bytes: Bytes, waiting: Option<Held>) -> ResponseBody {
    if let Some(waiting) = &waiting {
        waiting.set_partial(0);
        waiting.add(bytes.len());
    }
    ResponseBody::complete(bytes, waiting)
}

/// Reads the next piece of a body; `None` is its end.
async fn next_data(body: &mut ReceivedBody, deadline: Instant) -> Result<Option<Bytes>, Error> {
    // A piece that is there already is returned before a timeout, so a body that comes faster than its
    // client reads would never time out.
    if Instant::now() >= deadline {
        return Err(Error::Timeout);
    }
    match timeout_at(deadline, body.frame()).await {
        Ok(Some(Ok(frame))) => Ok(Some(frame.into_data().unwrap_or_default())),
        Ok(Some(Err(error))) => Err(Error::Broken(describe(&error))),
        Ok(None) => Ok(None),
        Err(_elapsed) => Err(Error::Timeout),
    }
}

/// A response body that is passed on as it arrives.
struct Rest {
    /// Its beginning, which was read already.
    first: Bytes,
    body: ReceivedBody,
    framing: Framing,
    driver: ConnectionTask,
}

/// Passes on a response body.
fn forward(call: Rc<Call>, upstream: UpstreamKey, rest: Rest, deadline: Instant) -> QueueReceiver {
    let (sender, receiver) = queue::channel(&call, Kind::Plain);
    tokio::task::spawn_local(async move {
        let Rest {
            first,
            mut body,
            framing,
            driver,
        } = rest;
        let mut chunk = first;
        let mut last_sign = Instant::now();
        let mut passed_on = 0;
        let mut longest_pause = Duration::ZERO;
        let reason = loop {
            passed_on += chunk.len();
            sender.push(chunk);
            let read = Instant::now();
            match timeout_at(deadline, sender.ready()).await {
                Ok(Ok(())) => {}
                Ok(Err(Closed::Gone)) => break "the client has disconnected".to_owned(),
                Ok(Err(Closed::Cut(_))) => break "the client does not read".to_owned(),
                Err(_elapsed) => break "the client did not take the answer in time".to_owned(),
            }
            longest_pause = longest_pause.max(read.elapsed());
            chunk = match next_data(&mut body, deadline).await {
                Ok(Some(data)) => {
                    last_sign = Instant::now();
                    data
                }
                Ok(None) => return framing::count_answer(framing, true),
                Err(error) => {
                    framing::count_answer(framing, false);
                    if longest_pause >= UPSTREAM_PATIENCE {
                        // Says nothing about the upstream.
                        break format!("the client read too slowly for its upstream: {error}");
                    }
                    crash::observe_failure(&call, upstream, &error, last_sign);
                    call.shared.fleet_mut().record_attempt(
                        upstream,
                        UpstreamHealth::Failing,
                        call.shared.now(),
                    );
                    break error.to_string();
                }
            };
        };
        // The client may take long to read what it was sent before.
        drop((driver, body));
        metrics::counter!("carobhaven_answers_cut_total").increment(1);
        log::warn!(
            request:% = call.id(), upstream:% = upstream_name(&call, upstream), reason, bytes = passed_on,
            framing = framing.name(),
            reader_pause_ms = longest_pause.as_millis() as u64, age_ms = call.age_ms(); "long answer cut off"
        );
        sender.fail();
    });
    receiver
}
