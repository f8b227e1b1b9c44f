//! Problems reported to the caller when an answer cannot be delivered.

use std::time::Duration;

use carob_wire::{Code, Execution, Problem};

use crate::Cause;

/// `Retry-After` for a request that no upstream accepted.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// The problem for a caller that has received part of the answer.
pub fn after_delivery() -> Problem {
    let detail = "the upstream that generated this answer is gone and the rest of the answer is lost";
    Problem::new(Code::AnswerLost, Execution::Unknown, detail)
}

/// The problem for a caller that has received nothing; `maybe_started` if any upstream may have started the
/// request.
pub fn before_delivery(cause: Option<Cause>, maybe_started: bool) -> Problem {
    match cause {
        Some(Cause::Rejected { status }) if (400..500).contains(&status) => {
            let detail = format!("the upstream refused the request with status {status}");
            Problem::not_run(Code::BadRequest, detail)
        }
        _ if maybe_started => {
            let detail =
                "the upstreams that took the request failed before any of the answer could be delivered";
            Problem::new(Code::UpstreamFailed, Execution::Unknown, detail)
        }
        Some(Cause::Busy) => {
            Problem::not_run(Code::Overloaded, "no upstream took the request").with_retry_after(RETRY_AFTER)
        }
        _ => Problem::not_run(Code::NoUpstream, "no upstream could be reached").with_retry_after(RETRY_AFTER),
    }
}
