//! Answers to callers: bodies, and the gateway's own refusals.

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

/// The answer was cut off; the connection ends without the body's end.
#[derive(Debug, thiserror::Error)]
#[error("the answer was cut off")]
pub(super) struct Cut;

/// The body of an answer.
pub(super) enum Answer {
    /// All of it.
    Whole(Bytes),
    /// Pieces as they come.
    Pieces(mpsc::Receiver<Result<Bytes, Cut>>),
}

impl Body for Answer {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Self::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Pieces(pieces) => pieces
                .poll_recv(cx)
                .map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}

carob_base::plain! {
    /// An answer of the gateway's own.
    pub(super) enum Own {
        /// The request has not run and never will; worth another try after this time.
        Refused(Duration),
        /// Nothing is known of the request (502).
        Unclear,
        /// The route's time is over, and nothing is known of the request (504).
        Late,
        /// The configuration does not permit the request, or it is malformed.
        Denied(u16),
    }
}

impl Own {
    /// The status that says so.
    pub(super) fn status(self) -> StatusCode {
        match self {
            Self::Refused(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unclear => StatusCode::BAD_GATEWAY,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
            Self::Denied(status) => StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST),
        }
    }

    /// The answer to the request with the id `id`.
    pub(super) fn response(self, id: &[u8]) -> Response<Answer> {
        let after = match self {
            Self::Refused(after) => Some(after),
            _ => None,
        };
        answer::own(self.status(), id, after).map(|()| Answer::Whole(Bytes::new()))
    }
}
