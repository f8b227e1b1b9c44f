//! What came of the attempts of a request, and what that says about the next one.

use carob_dispatch::{
    budget::Reason,
    fleet::UpstreamKey,
    outcome::{self, AttemptResult, NextAction},
};
use smallvec::SmallVec;

use super::{
    answer::LocalAnswer,
    call::Call,
    exchange::{RETRY_FULL, Refusal},
    repeats::{self, BUDGET_SPENT, Cause, Repeat},
};

/// What came of the attempts of a request so far.
#[derive(Default)]
pub(super) struct Attempts {
    pub(super) tried: SmallVec<[UpstreamKey; 4]>,
    /// Attempts that may have run.
    pub(super) ran: u32,
    /// Attempts that have not run.
    pub(super) rejected: u32,
    /// Whether an upstream may have got the request, so that the next one makes a repeat.
    arrived: bool,
    /// How the last attempt ended; absent before the first.
    last: Option<AttemptResult>,
    /// Upstream of the last send, if it was given up without a sign of life.
    silent: Option<UpstreamKey>,
}

impl Attempts {
    /// Records that the attempt at `upstream` was given up without a sign of life; returns what to do next.
    pub(super) fn record_silence(&mut self, call: &Call, upstream: UpstreamKey) -> NextAction {
        if self.arrived {
            repeats::record_silence(call, upstream);
        }
        let next = self.record(call, upstream, AttemptResult::Unknown);
        self.silent = Some(upstream);
        next
    }

    /// Whether the budget permits another send of a request that an upstream works on.
    pub(super) fn permit_another(call: &Call) -> bool {
        let cause = Cause {
            reason: Reason::Unknown,
            silent: None,
        };
        repeats::is_permitted(call, cause)
    }

    /// Whether a stream that `upstream` has broken off may run once more; its attempt then counts as one that ran.
    pub(super) fn may_run_again(&mut self, call: &Call, upstream: UpstreamKey) -> bool {
        self.record(call, upstream, AttemptResult::Unknown) == NextAction::Retry && self.is_permitted(call)
    }

    /// Records that the attempt at `upstream` ended with `result`; returns what to do next.
    pub(super) fn record(&mut self, call: &Call, upstream: UpstreamKey, result: AttemptResult) -> NextAction {
        if result.may_have_arrived() {
            self.silent = None;
        }
        match result {
            AttemptResult::Unsent | AttemptResult::Rejected => self.rejected += 1,
            AttemptResult::Failed | AttemptResult::Unknown => self.ran += 1,
        }
        self.tried.push(upstream);
        self.arrived |= result.may_have_arrived();
        self.last = Some(result);
        outcome::next_action(
            call.route.kind,
            result,
            self.ran,
            self.rejected,
            call.route.max_attempts,
        )
    }

    /// Why the next send makes a repeat, if it does.
    fn repeat_cause(&self) -> Option<Cause> {
        let last = self.last.filter(|_| self.arrived)?;
        Some(Cause {
            reason: Reason::from(last),
            silent: self.silent,
        })
    }

    /// Whether the budget permits the next send; it does if that makes no repeat.
    pub(super) fn is_permitted(&self, call: &Call) -> bool {
        self.repeat_cause()
            .is_none_or(|cause| repeats::is_permitted(call, cause))
    }

    /// Reserves a repeat if the next send makes one.
    pub(super) fn reserve_repeat(&self, call: &Call) -> Result<Option<Repeat>, Refusal> {
        let Some(cause) = self.repeat_cause() else {
            return Ok(None);
        };
        match Repeat::reserve(call, cause) {
            Some(repeat) => Ok(Some(repeat)),
            // It was spent while this request waited.
            None if self.ran == 0 => Err((LocalAnswer::Refused(RETRY_FULL), BUDGET_SPENT)),
            None => Err((LocalAnswer::Unclear, BUDGET_SPENT)),
        }
    }
}
