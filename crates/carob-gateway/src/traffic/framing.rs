//! What marks the end of an upstream's answer.

use hyper::{
    Response, StatusCode,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};

/// What marks the end of an upstream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// Its length, stated in the head or implied by the status.
    Length,
    /// The last chunk.
    Chunks,
    /// The end of the connection, which looks the same if the upstream has crashed.
    Connection,
}

impl Framing {
    /// Returns the framing of an answer.
    pub(super) fn of<B>(response: &Response<B>) -> Self {
        if matches!(
            response.status(),
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        ) {
            return Self::Length;
        }
        let headers = response.headers();
        let Some(encoding) = headers.get_all(TRANSFER_ENCODING).iter().next_back() else {
            let has_length = headers.contains_key(CONTENT_LENGTH);
            return if has_length {
                Self::Length
            } else {
                Self::Connection
            };
        };
        // Only chunks as the last coding mark the end.
        let last = encoding.as_bytes().rsplit(|byte| *byte == b',').next();
        if last.is_some_and(|coding| coding.trim_ascii().eq_ignore_ascii_case(b"chunked")) {
            Self::Chunks
        } else {
            Self::Connection
        }
    }

    /// Whether an answer that ends without an error is certainly complete.
    pub(super) const fn is_explicit(self) -> bool {
        !matches!(self, Self::Connection)
    }

    /// Name in log lines and metrics.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}

/// Counts an answer of an upstream by what was to mark its end, and by whether it `is_complete`.
pub(super) fn count_answer(framing: Framing, is_complete: bool) {
    let end = if is_complete { "complete" } else { "broken" };
    metrics::counter!("carobhaven_upstream_answers_total", "framing" => framing.name(), "end" => end)
        .increment(1);
}
