//! Cancellation that is repeated until it is certain.
//!
//! A generation that nobody waits for would fill the engine's memory.

use std::time::Duration;

use carob_base::Time;

use crate::Generation;

/// First delay between two tries; doubled after every try.
const DELAY: Duration = Duration::from_millis(200);
/// Longest delay between two tries.
const DELAY_LIMIT: Duration = Duration::from_secs(10);
/// How long one try may take before it counts as failed.
const TRY_LIMIT: Duration = Duration::from_secs(2);
/// How long a cancellation is tried; the longest generation has ended by then.
const LIFETIME: Duration = Duration::from_mins(30);

carob_base::plain! {
    /// Result of `POST /v1/responses/{id}/cancel`.
    pub enum Outcome {
        /// The engine confirmed; it answered with this incarnation, 0 if it does not say.
        Confirmed {
            /// Incarnation of the engine that answered.
            incarnation: u64,
        },
        /// The engine does not know the answer (HTTP 404 or 410).
        NotFound,
        /// No answer, or another error.
        Failed,
    }
}

/// The duty to cancel one generation.
#[derive(Debug)]
pub struct Cancellation {
    generation: Generation,
    due: Time,
    until: Time,
    delay: Duration,
    over: bool,
}

impl Cancellation {
    /// A duty whose first try is due at once.
    pub fn new(generation: Generation, now: Time) -> Self {
        Self {
            generation,
            due: now,
            until: now + LIFETIME,
            delay: DELAY,
            over: false,
        }
    }

    /// The engine's id of the answer, if a try is due. The driver sends it and reports with
    /// [`on_outcome`](Self::on_outcome); without a report the next try comes by itself.
    pub fn poll(&mut self, now: Time) -> Option<&str> {
        if now >= self.until {
            self.over = true;
        }
        if self.over || now < self.due {
            return None;
        }
        self.due = now + TRY_LIMIT.max(self.delay);
        self.generation.answer_id.as_deref()
    }

    /// Takes in the result of a try.
    pub fn on_outcome(&mut self, outcome: Outcome, now: Time) {
        match outcome {
            // An answer by any incarnation will do: either the generation is cancelled or its process is gone.
            Outcome::Confirmed { .. } | Outcome::NotFound => self.over = true,
            Outcome::Failed => {
                self.due = now + self.delay;
                self.delay = (self.delay * 2).min(DELAY_LIMIT);
            }
        }
    }

    /// The upstream was seen with this incarnation: if it is another one, the generation died with its process.
    pub fn on_incarnation(&mut self, incarnation: u64) {
        if self.generation.incarnation.is_some_and(|own| own != incarnation) {
            self.over = true;
        }
    }

    /// When [`poll`](Self::poll) has to be called at the latest.
    pub const fn deadline(&self) -> Time {
        if self.over { Time::NEVER } else { self.due }
    }

    /// Whether the generation is cancelled, gone, or past any possible length.
    pub const fn is_over(&self) -> bool {
        self.over
    }
}
