//! Reads a request's body under its limits and hands the request to a worker.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use carob_wire::{Code, Problem};
use http_body_util::BodyExt as _;
use hyper::{
    Request, Response,
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
    socket::{Open, OpenGuard},
};
use crate::pool::Pool;

/// When a request that found every worker busy is worth sending again.
const BUSY_RETRY: Duration = Duration::from_secs(1);

/// What serving a request needs.
pub(super) struct Context {
    pub(super) options: Arc<Options>,
    pub(super) pool: Pool,
    pub(super) handler: Handler,
    pub(super) peer: SocketAddr,
    pub(super) open: Open,
    pub(super) phase: watch::Receiver<Phase>,
}

/// The worker gave no response; the connection is aborted.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the request was dropped without a response")]
pub(super) struct Dropped;

/// Serves one request.
pub(super) async fn serve(
    context: Arc<Context>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Dropped> {
    let open = context.open.begin();
    let (parts, body) = request.into_parts();
    let body = match read_body(body, &context.options).await {
        Ok(body) => body,
        Err(refusal) => return Ok(closing(refuse(&refusal, open))),
    };
    let (reply, outcome) = oneshot::channel();
    let options = Arc::clone(&context.options);
    let exchange = Exchange::new(&parts, body, context.peer, reply, open, options);
    let handler = Arc::clone(&context.handler);
    if context.pool.submit(Box::new(move || handler(exchange))).is_err() {
        return Ok(refuse(&busy(), context.open.begin()));
    }
    let response = outcome.await.map_err(|_closed| Dropped)?;
    if *context.phase.borrow() >= Phase::Retiring {
        return Ok(closing(response));
    }
    Ok(response)
}

/// Reads the body, or says why it is refused.
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
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame
            .map_err(|error| Problem::not_run(Code::BadRequest, format!("the body is malformed: {error}")))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if whole.len() + data.len() > options.body_limit {
            return Err(too_large(options));
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}

fn too_large(options: &Options) -> Problem {
    let detail = format!("the body exceeds {} bytes", options.body_limit);
    Problem::not_run(Code::BodyTooLarge, detail)
}

fn busy() -> Problem {
    Problem::not_run(Code::Overloaded, "too many requests are in progress").with_retry_after(BUSY_RETRY)
}

fn refuse(refusal: &Problem, open: OpenGuard) -> Response<Body> {
    let (headers, body) = refusal_parts(refusal);
    response(refusal.status, &headers, Body::whole(body, open))
}

/// Closes the connection after `response`.
fn closing(mut response: Response<Body>) -> Response<Body> {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
