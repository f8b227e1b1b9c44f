//! Reads a request's body, within its limits, and passes the request to a worker.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use carob_wire::{Code, Problem};
use http_body_util::BodyExt as _;
use hyper::{
    Request, Response, Version,
    body::{Body as _, Incoming},
    header::{CONNECTION, HeaderValue},
};
use tokio::{
    sync::{oneshot, watch},
    time::timeout,
};

use super::{
    Handler, Options, Phase,
    exchange::{Exchange, refusal_parts, response},
    outgoing::Body,
    socket::{RequestCounter, RequestGuard},
};
use crate::pool::{Full, Pool};

/// `Retry-After` of requests that are refused because all workers are busy.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What the requests of one connection share.
pub(super) struct Context {
    pub(super) options: Arc<Options>,
    pub(super) pool: Pool,
    pub(super) handler: Handler,
    pub(super) peer: SocketAddr,
    pub(super) counter: RequestCounter,
    pub(super) phase: watch::Receiver<Phase>,
}

/// The worker dropped the request without a response, so the connection is aborted.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the request was dropped without a response")]
pub(super) struct Dropped;

/// Serves one request.
pub(super) async fn serve(
    context: Arc<Context>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Dropped> {
    let guard = context.counter.begin();
    let (parts, body) = request.into_parts();
    let has_chunks = parts.version >= Version::HTTP_11;
    let body = match read_body(body, &context.options).await {
        Ok(body) => body,
        Err(refusal) => return Ok(close_after(refuse(&refusal, guard))),
    };
    let (reply, outcome) = oneshot::channel();
    let options = Arc::clone(&context.options);
    let exchange = Exchange::new(&parts, body, context.peer, reply, guard, options);
    let handler = Arc::clone(&context.handler);
    let response = match context.pool.submit(Box::new(move || handler(exchange))) {
        Ok(()) => outcome.await.map_err(|_closed| Dropped)?,
        Err(Full) => refuse(&busy(), context.counter.begin()),
    };
    if !has_chunks && response.body().size_hint().exact().is_none() {
        context.counter.set_unframed();
    }
    if *context.phase.borrow() >= Phase::NoKeepAlive {
        return Ok(close_after(response));
    }
    Ok(response)
}

/// Reads the body. Returns the refusal if it is malformed, too large or too slow.
async fn read_body(body: Incoming, options: &Options) -> Result<Bytes, Problem> {
    if body.size_hint().lower() > options.body_limit as u64 {
        return Err(too_large(options));
    }
    timeout(options.body_timeout, collect(body, options))
        .await
        .unwrap_or_else(|_elapsed| {
            let detail = format!("the body took longer than {:?}", options.body_timeout);
            Err(Problem::not_run(Code::RequestTimeout, detail))
        })
}

async fn collect(mut body: Incoming, options: &Options) -> Result<Bytes, Problem> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame
            .map_err(|error| Problem::not_run(Code::BadRequest, format!("the body is malformed: {error}")))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if collected.len() + data.len() > options.body_limit {
            return Err(too_large(options));
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}

fn too_large(options: &Options) -> Problem {
    let detail = format!("the body exceeds {} bytes", options.body_limit);
    Problem::not_run(Code::BodyTooLarge, detail)
}

fn busy() -> Problem {
    Problem::not_run(Code::Overloaded, "too many requests are in progress").with_retry_after(RETRY_AFTER)
}

fn refuse(refusal: &Problem, guard: RequestGuard) -> Response<Body> {
    let (headers, body) = refusal_parts(refusal);
    response(refusal.status, &headers, Body::complete(body, guard))
}

/// Has the connection closed after `response`.
fn close_after(mut response: Response<Body>) -> Response<Body> {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
