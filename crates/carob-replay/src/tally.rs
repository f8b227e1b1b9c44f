//! Counts what happens to each request of a replay.

use std::time::Duration;

use carob_base::Time;

use crate::{
    report::{FIRST_TOKEN_STALL_THRESHOLD, GAP_STALL_THRESHOLD, Report},
    trace::Trace,
};

/// What has happened to each request so far.
#[derive(Debug)]
pub struct OutcomeRecorder {
    requests: Vec<Entry>,
    left: usize,
    end: Time,
    good_tokens: u64,
    report: Report,
}

/// What has happened to a request so far.
#[derive(Clone, Copy, Debug)]
struct Entry {
    came: Time,
    last: Option<Time>,
    /// Tokens delivered until the last request of the trace came.
    timely: u32,
    whole: bool,
}

impl OutcomeRecorder {
    /// Nothing has happened yet.
    pub fn new(trace: &Trace) -> Self {
        let entry = |at: Time| Entry {
            came: at,
            last: None,
            timely: 0,
            whole: false,
        };
        Self {
            requests: trace.requests.iter().map(|request| entry(request.at)).collect(),
            left: trace.requests.len(),
            end: trace.end(),
            good_tokens: 0,
            report: Report::new(&trace.title),
        }
    }

    /// Whether every request has come to its end.
    pub fn is_settled(&self) -> bool {
        self.left == 0
    }

    /// Whether a request's caller has received something.
    pub fn has_begun(&self, request: usize) -> bool {
        self.requests[request].last.is_some()
    }

    /// A token was delivered.
    pub fn token(&mut self, request: usize, now: Time) {
        let entry = &mut self.requests[request];
        let (times, limit, since) = match entry.last {
            None => (
                &mut self.report.first_tokens,
                FIRST_TOKEN_STALL_THRESHOLD,
                entry.came,
            ),
            Some(last) => (&mut self.report.gaps, GAP_STALL_THRESHOLD, last),
        };
        let waited = now.since(since);
        times.saturating_record(waited.as_micros() as u64);
        self.report.stall += waited.saturating_sub(limit);
        entry.last = Some(now);
        entry.timely += u32::from(now <= self.end);
    }

    /// An answer became whole.
    pub fn completed(&mut self, request: usize) {
        self.left -= 1;
        self.report.completed += 1;
        self.requests[request].whole = true;
        self.good_tokens += u64::from(self.requests[request].timely);
    }

    /// A request was refused; a wait before that was a stall.
    pub fn refused(&mut self, request: usize, now: Time) {
        self.left -= 1;
        self.report.refused += 1;
        self.stalled(request, now);
    }

    /// A caller gave up before the first token; the wait was a stall.
    pub fn abandoned(&mut self, request: usize, now: Time) {
        self.left -= 1;
        self.report.abandoned += 1;
        self.stalled(request, now);
    }

    fn stalled(&mut self, request: usize, now: Time) {
        let waited = now.since(self.requests[request].came);
        self.report.stall += waited.saturating_sub(FIRST_TOKEN_STALL_THRESHOLD);
    }

    /// An answer was lost in the middle.
    pub fn lost(&mut self) {
        self.left -= 1;
        self.report.lost += 1;
    }

    /// A request was sent to another region.
    pub fn sent_far(&mut self) {
        self.report.cross_region += 1;
    }

    /// A request was sent again after a failure.
    pub fn retried(&mut self) {
        self.report.retries += 1;
    }

    /// The report.
    pub fn close(self, trace: &Trace, preemptions: u64) -> Report {
        let mut report = self.report;
        report.requests = trace.requests.len() as u64;
        report.preemptions = preemptions;
        let span = self.end.as_secs_f64().max(Duration::from_millis(1).as_secs_f64());
        report.goodput = self.good_tokens as f64 / span;
        for (request, entry) in trace.requests.iter().zip(&self.requests) {
            let tally = report.accounts.entry(request.account.clone()).or_default();
            tally.requests += 1;
            tally.completed += u64::from(entry.whole);
        }
        report.checks = trace
            .expectations
            .iter()
            .map(|expected| expected.check(&report))
            .collect();
        report
    }
}
