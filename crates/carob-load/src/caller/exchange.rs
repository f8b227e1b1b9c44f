//! A generation as a pure state machine: what the connection shows goes in, the next step comes out.

use std::time::Duration;

use bytes::Bytes;
use carob_base::Time;
use carob_wire::{
    Code,
    event::{Event, Kind},
};
use serde::Deserialize;

use super::{Gap, Outcome, Record};
use crate::{
    arrivals::{Arrival, Behaviour},
    check::{self, Refusal, SendOutcome, SequenceCheck, Violation},
    workload::Class,
};

/// Most attempts to resume an answer without any event in between.
const ATTEMPTS: u32 = 8;
/// Pause before the first attempt to resume, and growth with every further one.
const PAUSE: Duration = Duration::from_millis(50);

carob_base::plain! {
    /// What the caller does next.
    pub enum Step {
        /// Reads on.
        Read,
        /// Pauses, then reads on.
        Pause(Duration),
        /// Closes the connection, pauses, and sends the request for [`Exchange::resume_path`].
        Reconnect(Duration),
        /// Closes the connection; the exchange is over.
        End,
    }
}

/// The state of a generation's exchange.
#[derive(Clone, Debug)]
pub struct Exchange {
    arrival: Arrival,
    path: String,
    refusal_timeout: Duration,
    sequence: SequenceCheck,
    sent_at: Time,
    first_token: Option<Time>,
    /// When the last token came, unless the caller itself has delayed the next one.
    latest: Option<Time>,
    gaps: Vec<Gap>,
    tokens: u32,
    resumed: u32,
    attempts: u32,
    /// Whether the caller still has to break the connection.
    breaks: bool,
    violations: Vec<Violation>,
    outcome: Option<Outcome>,
}

/// The fields of a failure event that tell its cause.
#[derive(Deserialize)]
struct Failure {
    response: FailedResponse,
}

#[derive(Deserialize)]
struct FailedResponse {
    error: Cause,
}

#[derive(Deserialize)]
struct Cause {
    code: Code,
}

impl Exchange {
    /// The exchange of `arrival`, whose request is sent `now`.
    pub fn new(arrival: Arrival, class: &Class, now: Time) -> Self {
        Self {
            breaks: matches!(arrival.behaviour, Behaviour::Resume { .. }),
            arrival,
            path: class.path.clone(),
            refusal_timeout: class.refusal_timeout,
            sequence: SequenceCheck::new(),
            sent_at: now,
            first_token: None,
            latest: None,
            gaps: Vec::new(),
            tokens: 0,
            resumed: 0,
            attempts: 0,
            violations: Vec::new(),
            outcome: None,
        }
    }

    /// Path that resumes the answer; `None` if nothing has come, so that the request is sent as at first.
    pub fn resume_path(&self) -> Option<String> {
        let answer = self.sequence.answer_id()?;
        let after = self.sequence.last_sequence()?;
        Some(format!(
            "{}/{answer}?stream=true&starting_after={after}",
            self.path
        ))
    }

    /// Attempts so far to reach a listener, for the choice of the next one.
    pub const fn attempts(&self) -> u32 {
        self.attempts + self.resumed
    }

    /// The data of an event came.
    pub fn on_data(&mut self, data: Bytes, now: Time) -> Step {
        self.attempts = 0;
        let Ok(event) = Event::parse(data) else {
            return self.end_with(Violation::Malformed);
        };
        if let Err(violation) = self.sequence.check_event(&event) {
            self.violations.push(violation);
        }
        match event.kind() {
            Kind::Delta => self.token(now),
            Kind::Completed => self.end(Outcome::Whole),
            Kind::Incomplete => self.end(Outcome::Incomplete),
            Kind::Failed => self.end(Outcome::Failed(failure_code(&event))),
            Kind::Created | Kind::Other => Step::Read,
        }
    }

    /// A response other than a stream came.
    pub fn on_refusal(&mut self, refusal: &Refusal, now: Time) -> Step {
        let problem = match refusal.problem() {
            Ok(problem) => problem,
            Err(violation) => {
                self.violations.push(violation);
                return self.end(Outcome::Untyped(refusal.status));
            }
        };
        if self.sequence.last_sequence().is_none() {
            if let Err(violation) = check::check_refusal_time(now.since(self.sent_at), self.refusal_timeout) {
                self.violations.push(violation);
            }
            return self.end(Outcome::Refused(problem));
        }
        if matches!(
            problem.code,
            Code::NotReady | Code::NoUpstream | Code::Overloaded | Code::AccountBusy
        ) {
            return self.reconnect(Outcome::Failed(Some(problem.code)));
        }
        self.end(Outcome::Failed(Some(problem.code)))
    }

    /// No connection could be made; nothing was sent.
    pub fn on_unreachable(&mut self) -> Step {
        self.reconnect(Outcome::Broken)
    }

    /// The connection broke.
    pub fn on_disconnect(&mut self) -> Step {
        if self.sequence.answer_id().is_none() {
            return self.end(Outcome::Broken);
        }
        self.reconnect(Outcome::Broken)
    }

    /// The body ended as if it were whole.
    pub fn on_end(&mut self) -> Step {
        self.violations.push(Violation::Cut);
        self.on_disconnect()
    }

    /// The caller's patience ended.
    pub fn on_timeout(&mut self) -> Step {
        self.end(Outcome::Expired)
    }

    /// The record of the exchange, whose request is marked with `key` in the upstreams' record.
    pub fn into_record(self, key: String, now: Time) -> Record {
        let outcome = self.outcome.unwrap_or(Outcome::Broken);
        let sent = match &outcome {
            Outcome::Refused(problem) => SendOutcome::Refused(problem.outcome),
            _ if self.sequence.last_sequence().is_some() => SendOutcome::Answered(200, Bytes::new()),
            _ => SendOutcome::Lost,
        };
        Record {
            arrival: self.arrival,
            key,
            sends: vec![sent],
            text: (outcome == Outcome::Whole).then(|| self.sequence.into_text()),
            sent_at: self.sent_at,
            first_token: self.first_token,
            gaps: self.gaps,
            tokens: self.tokens,
            resumed: self.resumed,
            end: now,
            outcome,
            violations: self.violations,
        }
    }

    fn token(&mut self, now: Time) -> Step {
        self.tokens += 1;
        self.first_token = self.first_token.or(Some(now));
        if let Some(latest) = self.latest.replace(now) {
            self.gaps.push(Gap {
                end: now,
                duration: now.since(latest),
            });
        }
        match self.arrival.behaviour {
            Behaviour::Vanish { after } if self.tokens >= after => self.end(Outcome::Vanished),
            Behaviour::Resume { after } if self.breaks && self.tokens >= after => {
                self.breaks = false;
                self.latest = None;
                self.resumed += 1;
                Step::Reconnect(Duration::ZERO)
            }
            Behaviour::Slow { pause } => {
                self.latest = None;
                Step::Pause(pause)
            }
            _ => Step::Read,
        }
    }

    /// Tries again unless there were too many attempts, which end the exchange with `outcome`.
    fn reconnect(&mut self, outcome: Outcome) -> Step {
        if self.attempts >= ATTEMPTS {
            return self.end(outcome);
        }
        self.attempts += 1;
        if self.sequence.answer_id().is_some() {
            self.resumed += 1;
        }
        Step::Reconnect(PAUSE * self.attempts)
    }

    fn end(&mut self, outcome: Outcome) -> Step {
        self.outcome = Some(outcome);
        Step::End
    }

    fn end_with(&mut self, violation: Violation) -> Step {
        self.violations.push(violation);
        self.end(Outcome::Broken)
    }
}

fn failure_code(event: &Event) -> Option<Code> {
    let failure: Failure = serde_json::from_slice(&event.data).ok()?;
    Some(failure.response.error.code)
}
