//! Checks of outcomes, as pure functions of the data that callers and upstreams recorded.

use std::time::Duration;

use bytes::Bytes;
use carob_wire::{
    Execution, Problem,
    event::{Event, Kind},
    problem::MEDIA_TYPE,
};
use serde::Deserialize;

carob_base::plain! {
    /// A violated guarantee of the system under test.
    pub enum Violation {
        /// A sequence number was skipped.
        Gap,
        /// A sequence number was repeated.
        Repeat,
        /// One answer contained events of two generations.
        Spliced,
        /// An event followed the answer's last one.
        Extra,
        /// The body ended regularly before the answer's last event.
        Cut,
        /// The data is not an event of the protocol.
        Malformed,
        /// A complete answer differs from every text that the engines generated for its request.
        Mismatch,
        /// A refusal had no problem document, or its status or outcome header did not agree with the
        /// document.
        Untyped,
        /// A refusal was received after the class's maximum time.
        LateRefusal,
        /// A non-idempotent call ran more than once.
        RanTwice,
        /// A request ran although each send was refused as not run or never left the caller.
        RanRefused,
        /// A successful request is not in the upstreams' record.
        NotRecorded,
        /// Two successful calls with the same idempotency key got different answers.
        Differs,
    }
}

impl Violation {
    /// All kinds, in the order of reports.
    pub const ALL: [Self; 13] = [
        Self::Gap,
        Self::Repeat,
        Self::Spliced,
        Self::Extra,
        Self::Cut,
        Self::Malformed,
        Self::Mismatch,
        Self::Untyped,
        Self::LateRefusal,
        Self::RanTwice,
        Self::RanRefused,
        Self::NotRecorded,
        Self::Differs,
    ];

    /// The name in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Gap => "gap",
            Self::Repeat => "repeat",
            Self::Spliced => "spliced",
            Self::Extra => "extra",
            Self::Cut => "cut",
            Self::Malformed => "malformed",
            Self::Mismatch => "mismatch",
            Self::Untyped => "untyped",
            Self::LateRefusal => "late-refusal",
            Self::RanTwice => "ran-twice",
            Self::RanRefused => "ran-refused",
            Self::NotRecorded => "not-recorded",
            Self::Differs => "differs",
        }
    }
}

/// Checks the sequence of an answer's events across all connections that carried it.
#[derive(Clone, Debug, Default)]
pub struct SequenceCheck {
    /// Expected sequence number of the next event.
    next: u64,
    answer_id: Option<String>,
    item_id: Option<String>,
    terminal: Option<Kind>,
    text: String,
}

/// The field of a delta event that holds its text.
#[derive(Deserialize)]
struct Delta {
    #[serde(default)]
    delta: String,
}

impl SequenceCheck {
    /// Creates a check that expects the first event of an answer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Highest sequence number received; `None` before the first event.
    pub fn last_sequence(&self) -> Option<u64> {
        self.next.checked_sub(1)
    }

    /// The answer's id; `None` until an event has carried it.
    pub fn answer_id(&self) -> Option<&str> {
        self.answer_id.as_deref()
    }

    /// Kind of the answer's last event; `None` until it was received.
    pub const fn terminal_kind(&self) -> Option<Kind> {
        self.terminal
    }

    /// Returns the text received.
    pub fn into_text(self) -> String {
        self.text
    }

    /// Checks the next event and appends its text.
    ///
    /// # Errors
    ///
    /// Returns the first [`Violation`] found.
    pub fn check_event(&mut self, event: &Event) -> Result<(), Violation> {
        let head = &event.head;
        if self.terminal.is_some() {
            return Err(Violation::Extra);
        }
        let expected = self.next;
        self.next = self.next.max(head.sequence + 1);
        if head.sequence < expected {
            return Err(Violation::Repeat);
        }
        if contradicts(&mut self.answer_id, head.answer_id.as_deref())
            || contradicts(&mut self.item_id, head.item_id.as_deref())
        {
            return Err(Violation::Spliced);
        }
        let kind = event.kind();
        if kind == Kind::Delta {
            let delta: Delta = serde_json::from_slice(&event.data).map_err(|_json| Violation::Malformed)?;
            self.text.push_str(&delta.delta);
        }
        self.terminal = kind.is_last().then_some(kind);
        if head.sequence > expected {
            return Err(Violation::Gap);
        }
        Ok(())
    }
}

/// Returns whether `found` contradicts the known id; stores it if no id is known yet.
fn contradicts(known: &mut Option<String>, found: Option<&str>) -> bool {
    match (known.as_deref(), found) {
        (Some(known), Some(found)) => known != found,
        (None, Some(found)) => {
            *known = Some(found.to_owned());
            false
        }
        (_, None) => false,
    }
}

carob_base::value! {
    /// An unsuccessful response.
    pub struct Refusal {
        /// HTTP status, which the problem document must repeat.
        pub status: u16,
        /// The `content-type` header.
        pub media_type: Option<String>,
        /// The `carob-outcome` header.
        pub outcome: Option<String>,
        /// Body, which should be a problem document.
        pub body: Bytes,
    }
}

impl Refusal {
    /// Parses the problem document and compares it with the status and headers.
    ///
    /// # Errors
    ///
    /// Returns [`Violation::Untyped`] if the document is missing, unreadable or contradicts them.
    pub fn problem(&self) -> Result<Problem, Violation> {
        let typed = self
            .media_type
            .as_deref()
            .is_some_and(|media| media.starts_with(MEDIA_TYPE));
        let problem: Problem = serde_json::from_slice(&self.body).map_err(|_json| Violation::Untyped)?;
        let agrees =
            problem.status == self.status && self.outcome.as_deref() == Some(problem.outcome.as_str());
        if typed && agrees {
            Ok(problem)
        } else {
            Err(Violation::Untyped)
        }
    }
}

/// Checks that a refusal was received within `limit`.
///
/// # Errors
///
/// Returns [`Violation::LateRefusal`] if it was received later.
pub fn check_refusal_time(elapsed: Duration, limit: Duration) -> Result<(), Violation> {
    if elapsed <= limit {
        Ok(())
    } else {
        Err(Violation::LateRefusal)
    }
}

carob_base::value! {
    /// What the caller knows, after one send of a request, about whether it ran.
    pub enum SendOutcome {
        /// The upstream's own answer was received, with this status and body.
        Answered(u16, Bytes),
        /// The system refused the request and stated whether it ran.
        Refused(Execution),
        /// No connection could be made.
        NotSent,
        /// No answer was received.
        Lost,
    }
}

/// Compares all sends under one idempotency key, or all sends of one generation, with the `runs` in the
/// upstreams' record.
///
/// `at_most_once` is set for calls that must not run twice.
pub fn compare_runs(sends: &[SendOutcome], runs: usize, at_most_once: bool) -> Vec<Violation> {
    let mut found = Vec::new();
    if at_most_once && runs > 1 {
        found.push(Violation::RanTwice);
    }
    let refused = |send: &SendOutcome| {
        matches!(
            send,
            SendOutcome::Refused(Execution::NotRun) | SendOutcome::NotSent
        )
    };
    if runs > 0 && !sends.is_empty() && sends.iter().all(refused) {
        found.push(Violation::RanRefused);
    }
    let success = |send: &&SendOutcome| matches!(send, SendOutcome::Answered(200..=299, _));
    if runs == 0 && sends.iter().any(|send| success(&send)) {
        found.push(Violation::NotRecorded);
    }
    let mut answers = sends.iter().filter(success);
    let first = answers.next();
    if at_most_once && answers.any(|answer| Some(answer) != first) {
        found.push(Violation::Differs);
    }
    found
}

/// Compares a complete answer with the texts that the upstreams generated for its request.
///
/// # Errors
///
/// Returns [`Violation::Mismatch`] if it equals none of them.
pub fn compare_answer(text: &str, generated: &[String]) -> Result<(), Violation> {
    if generated.iter().any(|run| run == text) {
        return Ok(());
    }
    Err(Violation::Mismatch)
}
