//! One request from its arrival to its end.

use std::time::Instant;

use bytes::Bytes;

use super::prompt::Plan;

carob_base::plain! {
    /// State of a request.
    pub enum Status {
        /// Waits for memory.
        Queued,
        /// In the running batch.
        InProgress,
        /// The answer is whole.
        Completed,
        /// The answer ends at the request's limit.
        Incomplete,
        /// The answer was cancelled.
        Cancelled,
        /// The answer cannot fit into the memory.
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

    /// Whether nothing more is generated.
    pub const fn is_terminal(self) -> bool {
        !matches!(self, Self::Queued | Self::InProgress)
    }
}

carob_base::value! {
    /// What became of a request.
    pub struct Record {
        /// The engine's id of the answer.
        pub id: String,
        /// The incarnation that ran it.
        pub incarnation: u64,
        /// The prompt.
        pub prompt: String,
        /// The text generated so far.
        pub text: String,
        /// State, at the process's death for an earlier incarnation.
        pub status: Status,
        /// How often it lost its memory to another request.
        pub preemptions: u32,
    }
}

/// A request of the present incarnation.
#[derive(Debug)]
pub(super) struct Generation {
    pub(super) id: String,
    /// Id of the only output item.
    pub(super) item: String,
    pub(super) model: String,
    pub(super) plan: Plan,
    pub(super) status: Status,
    /// Tokens generated so far.
    pub(super) produced: usize,
    pub(super) preemptions: u32,
    /// When the prompt has been read, while the status is `InProgress`.
    pub(super) ready: Instant,
    /// Every event so far, framed; the index is the sequence number.
    pub(super) events: Vec<Bytes>,
}

impl Generation {
    pub(super) fn text(&self) -> String {
        self.plan.words[..self.produced].concat()
    }

    /// Tokens of memory that it takes in the batch.
    pub(super) fn size(&self) -> u32 {
        self.plan.prompt_tokens + self.produced as u32
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
