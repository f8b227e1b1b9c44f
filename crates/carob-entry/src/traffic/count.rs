//! Tokens of a generation, and when the control thread hears of them.

use std::time::Duration;

use carob_base::Time;
use carob_wire::event::{Event, Kind};

/// Least time between two reports of progress.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Tokens of the present generation. Events that come twice are counted once.
#[derive(Debug, Default)]
pub struct TokenCounter {
    tokens: u32,
    /// The next sequence number that has not been counted.
    next_sequence: u64,
    /// When progress was last reported.
    last_report: Time,
}

impl TokenCounter {
    /// Tokens so far.
    pub const fn count(&self) -> u32 {
        self.tokens
    }

    /// Counts an event; the tokens so far if they should be reported now.
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
