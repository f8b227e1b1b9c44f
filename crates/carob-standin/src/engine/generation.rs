//! State and outcome of a single request.

use std::time::Instant;

use bytes::Bytes;

use super::prompt::Plan;

carob_base::plain! {
    /// Status of a request.
    pub enum Status {
        /// Waiting for memory or a slot.
        Queued,
        /// In the running batch.
        InProgress,
        /// The answer is complete.
        Completed,
        /// The answer was truncated at the request's token limit.
        Incomplete,
        /// Cancelled by the client.
        Cancelled,
        /// The prompt or the answer does not fit into the memory.
        Failed,
    }
}

impl Status {
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::InProgress => "in_progress",
            Self::Completed => "completed",
            Self::Incomplete => "incomplete",
            Self::Cancelled => "cancelled",
            Self::Failed => "failed",
        }
    }

    /// Returns whether the request has ended, so that nothing more is generated.
    pub const fn is_terminal(self) -> bool {
        !matches!(self, Self::Queued | Self::InProgress)
    }
}

carob_base::value! {
    /// Outcome of a request.
    pub struct Record {
        /// Response ID that the engine assigned.
        pub id: String,
        /// Incarnation that ran the request.
        pub incarnation: u64,
        /// Text of the prompt.
        pub prompt: String,
        /// Text generated so far.
        pub text: String,
        /// Status; for an earlier incarnation, the one at its end.
        pub status: Status,
        /// Number of times that it was preempted.
        pub preemptions: u32,
    }
}

/// A request of the current incarnation.
#[derive(Debug)]
pub(super) struct Generation {
    pub(super) id: String,
    /// ID of the only output item.
    pub(super) item_id: String,
    pub(super) model: String,
    pub(super) plan: Plan,
    pub(super) status: Status,
    /// Number of tokens generated so far.
    pub(super) generated: usize,
    pub(super) preemptions: u32,
    /// Time at which the prefill ends. Meaningful only while the status is `InProgress`.
    pub(super) prefilled_at: Instant,
    /// Encoded events so far. The index is the sequence number.
    pub(super) events: Vec<Bytes>,
}

impl Generation {
    pub(super) fn text(&self) -> String {
        self.plan.tokens[..self.generated].concat()
    }

    /// Memory that the request uses while it is running, in tokens.
    pub(super) fn used_tokens(&self) -> u32 {
        self.plan.prompt_tokens + self.generated as u32
    }

    pub(super) fn record(&self, incarnation: u64) -> Record {
        Record {
            id: self.id.clone(),
            incarnation,
            prompt: self.plan.prompt.clone(),
            text: self.text(),
            status: self.status,
            preemptions: self.preemptions,
        }
    }
}
