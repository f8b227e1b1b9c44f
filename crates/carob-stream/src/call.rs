//! Retries of plain idempotent calls.
//!
//! A call goes to one upstream at a time. Each retry avoids every upstream that failed before, is charged to
//! the service's retry budget, which routing owns, and starts within [`Options::retry_window`]. Answers of
//! abandoned attempts are discarded.

use std::time::Duration;

use carob_base::{Name, Time};
use carob_wire::{Code, Execution, Problem};
use smallvec::SmallVec;

/// `Retry-After` for a call that no upstream answered.
const RETRY_AFTER: Duration = Duration::from_secs(2);

carob_base::plain! {
    /// Number of an attempt; never reused within one call.
    pub struct AttemptId(pub u32);

    /// Limits of one call.
    pub struct Options {
        /// How long after the start of the call a retry may still start; 10 s by default.
        pub retry_window: Duration,
        /// How long one attempt may take before another upstream is tried; 3 s by default.
        pub attempt_timeout: Duration,
        /// Maximum number of attempts; 3 by default.
        pub max_attempts: u32,
    }

    /// How an attempt failed.
    pub enum Failure {
        /// No connection was established, so nothing was sent.
        Refused,
        /// The upstream accepts no work at present (HTTP 429 or 503).
        Busy,
        /// The connection failed or no answer arrived in time; the call may have run.
        NoAnswer,
    }
}

carob_base::value! {
    /// What the driver has to do next.
    pub enum Step {
        /// Nothing is due.
        Wait,
        /// Pass the answer to the caller. The call is over.
        Answer,
        /// Discard the answer: its attempt was abandoned.
        Drop,
        /// Abandon the attempt, take a retry from the service's budget and ask routing for an upstream
        /// outside [`Call::failed`]; then call [`Call::start`], or [`Call::into_problem`] if the budget is
        /// spent or there is no such upstream.
        Retry,
        /// Report the problem to the caller. The call is over.
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
    retry_until: Time,
    attempts: u32,
    current: Option<(AttemptId, Name, Time)>,
    failed: SmallVec<[Name; 4]>,
    last_failure: Option<Failure>,
    maybe_started: bool,
    over: bool,
}

impl Call {
    /// Creates a call that arrived at `now`.
    pub fn new(options: Options, now: Time) -> Self {
        Self {
            options,
            retry_until: now + options.retry_window,
            attempts: 0,
            current: None,
            failed: SmallVec::new(),
            last_failure: None,
            maybe_started: false,
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

    /// A complete answer arrived.
    pub fn on_answer(&mut self, attempt: AttemptId) -> Step {
        if !self.is_current(attempt) {
            return Step::Drop;
        }
        self.current = None;
        self.over = true;
        Step::Answer
    }

    /// An attempt failed before its answer was complete.
    pub fn on_failure(&mut self, attempt: AttemptId, failure: Failure, now: Time) -> Step {
        if !self.is_current(attempt) {
            return Step::Drop;
        }
        self.end_attempt(failure, now)
    }

    /// Ends an attempt that has timed out; to be called at [`deadline`](Self::deadline).
    pub fn on_tick(&mut self, now: Time) -> Step {
        if now < self.deadline() {
            return Step::Wait;
        }
        self.end_attempt(Failure::NoAnswer, now)
    }

    /// Ends the call because the retry budget is spent or no other upstream is available.
    pub fn into_problem(mut self) -> Problem {
        self.over = true;
        self.problem()
    }

    /// Upstreams that failed and must not be tried again.
    pub fn failed(&self) -> &[Name] {
        &self.failed
    }

    /// Latest time at which [`on_tick`](Self::on_tick) has to be called.
    pub fn deadline(&self) -> Time {
        let Some((_, _, started)) = &self.current else {
            return Time::NEVER;
        };
        // The last permitted attempt may use the rest of the retry window.
        let limit = *started + self.options.attempt_timeout;
        if self.attempts >= self.options.max_attempts {
            self.retry_until.max(limit)
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

    fn end_attempt(&mut self, failure: Failure, now: Time) -> Step {
        if let Some((_, upstream, _)) = self.current.take() {
            self.failed.push(upstream);
        }
        self.last_failure = Some(failure);
        self.maybe_started |= failure == Failure::NoAnswer;
        if self.attempts < self.options.max_attempts && now < self.retry_until {
            return Step::Retry;
        }
        self.over = true;
        Step::Fail(self.problem())
    }

    fn problem(&self) -> Problem {
        if self.maybe_started {
            let detail = "the upstreams that took the call did not answer in time";
            return Problem::new(Code::UpstreamFailed, Execution::Unknown, detail)
                .with_retry_after(RETRY_AFTER);
        }
        let code = if self.last_failure == Some(Failure::Busy) {
            Code::Overloaded
        } else {
            Code::NoUpstream
        };
        Problem::not_run(code, "no upstream could take the call").with_retry_after(RETRY_AFTER)
    }
}
