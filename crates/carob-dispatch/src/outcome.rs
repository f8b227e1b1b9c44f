//! What may follow an upstream's answer or silence.

use crate::table::Kind;

carob_base::plain! {
    /// How one attempt at an upstream ended.
    pub enum Attempt {
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
    pub enum Next {
        /// Send the request to another upstream; draws on the retry budget if `paid`.
        Again {
            /// Whether the upstream saw the request, so that sending it again is a retry.
            paid: bool,
        },
        /// Tell the client that the request has not run.
        Refuse,
        /// Pass on the upstream's failure.
        Pass,
        /// Tell the client that nothing is known.
        Unclear,
    }
}

/// Sends that upstreams rejected, or that no connection came about for, before a request is refused.
///
/// Each costs a round trip; with more, an overload of all upstreams would be multiplied.
pub const REJECTIONS: u32 = 3;

/// Decides what follows `attempt` of a request of `kind`.
///
/// `ran` counts attempts so far that may have run, this one included; `rejected` those that have not.
/// `attempts` is the most upstreams that may run it.
pub const fn next(kind: Kind, attempt: Attempt, ran: u32, rejected: u32, attempts: u32) -> Next {
    let repeatable = matches!(kind, Kind::Safe) && ran < attempts;
    match attempt {
        Attempt::Unsent if rejected <= REJECTIONS => Next::Again { paid: false },
        Attempt::Rejected if rejected <= REJECTIONS => Next::Again { paid: true },
        Attempt::Unsent | Attempt::Rejected if ran == 0 => Next::Refuse,
        Attempt::Failed | Attempt::Unknown if repeatable => Next::Again { paid: true },
        Attempt::Failed => Next::Pass,
        Attempt::Unsent | Attempt::Rejected | Attempt::Unknown => Next::Unclear,
    }
}
