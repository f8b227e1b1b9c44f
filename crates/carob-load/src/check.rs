//! Checks of outcomes, as pure functions of what callers and upstreams saw.

use std::time::Duration;

use bytes::Bytes;
use carob_wire::{
    Execution, Problem,
    event::{Event, Kind},
    problem::MEDIA_TYPE,
};
use serde::Deserialize;

carob_base::plain! {
    /// A promise that was not kept.
    pub enum Violation {
        /// A sequence number was left out.
        Gap,
        /// A sequence number came again.
        Repeat,
        /// Events of two generations came in one answer.
        Spliced,
        /// An event came after the last one.
        Extra,
        /// The stream ended as if it were whole before its last event.
        Cut,
        /// The data is no event of the protocol.
        Malformed,
        /// A whole answer differs from what the engine generated.
        Mismatch,
        /// A refusal without a problem document, or without an outcome header that agrees with it.
        Untyped,
        /// A refusal came later than permitted.
        LateRefusal,
        /// A non-idempotent call ran more than once.
        RanTwice,
        /// A request ran although its refusal says that it did not.
        RanRefused,
        /// A call that succeeded is not in the upstream's record.
        NotRecorded,
        /// Two successful calls with the same idempotency key got different answers.
        Differs,
    }
}

impl Violation {
    /// Every kind, in the order of reports.
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

/// Checks the events of one answer across all connections that it came over.
#[derive(Clone, Debug, Default)]
pub struct SequenceCheck {
    /// Number of the next event.
    next: u64,
    answer_id: Option<String>,
    item_id: Option<String>,
    terminal: Option<Kind>,
    text: String,
}

/// The field of a delta event that only the check needs.
#[derive(Deserialize)]
struct Delta {
    #[serde(default)]
    delta: String,
}

impl SequenceCheck {
    /// A check that expects the first event of an answer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of the last event that came, or `None` before the first.
    pub fn last_sequence(&self) -> Option<u64> {
        self.next.checked_sub(1)
    }

    /// The answer's id, once an event has carried it.
    pub fn answer_id(&self) -> Option<&str> {
        self.answer_id.as_deref()
    }

    /// How the answer ended, if it did.
    pub const fn terminal_kind(&self) -> Option<Kind> {
        self.terminal
    }

    /// The text so far.
    pub fn into_text(self) -> String {
        self.text
    }

    /// Takes in the next event.
    ///
    /// # Errors
    ///
    /// Returns the [`Violation`] that the event shows.
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
        if differs(&mut self.answer_id, head.answer_id.as_deref())
            || differs(&mut self.item_id, head.item_id.as_deref())
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

/// Whether `found` is another id than the one known; the first one is kept.
fn differs(known: &mut Option<String>, found: Option<&str>) -> bool {
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
    /// A response that is no success.
    pub struct Refusal {
        /// HTTP status.
        pub status: u16,
        /// The `content-type` header.
        pub media_type: Option<String>,
        /// The `carob-outcome` header.
        pub outcome: Option<String>,
        /// Body.
        pub body: Bytes,
    }
}

impl Refusal {
    /// The problem document, if it is whole and agrees with status and headers.
    ///
    /// # Errors
    ///
    /// Returns [`Violation::Untyped`] if it is missing or contradicts them.
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

/// Checks that a refusal came within `limit`.
///
/// # Errors
///
/// Returns [`Violation::LateRefusal`] if it came later.
pub fn check_refusal_time(elapsed: Duration, limit: Duration) -> Result<(), Violation> {
    if elapsed <= limit {
        Ok(())
    } else {
        Err(Violation::LateRefusal)
    }
}

carob_base::value! {
    /// How one send of a request ended, as far as running it goes.
    pub enum SendOutcome {
        /// The upstream's own answer came, with this status and body.
        Answered(u16, Bytes),
        /// The system refused it and said whether it ran.
        Refused(Execution),
        /// No connection could be made.
        NotSent,
        /// No answer came.
        Lost,
    }
}

/// Compares all sends under one idempotency key, or all sends of one generation, with the `runs` in the
/// upstreams' record.
///
/// `once` is set for calls that must run at most once.
pub fn compare_runs(sends: &[SendOutcome], runs: usize, once: bool) -> Vec<Violation> {
    let mut found = Vec::new();
    if once && runs > 1 {
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
    if once && answers.any(|answer| Some(answer) != first) {
        found.push(Violation::Differs);
    }
    found
}

/// Compares a whole answer with the texts that the upstreams generated for its request.
///
/// # Errors
///
/// Returns [`Violation::Mismatch`] if it is none of them.
pub fn compare_answer(text: &str, generated: &[String]) -> Result<(), Violation> {
    if generated.iter().any(|run| run == text) {
        return Ok(());
    }
    Err(Violation::Mismatch)
}
