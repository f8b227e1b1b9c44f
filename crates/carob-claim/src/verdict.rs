//! What callers are told.

use std::time::Duration;

use carob_base::Time;
use carob_wire::{Code, Problem, Ran};

use crate::Outcome;

/// When a call that the store could not confirm is worth sending again.
const STORE_RETRY: Duration = Duration::from_secs(2);
/// When the outcome of a call in progress is worth asking for again.
const PROGRESS_RETRY: Duration = Duration::from_secs(5);

carob_base::value! {
    /// What becomes of a ticket.
    pub enum Verdict {
        /// The claim is durable. Ask [`Claims::may_send`](crate::Claims::may_send) just before the first byte.
        Granted {
            /// When the permission to send ends.
            send_by: Time,
        },
        /// An earlier call with the same key ran; this is its outcome. The ticket is over.
        Replay(Outcome),
        /// The call is refused. The ticket is over.
        Refused(Problem),
    }
}

/// The store did not confirm the claim in time, and this call will not be sent.
pub fn store_unavailable() -> Problem {
    let detail = "the key-value service did not confirm the claim on the key; this call was not sent";
    Problem::not_run(Code::StoreUnavailable, detail).with_retry_after(STORE_RETRY)
}

/// The store has no room for further claims of this time.
pub fn no_room() -> Problem {
    let detail = "too many calls with keys of the same time; this call was not sent";
    Problem::not_run(Code::Overloaded, detail).with_retry_after(PROGRESS_RETRY)
}

/// The key came before with another request.
pub fn key_reused() -> Problem {
    let detail = "the idempotency key came before with another request; this one was not sent";
    Problem::not_run(Code::KeyReused, detail)
}

/// A call with the same key has neither ended nor failed.
pub fn in_progress() -> Problem {
    let detail =
        "a call with this idempotency key is in progress; ask again with the same key for its outcome";
    Problem::new(Code::KeyInProgress, Ran::Unknown, detail).with_retry_after(PROGRESS_RETRY)
}

/// A call with the same key was sent and its outcome will never be known.
pub fn outcome_unknown() -> Problem {
    let detail = "a call with this idempotency key may have run and its outcome was lost; check before a new key is used";
    Problem::new(Code::OutcomeLost, Ran::Unknown, detail)
}

/// A call with the same key ran, and its answer was too large to be kept.
pub fn body_lost(status: u16) -> Problem {
    let detail =
        format!("the call with this idempotency key ran with status {status}; its body was not kept");
    Problem::new(Code::OutcomeLost, Ran::Done, detail)
}
