//! What to do after an attempt at an upstream.

use crate::table::RouteKind;

carob_base::plain! {
    /// How one attempt at an upstream ended without a usable answer.
    pub enum AttemptResult {
        /// No connection was established; the request was not sent, so it cannot have run.
        Unsent,
        /// The upstream answered that it did not run the request.
        Rejected,
        /// The upstream ran the request, and it failed.
        Failed,
        /// The request was sent and its outcome is unknown: the connection was reset or closed, no answer
        /// came in time, or the bytes received were not a valid answer.
        Unknown,
    }

    /// What to do after an attempt.
    pub enum NextAction {
        /// Send the request to another upstream, if the retry budget permits it.
        Retry,
        /// Answer that the request has not run.
        Refuse,
        /// Forward the upstream's failure to the client.
        ForwardFailure,
        /// Answer that it is unknown whether the request has run.
        OutcomeUnknown,
    }
}

impl AttemptResult {
    /// Whether the upstream may have got the request, so that sending it again makes a repeat.
    pub const fn may_have_arrived(self) -> bool {
        !matches!(self, Self::Unsent)
    }
}

/// Maximum number of attempts that were rejected or found no connection before a request is refused.
///
/// Each one costs a round trip; more of them would multiply the load while all upstreams are overloaded.
pub const MAX_REJECTIONS: u32 = 3;

/// Decides what to do after `attempt` of a request on a route of `kind`.
///
/// `ran` counts the attempts that may have run, this one included; `rejected` counts those that certainly
/// have not. `attempts` is the maximum number of upstreams that may run the request.
pub const fn next_action(
    kind: RouteKind,
    attempt: AttemptResult,
    ran: u32,
    rejected: u32,
    attempts: u32,
) -> NextAction {
    let repeatable = kind.is_idempotent() && ran < attempts;
    match attempt {
        AttemptResult::Unsent | AttemptResult::Rejected if rejected <= MAX_REJECTIONS => NextAction::Retry,
        AttemptResult::Unsent | AttemptResult::Rejected if ran == 0 => NextAction::Refuse,
        AttemptResult::Failed | AttemptResult::Unknown if repeatable => NextAction::Retry,
        AttemptResult::Failed => NextAction::ForwardFailure,
        AttemptResult::Unsent | AttemptResult::Rejected | AttemptResult::Unknown => {
            NextAction::OutcomeUnknown
        }
    }
}
