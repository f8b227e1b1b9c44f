//! Internal form of a [`Refusal`], without the request's id.

use std::time::Duration;

use crate::submit::{Cause, Refusal};

/// Shortest advised retry delay.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest advised retry delay; also the default for causes that do not pass with time.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);
/// Advised retry delay if there is no estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Why a request is refused, and when to retry it.
#[derive(Clone, Copy, Debug)]
pub struct Denial {
    cause: Cause,
    retry_after: Duration,
}

impl Denial {
    /// A denial with the default retry delay of its cause.
    pub fn new(cause: Cause) -> Self {
        let permanent = matches!(
            cause,
            Cause::UnknownService | Cause::UnknownAccount | Cause::TooLong
        );
        let retry_after = if permanent {
            MAX_RETRY_AFTER
        } else {
            DEFAULT_RETRY_AFTER
        };
        Self { cause, retry_after }
    }

    /// Sets the advised retry delay, clamped to its bounds.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        self
    }

    /// Turns it into the refusal of request `id`.
    pub fn into_refusal(self, id: u64) -> Refusal {
        Refusal {
            id,
            cause: self.cause,
            retry_after: self.retry_after,
        }
    }
}
