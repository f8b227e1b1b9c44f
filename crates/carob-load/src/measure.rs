//! Statistics of finished exchanges, by phase and class and over time.

use std::{collections::BTreeMap, time::Duration};

use carob_base::Time;
use carob_wire::Code;

use crate::{
    caller::{Outcome, Record},
    check::Violation,
    durations::DurationHistogram,
    workload::{ClassKey, PhaseKey, Workload},
};

/// Length of a window in the statistics over time.
pub const WINDOW_LENGTH: Duration = Duration::from_secs(1);

/// Statistics of a group of exchanges.
#[derive(Clone, Debug, Default)]
pub struct ExchangeStats {
    /// Exchanges that were started.
    pub sent: u64,
    /// Complete answers, and plain calls that the upstream answered.
    pub complete: u64,
    /// Answers that ended early without a failure: at a limit, or cancelled.
    pub incomplete: u64,
    /// Answers that ended with an explicit failure.
    pub failed: u64,
    /// Exchanges whose connection failed and that could not be resumed.
    pub broken: u64,
    /// Exchanges in which the caller disconnected on purpose.
    pub vanished: u64,
    /// Exchanges that exceeded the caller's timeout.
    pub expired: u64,
    /// Refusals by code.
    pub refused: BTreeMap<Code, u64>,
    /// Refusals without a readable problem document.
    pub untyped: u64,
    /// Number of times that an answer was resumed on another connection.
    pub resumed: u64,
    /// Tokens that callers received.
    pub tokens: u64,
    /// Tokens of complete answers.
    pub good_tokens: u64,
    /// Time to the first token, from the time of arrival.
    pub first_token: DurationHistogram,
    /// Time between tokens.
    pub gaps: DurationHistogram,
    /// Time to the complete answer, from the time of arrival.
    pub completion: DurationHistogram,
    /// Time to a refusal, from the time of sending.
    pub refusal_time: DurationHistogram,
    /// Sum of the excess of gaps over the workload's stall threshold.
    pub stall_time: Duration,
}

impl ExchangeStats {
    /// Number of all refusals, with and without a code.
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum::<u64>() + self.untyped
    }

    /// Adds the statistics of `other`.
    pub fn merge(&mut self, other: &Self) {
        self.sent += other.sent;
        self.complete += other.complete;
        self.incomplete += other.incomplete;
        self.failed += other.failed;
        self.broken += other.broken;
        self.vanished += other.vanished;
        self.expired += other.expired;
        self.untyped += other.untyped;
        self.resumed += other.resumed;
        self.tokens += other.tokens;
        self.good_tokens += other.good_tokens;
        self.stall_time += other.stall_time;
        for (code, count) in &other.refused {
            *self.refused.entry(*code).or_default() += count;
        }
        self.first_token.merge(&other.first_token);
        self.gaps.merge(&other.gaps);
        self.completion.merge(&other.completion);
        self.refusal_time.merge(&other.refusal_time);
    }

    fn record(&mut self, record: &Record, threshold: Duration) {
        self.sent += 1;
        self.resumed += u64::from(record.resumed);
        self.tokens += u64::from(record.tokens);
        if let Some(first) = record.first_token {
            self.first_token.record(first.since(record.arrival.at));
        }
        for gap in &record.gaps {
            self.gaps.record(gap.duration);
            self.stall_time += gap.duration.saturating_sub(threshold);
        }
        self.record_outcome(record);
    }

    fn record_outcome(&mut self, record: &Record) {
        match &record.outcome {
            Outcome::Whole => {
                self.complete += 1;
                self.good_tokens += u64::from(record.tokens);
                self.completion.record(record.end.since(record.arrival.at));
            }
            Outcome::Incomplete => self.incomplete += 1,
            Outcome::Failed(_) => self.failed += 1,
            Outcome::Broken => self.broken += 1,
            Outcome::Vanished => self.vanished += 1,
            Outcome::Expired => self.expired += 1,
            Outcome::Refused(problem) => {
                *self.refused.entry(problem.code).or_default() += 1;
                self.refusal_time.record(record.end.since(record.sent_at));
            }
            Outcome::Untyped(_) => {
                self.untyped += 1;
                self.refusal_time.record(record.end.since(record.sent_at));
            }
        }
    }
}

/// Statistics of one [`WINDOW_LENGTH`].
#[derive(Clone, Debug, Default)]
pub struct WindowStats {
    /// Time to the first token, in the window in which the token was received.
    pub first_token: DurationHistogram,
    /// Time between tokens, in the window in which the later token was received.
    pub gaps: DurationHistogram,
    /// Refusals received in the window.
    pub refused: u64,
    /// Tokens received in the window.
    pub tokens: u64,
}

/// Statistics of a run.
#[derive(Clone, Debug)]
pub struct RunStats {
    stall_threshold: Duration,
    /// Statistics by phase and class.
    pub classes: BTreeMap<(PhaseKey, ClassKey), ExchangeStats>,
    /// Statistics over time, from the start of the run.
    pub windows: Vec<WindowStats>,
    /// Preemptions by the engines; `None` if they are not known.
    pub preemptions: Option<u64>,
    /// Delay of the first send of a request after its time of arrival.
    pub lag: DurationHistogram,
    /// Number of violations of each kind.
    pub violations: BTreeMap<Violation, u64>,
}

impl RunStats {
    /// Creates empty statistics for a run of `workload`.
    pub fn new(workload: &Workload) -> Self {
        Self {
            stall_threshold: workload.stall_threshold,
            classes: BTreeMap::new(),
            windows: Vec::new(),
            preemptions: None,
            lag: DurationHistogram::new(),
            violations: BTreeMap::new(),
        }
    }

    /// Adds a finished exchange.
    pub fn record(&mut self, record: &Record) {
        self.lag.record(record.sent_at.since(record.arrival.at));
        let key = (record.arrival.phase, record.arrival.class);
        self.classes
            .entry(key)
            .or_default()
            .record(record, self.stall_threshold);
        for violation in &record.violations {
            self.record_violation(*violation);
        }
        self.record_windows(record);
    }

    /// Adds a violation that was found outside of [`record`](Self::record).
    pub fn record_violation(&mut self, violation: Violation) {
        *self.violations.entry(violation).or_default() += 1;
    }

    fn record_windows(&mut self, record: &Record) {
        if let Some(first) = record.first_token {
            let window = self.window(first);
            window.first_token.record(first.since(record.arrival.at));
            window.tokens += 1;
        }
        for gap in &record.gaps {
            let window = self.window(gap.end);
            window.gaps.record(gap.duration);
            window.tokens += 1;
        }
        if matches!(record.outcome, Outcome::Refused(_) | Outcome::Untyped(_)) {
            self.window(record.end).refused += 1;
        }
    }

    fn window(&mut self, at: Time) -> &mut WindowStats {
        let index = (at.as_micros() / WINDOW_LENGTH.as_micros() as u64) as usize;
        if self.windows.len() <= index {
            self.windows.resize_with(index + 1, WindowStats::default);
        }
        &mut self.windows[index]
    }
}
