//! Why a request cannot be served, before it becomes a [`Refusal`].

use std::time::Duration;

use crate::submit::{Cause, Refusal};

/// Shortest advice to come back.
const SHORTEST_RETRY: Duration = Duration::from_secs(1);
/// Longest advice to come back.
const LONGEST_RETRY: Duration = Duration::from_mins(1);
/// Advice to come back without an estimate.
const PLAIN_RETRY: Duration = Duration::from_secs(2);

/// Why a request cannot be served, and when to try again.
#[derive(Clone, Copy, Debug)]
pub struct Denial {
    cause: Cause,
    retry_after: Duration,
}

impl Denial {
    /// A denial with the advice that goes with its cause.
    pub fn new(cause: Cause) -> Self {
        let lasting = matches!(
            cause,
            Cause::UnknownService | Cause::UnknownAccount | Cause::TooLong
        );
        let retry_after = if lasting { LONGEST_RETRY } else { PLAIN_RETRY };
        Self { cause, retry_after }
    }

    /// Sets the advice, within its bounds.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = wait.clamp(SHORTEST_RETRY, LONGEST_RETRY);
        self
    }

    /// The refusal of the request `id`.
    pub fn into_refusal(self, id: u64) -> Refusal {
        Refusal {
            id,
            cause: self.cause,
            retry_after: self.retry_after,
        }
    }
}
