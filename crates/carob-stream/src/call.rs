//! Retries of plain idempotent calls.
//!
//! A call goes to one upstream at a time. Each retry avoids every upstream that failed before, draws on the
//! service's retry budget, which routing owns, and starts within the caller's patience. Answers of abandoned
//! attempts are dropped.

use std::time::Duration;

use carob_base::{Name, Time};
use carob_wire::{Code, Problem, Ran};
use smallvec::SmallVec;

/// When a call that no upstream could take is worth sending again.
const RETRY_AFTER: Duration = Duration::from_secs(2);

carob_base::plain! {
    /// Number of an attempt; never used twice within a call.
    pub struct AttemptId(pub u32);

    /// Limits of one call.
    pub struct Options {
        /// How long after the start of the call a retry may still start; 10 s by default.
        pub retry_window: Duration,
        /// How long one attempt may take before another upstream is tried; 3 s by default.
        pub attempt_timeout: Duration,
        /// Most attempts; 3 by default.
        pub max_attempts: u32,
    }

    /// How an attempt failed.
    pub enum Failure {
        /// No connection was made, so nothing was sent.
        Refused,
        /// The upstream answered that it takes no work now (HTTP 429 or 503).
        Busy,
        /// The connection broke or no answer came in time.
        NoAnswer,
    }
}

carob_base::value! {
    /// What the driver does next.
    pub enum Step {
        /// Nothing to do.
        Wait,
        /// The answer is the caller's. The call is over.
        Answer,
        /// Drop the answer: its attempt was abandoned.
        Drop,
        /// Abandon the attempt, take a retry from the service's budget and ask routing for an upstream outside
        /// [`Call::failed`]; then [`Call::start`], or [`Call::into_problem`] if either is not to be had.
        Retry,
        /// Tell the caller. The call is over.
        Fail(Problem),
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            retry_window: Duration::from_secs(10),
            attempt_timeout: Duration::from_secs(3),
            max_attempts: 3,
        }
    }
}

/// One idempotent call with its attempts.
#[derive(Debug)]
pub struct Call {
    options: Options,
    until: Time,
    attempts: u32,
    current: Option<(AttemptId, Name, Time)>,
    failed: SmallVec<[Name; 4]>,
    last: Option<Failure>,
    uncertain: bool,
    over: bool,
}

impl Call {
    /// A call that came in now.
    pub fn new(options: Options, now: Time) -> Self {
        Self {
            options,
            until: now + options.retry_window,
            attempts: 0,
            current: None,
            failed: SmallVec::new(),
            last: None,
            uncertain: false,
            over: false,
        }
    }

    /// Starts an attempt on an upstream outside [`failed`](Self::failed).
    pub fn start(&mut self, upstream: Name, now: Time) -> AttemptId {
        debug_assert!(
            !self.failed.contains(&upstream),
            "a failed upstream is not tried again"
        );
        let attempt = AttemptId(self.attempts);
        self.attempts += 1;
        self.current = Some((attempt, upstream, now));
        attempt
    }

    /// A whole answer arrived.
    pub fn on_answer(&mut self, attempt: AttemptId) -> Step {
        if !self.is_current(attempt) {
            return Step::Drop;
        }
        self.current = None;
        self.over = true;
        Step::Answer
    }

    /// An attempt failed before its answer was whole.
    pub fn on_failure(&mut self, attempt: AttemptId, failure: Failure, now: Time) -> Step {
        if !self.is_current(attempt) {
            return Step::Drop;
        }
        self.give_up_attempt(failure, now)
    }

    /// Acts on whatever is due; call it at [`deadline`](Self::deadline).
    pub fn on_tick(&mut self, now: Time) -> Step {
        if now < self.deadline() {
            return Step::Wait;
        }
        self.give_up_attempt(Failure::NoAnswer, now)
    }

    /// Ends the call because no retry is to be had.
    pub fn into_problem(mut self) -> Problem {
        self.over = true;
        self.problem()
    }

    /// Upstreams that must not be tried again.
    pub fn failed(&self) -> &[Name] {
        &self.failed
    }

    /// When [`on_tick`](Self::on_tick) has to be called at the latest.
    pub fn deadline(&self) -> Time {
        let Some((_, _, started)) = &self.current else {
            return Time::NEVER;
        };
        // The last attempt that patience permits may use all that is left of it.
        let limit = *started + self.options.attempt_timeout;
        if self.attempts >= self.options.max_attempts {
            self.until.max(limit)
        } else {
            limit
        }
    }

    fn is_current(&self, attempt: AttemptId) -> bool {
        !self.over
            && self
                .current
                .as_ref()
                .is_some_and(|(current, _, _)| *current == attempt)
    }

    fn give_up_attempt(&mut self, failure: Failure, now: Time) -> Step {
        if let Some((_, upstream, _)) = self.current.take() {
            self.failed.push(upstream);
        }
        self.last = Some(failure);
        self.uncertain |= failure == Failure::NoAnswer;
        if self.attempts < self.options.max_attempts && now < self.until {
            return Step::Retry;
        }
        self.over = true;
        Step::Fail(self.problem())
    }

    fn problem(&self) -> Problem {
        if self.uncertain {
            let detail = "the upstreams that took the call did not answer in time";
            return Problem::new(Code::UpstreamFailed, Ran::Unknown, detail).with_retry_after(RETRY_AFTER);
        }
        let code = if self.last == Some(Failure::Busy) {
            Code::Overloaded
        } else {
            Code::NoUpstream
        };
        Problem::not_run(code, "no upstream could take the call").with_retry_after(RETRY_AFTER)
    }
}
