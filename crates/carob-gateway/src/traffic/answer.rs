//! Responses to clients: their bodies, and the answers of the gateway itself.

use std::{
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use carob_platform::answer;
use hyper::{
    Response, StatusCode,
    body::{Body, Frame, SizeHint},
};
use tokio::sync::Notify;

use super::{
    queue::{MAX_PIECE, QueueReceiver},
    waiting::{Cut, Held, Unsent},
};

/// The response is incomplete; the connection is closed without the end of the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer was cut off")]
pub(super) struct Truncated;

/// The body of a response.
pub(super) struct ResponseBody {
    content: Content,
    /// Bytes on the client's connection that are not sent yet.
    unsent: Option<Rc<Unsent>>,
}

/// Where the bytes of a body come from.
enum Content {
    /// A body that is completely in memory; a long one counts as held until all of it is sent.
    Complete(Bytes, Option<Held>),
    /// A body that is passed on as it arrives.
    Chunks(QueueReceiver),
}

impl ResponseBody {
    /// A body that is completely in memory.
    pub(super) const fn complete(bytes: Bytes, held: Option<Held>) -> Self {
        Self {
            content: Content::Complete(bytes, held),
            unsent: None,
        }
    }

    /// A body that is passed on as it arrives.
    pub(super) const fn chunks(queue: QueueReceiver) -> Self {
        Self {
            content: Content::Chunks(queue),
            unsent: None,
        }
    }

    /// Whether the length of the body is not known.
    pub(super) const fn is_chunked(&self) -> bool {
        matches!(self.content, Content::Chunks(_))
    }

    /// Sends the body on a connection with the bytes `unsent`, which `cut` closes if the client does not read.
    pub(super) fn attach(&mut self, unsent: &Rc<Unsent>, cut: &Rc<Notify>) {
        // Bytes of an earlier answer that was not sent as it is stay counted otherwise.
        unsent.clear();
        self.unsent = Some(Rc::clone(unsent));
        if let Some(answer) = self.cut() {
            answer.attach(cut);
        }
    }

    /// Tells when the answer is cut off, if it may be.
    fn cut(&self) -> Option<&Cut> {
        match &self.content {
            Content::Complete(_, held) => held.as_ref().map(|held| &*held.cut),
            Content::Chunks(queue) => Some(queue.cut()),
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let Self { content, unsent } = self.get_mut();
        if unsent.as_ref().is_some_and(|unsent| !unsent.poll_room(cx)) {
            return Poll::Pending;
        }
        let polled = match content {
            Content::Complete(bytes, _) if bytes.is_empty() => Poll::Ready(None),
            Content::Complete(bytes, held) => {
                let piece = bytes.split_to(bytes.len().min(MAX_PIECE));
                if let Some(held) = held {
                    // The memory is released when the last piece is sent.
                    held.take(0);
                }
                Poll::Ready(Some(Ok(piece)))
            }
            Content::Chunks(queue) => queue.poll_piece(cx),
        };
        if let (Some(unsent), Poll::Ready(Some(Ok(piece)))) = (unsent, &polled) {
            unsent.add(piece.len());
        }
        polled.map(|piece| piece.map(|piece| piece.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.content, Content::Complete(bytes, _) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Complete(bytes, _) => SizeHint::with_exact(bytes.len() as u64),
            Content::Chunks(_) => SizeHint::default(),
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
        answer::local_answer(self.status(), id, after).map(|()| ResponseBody::complete(body, None))
    }
}
