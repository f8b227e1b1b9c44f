//! Records the outcome of each request of a replay and sums them up in the report.

use std::time::Duration;

use carob_base::Time;

use crate::{
    report::{FIRST_TOKEN_STALL_THRESHOLD, GAP_STALL_THRESHOLD, Report},
    trace::Trace,
};

/// Outcomes of all requests so far.
#[derive(Debug)]
pub struct OutcomeRecorder {
    requests: Vec<Progress>,
    /// Number of requests without an outcome.
    unfinished: usize,
    /// Arrival time of the last request, at which goodput stops counting.
    end: Time,
    good_tokens: u64,
    report: Report,
}

/// Progress of a request.
#[derive(Clone, Copy, Debug)]
struct Progress {
    arrived: Time,
    /// When the latest token was delivered.
    last_token: Option<Time>,
    /// Tokens delivered until the arrival of the last request of the trace.
    counted_tokens: u32,
    complete: bool,
}

impl OutcomeRecorder {
    /// Creates a recorder in which every request of the trace is unfinished.
    pub fn new(trace: &Trace) -> Self {
        let entry = |at: Time| Progress {
            arrived: at,
            last_token: None,
            counted_tokens: 0,
            complete: false,
        };
        Self {
            requests: trace.requests.iter().map(|request| entry(request.at)).collect(),
            unfinished: trace.requests.len(),
            end: trace.end(),
            good_tokens: 0,
            report: Report::new(&trace.title),
        }
    }

    /// Whether every request has an outcome.
    pub fn is_finished(&self) -> bool {
        self.unfinished == 0
    }

    /// Whether the first token of a request was delivered.
    pub fn has_started(&self, request: usize) -> bool {
        self.requests[request].last_token.is_some()
    }

    /// Records a delivered token; the part of its wait beyond the stall threshold counts as stall time.
    pub fn record_token(&mut self, request: usize, now: Time) {
        let entry = &mut self.requests[request];
        let (histogram, threshold, since) = match entry.last_token {
            None => (
                &mut self.report.first_tokens,
                FIRST_TOKEN_STALL_THRESHOLD,
                entry.arrived,
            ),
            Some(last) => (&mut self.report.gaps, GAP_STALL_THRESHOLD, last),
        };
        let waited = now.since(since);
        histogram.saturating_record(waited.as_micros() as u64);
        self.report.stall += waited.saturating_sub(threshold);
        entry.last_token = Some(now);
        entry.counted_tokens += u32::from(now <= self.end);
    }

    /// Records that an answer is complete; only now do its tokens count as goodput.
    pub fn record_completed(&mut self, request: usize) {
        self.unfinished -= 1;
        self.report.completed += 1;
        self.requests[request].complete = true;
        self.good_tokens += u64::from(self.requests[request].counted_tokens);
    }

    /// Records a refusal; a wait beyond the threshold for first tokens counts as stall time.
    pub fn record_refused(&mut self, request: usize, now: Time) {
        self.unfinished -= 1;
        self.report.refused += 1;
        self.record_stall(request, now);
    }

    /// Records that a caller timed out before the first token; a wait beyond the threshold counts as stall
    /// time.
    pub fn record_abandoned(&mut self, request: usize, now: Time) {
        self.unfinished -= 1;
        self.report.abandoned += 1;
        self.record_stall(request, now);
    }

    fn record_stall(&mut self, request: usize, now: Time) {
        let waited = now.since(self.requests[request].arrived);
        self.report.stall += waited.saturating_sub(FIRST_TOKEN_STALL_THRESHOLD);
    }

    /// Records that an answer was lost after its first token.
    pub fn record_lost(&mut self) {
        self.unfinished -= 1;
        self.report.lost += 1;
    }

    /// Records that an attempt was sent to another region.
    pub fn record_cross_region(&mut self) {
        self.report.cross_region += 1;
    }

    /// Records a retry after a failure.
    pub fn record_retry(&mut self) {
        self.report.retries += 1;
    }

    /// Completes the report and checks the trace's expectations.
    pub fn into_report(self, trace: &Trace, preemptions: u64) -> Report {
        let mut report = self.report;
        report.requests = trace.requests.len() as u64;
        report.preemptions = preemptions;
        let span = self.end.as_secs_f64().max(Duration::from_millis(1).as_secs_f64());
        report.goodput = self.good_tokens as f64 / span;
        for (request, entry) in trace.requests.iter().zip(&self.requests) {
            let counts = report.accounts.entry(request.account.clone()).or_default();
            counts.requests += 1;
            counts.completed += u64::from(entry.complete);
        }
        report.checks = trace
            .expectations
            .iter()
            .map(|expectation| expectation.check(&report))
            .collect();
        report
    }
}
