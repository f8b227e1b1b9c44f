//! Cancellation, repeated until it is confirmed.
//!
//! A generation that is not cancelled would keep occupying the engine's memory without a caller.

use std::time::Duration;

use carob_base::Time;

use crate::Generation;

/// Delay after the first failed try; doubled after each further failure.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum delay after a failed try.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);
/// How long one try may take before it counts as failed.
const TRY_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a cancellation is retried; even the longest generation has ended by then.
const LIFETIME: Duration = Duration::from_mins(30);

carob_base::plain! {
    /// Result of `POST /v1/responses/{id}/cancel`.
    pub enum Outcome {
        /// The engine confirmed the cancellation.
        Confirmed {
            /// Incarnation in the engine's response header; 0 if absent.
            incarnation: u64,
        },
        /// The engine does not know the answer (HTTP 404 or 410).
        NotFound,
        /// The engine did not answer, or answered with another error.
        Failed,
    }
}

/// Cancellation of one generation.
#[derive(Debug)]
pub struct Cancellation {
    generation: Generation,
    next_try: Time,
    expires_at: Time,
    retry_delay: Duration,
    over: bool,
}

impl Cancellation {
    /// Creates a cancellation whose first try is due immediately.
    pub fn new(generation: Generation, now: Time) -> Self {
        Self {
            generation,
            next_try: now,
            expires_at: now + LIFETIME,
            retry_delay: RETRY_DELAY,
            over: false,
        }
    }

    /// Returns the engine's id of the answer if a try is due. The driver sends the request and reports the
    /// result with [`on_outcome`](Self::on_outcome); without a report the try counts as failed after 2 s, or
    /// after the current retry delay if that is longer.
    pub fn poll(&mut self, now: Time) -> Option<&str> {
        if now >= self.expires_at {
            self.over = true;
        }
        if self.over || now < self.next_try {
            return None;
        }
        self.next_try = now + TRY_TIMEOUT.max(self.retry_delay);
        self.generation.answer_id.as_deref()
    }

    /// The result of a try arrived.
    pub fn on_outcome(&mut self, outcome: Outcome, now: Time) {
        match outcome {
            // A response from any incarnation is enough: either the generation is cancelled or its process
            // has ended.
            Outcome::Confirmed { .. } | Outcome::NotFound => self.over = true,
            Outcome::Failed => {
                self.next_try = now + self.retry_delay;
                self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }

    /// The upstream was seen with this incarnation. If it differs from the generation's, the generation ended
    /// with its process.
    pub fn on_incarnation(&mut self, incarnation: u64) {
        if self.generation.incarnation.is_some_and(|own| own != incarnation) {
            self.over = true;
        }
    }

    /// Latest time at which [`poll`](Self::poll) has to be called.
    pub const fn deadline(&self) -> Time {
        if self.over { Time::NEVER } else { self.next_try }
    }

    /// Whether the generation is cancelled, gone, or older than any generation can be.
    pub const fn is_over(&self) -> bool {
        self.over
    }
}
