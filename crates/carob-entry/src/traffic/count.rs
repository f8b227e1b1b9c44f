//! Tokens of a generation, and when the control thread hears of them.

use std::time::Duration;

use carob_base::Time;
use carob_wire::event::{Event, Kind};

/// Least time between two reports of progress.
const REPORT_EVERY: Duration = Duration::from_millis(250);

/// Tokens of the present generation. Events that come twice are counted once.
#[derive(Debug, Default)]
pub struct Count {
    tokens: u32,
    /// The next sequence number that has not been counted.
    next: u64,
    /// When progress was last reported.
    reported: Time,
}

impl Count {
    /// Tokens so far.
    pub const fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Counts an event; the tokens so far if they should be reported now.
    pub fn note(&mut self, event: &Event, now: Time) -> Option<u32> {
        if event.kind() != Kind::Delta || event.head.sequence < self.next {
            return None;
        }
        self.next = event.head.sequence + 1;
        self.tokens += 1;
        if self.tokens > 1 && now.since(self.reported) < REPORT_EVERY {
            return None;
        }
        self.reported = now;
        Some(self.tokens)
    }
}
