//! Recorded outcomes.

use bytes::Bytes;

carob_base::value! {
    /// The upstream's answer to a call, by which repeats are answered.
    pub struct Outcome {
        /// HTTP status.
        pub status: u16,
        /// Value of `Content-Type`.
        pub media: String,
        /// The body; `None` if it was too large to be kept.
        pub body: Option<Bytes>,
    }
}

impl Outcome {
    /// An outcome with its whole body.
    pub fn new(status: u16, media: impl Into<String>, body: Bytes) -> Self {
        Self {
            status,
            media: media.into(),
            body: Some(body),
        }
    }

    /// The outcome without a body of more than `limit` bytes.
    #[must_use]
    pub fn with_body_limit(mut self, limit: usize) -> Self {
        self.body = self.body.filter(|body| body.len() <= limit);
        self
    }
}
