//! What may follow an upstream's answer or silence.

use crate::table::RouteKind;

carob_base::plain! {
    /// How one attempt at an upstream ended.
    pub enum AttemptResult {
        /// The request never left, so it cannot have run: no connection came about.
        Unsent,
        /// The upstream says that it did not run the request.
        Rejected,
        /// The upstream ran the request and failed it.
        Failed,
        /// The request left, and nothing is known of it: reset, cut, silence or bytes that are no answer.
        Unknown,
    }

    /// What to do after an attempt.
    pub enum NextAction {
        /// Send the request to another upstream; draws on the retry budget if `paid`.
        Retry {
            /// Whether the upstream saw the request, so that sending it again is a retry.
            budgeted: bool,
        },
        /// Tell the client that the request has not run.
        Refuse,
        /// Pass on the upstream's failure.
        ForwardFailure,
        /// Tell the client that nothing is known.
        OutcomeUnknown,
    }
}

/// Sends that upstreams rejected, or that no connection came about for, before a request is refused.
///
/// Each costs a round trip; with more, an overload of all upstreams would be multiplied.
pub const MAX_REJECTIONS: u32 = 3;

/// Decides what follows `attempt` of a request of `kind`.
///
/// `ran` counts attempts so far that may have run, this one included; `rejected` those that have not.
/// `attempts` is the most upstreams that may run it.
pub const fn next_action(
    kind: RouteKind,
    attempt: AttemptResult,
    ran: u32,
    rejected: u32,
    attempts: u32,
) -> NextAction {
    let repeatable = matches!(kind, RouteKind::Safe) && ran < attempts;
    match attempt {
        AttemptResult::Unsent if rejected <= MAX_REJECTIONS => NextAction::Retry { budgeted: false },
        AttemptResult::Rejected if rejected <= MAX_REJECTIONS => NextAction::Retry { budgeted: true },
        AttemptResult::Unsent | AttemptResult::Rejected if ran == 0 => NextAction::Refuse,
        AttemptResult::Failed | AttemptResult::Unknown if repeatable => NextAction::Retry { budgeted: true },
        AttemptResult::Failed => NextAction::ForwardFailure,
        AttemptResult::Unsent | AttemptResult::Rejected | AttemptResult::Unknown => {
            NextAction::OutcomeUnknown
        }
    }
}
