//! Counting of a generation's tokens, and the rate of progress reports to the control thread.

use std::time::Duration;

use carob_base::Time;
use carob_wire::event::{Event, Kind};

/// Minimum time between two progress reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Counts the tokens of the present generation. Repeated events are counted once.
#[derive(Debug, Default)]
pub struct TokenCounter {
    tokens: u32,
    /// Lowest sequence number that has not been counted.
    next_sequence: u64,
    /// When progress was last reported.
    last_report: Time,
}

impl TokenCounter {
    /// Number of tokens so far.
    pub const fn count(&self) -> u32 {
        self.tokens
    }

    /// Counts an event; returns the number of tokens so far if a progress report is due.
    pub fn record(&mut self, event: &Event, now: Time) -> Option<u32> {
        if event.kind() != Kind::Delta || event.head.sequence < self.next_sequence {
            return None;
        }
        self.next_sequence = event.head.sequence + 1;
        self.tokens += 1;
        if self.tokens > 1 && now.since(self.last_report) < MIN_REPORT_INTERVAL {
            return None;
        }
        self.last_report = now;
        Some(self.tokens)
    }
}
