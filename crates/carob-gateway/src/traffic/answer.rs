//! Responses to clients: their bodies, and the answers of the gateway itself.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use carob_platform::answer;
use hyper::{
    Response, StatusCode,
    body::{Body, Frame, SizeHint},
};
use tokio::sync::mpsc;

/// The response is incomplete; the connection is closed without the end of the body.
#[derive(Debug, thiserror::Error)]
#[error("the answer was cut off")]
pub(super) struct Truncated;

/// The body of a response.
pub(super) enum ResponseBody {
    /// A body that is completely in memory.
    Complete(Bytes),
    /// A body that is passed on as it arrives.
    Chunks(mpsc::Receiver<Result<Bytes, Truncated>>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            Self::Complete(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Complete(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Chunks(chunks) => chunks
                .poll_recv(cx)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Chunks(_) => SizeHint::default(),
        }
    }
}

carob_base::plain! {
    /// An answer that the gateway gives itself instead of an upstream.
    pub(super) enum LocalAnswer {
        /// The request has not run and never will; it may be retried after this time (503).
        Refused(Duration),
        /// It is unknown whether the request has run (502).
        Unclear,
        /// The deadline has passed, and it is unknown whether the request has run (504).
        Late,
        /// The configuration does not permit the request, or it is malformed; holds the status code.
        Denied(u16),
    }
}

impl LocalAnswer {
    pub(super) fn status(self) -> StatusCode {
        match self {
            Self::Refused(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unclear => StatusCode::BAD_GATEWAY,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
            Self::Denied(status) => StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST),
        }
    }

    /// Returns the response to the request with the id `id`. One to a malformed request says in its body what was expected.
    pub(super) fn response(self, id: &[u8], reason: &'static str) -> Response<ResponseBody> {
        let after = match self {
            Self::Refused(after) => Some(after),
            _ => None,
        };
        let body = match self {
            Self::Denied(400) => Bytes::from_static(reason.as_bytes()),
            _ => Bytes::new(),
        };
        answer::local_answer(self.status(), id, after).map(|()| ResponseBody::Complete(body))
    }
}
