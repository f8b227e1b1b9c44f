//! Decisions on calls, and the problems reported to callers.

use std::time::Duration;

use carob_base::Time;
use carob_wire::{Code, Execution, Problem};

use crate::Outcome;

/// `Retry-After` for a call whose claim the store did not confirm.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(2);
/// `Retry-After` for a call whose key is in use by a call in progress, or for whose claim there is no room.
const PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(5);

carob_base::value! {
    /// The decision on a call that requested a claim.
    pub enum Verdict {
        /// The claim is durable. [`Claims::may_send`](crate::Claims::may_send) has to be called immediately
        /// before the first byte is sent.
        Granted {
            /// When the permission to send ends.
            send_by: Time,
        },
        /// An earlier call with the same key ran; this is its outcome. The ticket is no longer valid.
        Replay(Outcome),
        /// The call is refused. The ticket is no longer valid.
        Refused(Problem),
    }
}

/// The store did not confirm the claim in time, and this call will not be sent.
pub fn store_unavailable() -> Problem {
    let detail = "the key-value service did not confirm the claim on the key; this call was not sent";
    Problem::not_run(Code::StoreUnavailable, detail).with_retry_after(STORE_RETRY_AFTER)
}

/// The stored value has no room for further claims with keys of this time.
pub fn no_room() -> Problem {
    let detail = "too many calls with keys of the same time; this call was not sent";
    Problem::not_run(Code::Overloaded, detail).with_retry_after(PROGRESS_RETRY_AFTER)
}

/// The key was used before with another request.
pub fn key_reused() -> Problem {
    let detail = "the idempotency key came before with another request; this one was not sent";
    Problem::not_run(Code::KeyReused, detail)
}

/// A call with the same key is still in progress.
pub fn in_progress() -> Problem {
    let detail =
        "a call with this idempotency key is in progress; ask again with the same key for its outcome";
    Problem::new(Code::KeyInProgress, Execution::Unknown, detail).with_retry_after(PROGRESS_RETRY_AFTER)
}

/// A call with the same key was sent and its outcome will never be known.
pub fn outcome_unknown() -> Problem {
    let detail = "a call with this idempotency key may have run and its outcome was lost; check before a new key is used";
    Problem::new(Code::OutcomeLost, Execution::Unknown, detail)
}

/// A call with the same key ran, and the body of its answer was too large to be kept.
pub fn body_lost(status: u16) -> Problem {
    let detail =
        format!("the call with this idempotency key ran with status {status}; its body was not kept");
    Problem::new(Code::OutcomeLost, Execution::Done, detail)
}
