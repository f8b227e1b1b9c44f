//! A generation as a pure state machine: each event of the connection returns the caller's next step.

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

/// Maximum number of consecutive attempts to reconnect without receiving an event.
const MAX_ATTEMPTS: u32 = 8;
/// Delay before the first attempt to reconnect; each further attempt waits this much longer.
const RETRY_DELAY: Duration = Duration::from_millis(50);

carob_base::plain! {
    /// The caller's next step.
    pub enum Step {
        /// Continues reading.
        Read,
        /// Pauses, then continues reading.
        Pause(Duration),
        /// Closes the connection, pauses, and sends a request for [`Exchange::resume_path`], or the first
        /// request again if there is none.
        Reconnect(Duration),
        /// Closes the connection and ends the exchange.
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
    /// When the last token was received; `None` if the caller itself delays the next one.
    last_token: Option<Time>,
    gaps: Vec<Gap>,
    tokens: u32,
    resumed: u32,
    attempts: u32,
    /// Whether the caller has still to close the connection on purpose.
    disconnect_due: bool,
    violations: Vec<Violation>,
    outcome: Option<Outcome>,
}

/// The fields of a failure event that contain its code.
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
    /// Starts the exchange of `arrival`, whose request is sent at `now`.
    pub fn new(arrival: Arrival, class: &Class, now: Time) -> Self {
        Self {
            disconnect_due: matches!(arrival.behaviour, Behaviour::Resume { .. }),
            arrival,
            path: class.path.clone(),
            refusal_timeout: class.refusal_timeout,
            sequence: SequenceCheck::new(),
            sent_at: now,
            first_token: None,
            last_token: None,
            gaps: Vec::new(),
            tokens: 0,
            resumed: 0,
            attempts: 0,
            violations: Vec::new(),
            outcome: None,
        }
    }

    /// Path that resumes the answer; `None` before the first event, when the original request is sent again.
    pub fn resume_path(&self) -> Option<String> {
        let answer = self.sequence.answer_id()?;
        let after = self.sequence.last_sequence()?;
        Some(format!(
            "{}/{answer}?stream=true&starting_after={after}",
            self.path
        ))
    }

    /// Number of failed attempts and resumptions so far, from which the next listener is chosen.
    pub const fn attempts(&self) -> u32 {
        self.attempts + self.resumed
    }

    /// Handles the data of one event.
    pub fn on_data(&mut self, data: Bytes, now: Time) -> Step {
        self.attempts = 0;
        let Ok(event) = Event::parse(data) else {
            return self.end_with_violation(Violation::Malformed);
        };
        if let Err(violation) = self.sequence.check_event(&event) {
            self.violations.push(violation);
        }
        match event.kind() {
            Kind::Delta => self.on_token(now),
            Kind::Completed => self.end(Outcome::Whole),
            Kind::Incomplete => self.end(Outcome::Incomplete),
            Kind::Failed => self.end(Outcome::Failed(failure_code(&event))),
            Kind::Created | Kind::Other => Step::Read,
        }
    }

    /// Handles a response that is not a stream.
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

    /// Handles a failure to connect; nothing was sent.
    pub fn on_unreachable(&mut self) -> Step {
        self.reconnect(Outcome::Broken)
    }

    /// Handles the failure of the connection.
    pub fn on_disconnect(&mut self) -> Step {
        if self.sequence.answer_id().is_none() {
            return self.end(Outcome::Broken);
        }
        self.reconnect(Outcome::Broken)
    }

    /// Handles a regular end of the body before the answer's last event.
    pub fn on_end(&mut self) -> Step {
        self.violations.push(Violation::Cut);
        self.on_disconnect()
    }

    /// Ends the exchange because the caller's timeout elapsed.
    pub fn on_timeout(&mut self) -> Step {
        self.end(Outcome::Expired)
    }

    /// Ends the exchange and returns its record; `key` identifies the request in the upstreams' record.
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

    fn on_token(&mut self, now: Time) -> Step {
        self.tokens += 1;
        self.first_token = self.first_token.or(Some(now));
        if let Some(last) = self.last_token.replace(now) {
            self.gaps.push(Gap {
                end: now,
                duration: now.since(last),
            });
        }
        match self.arrival.behaviour {
            Behaviour::Vanish { after } if self.tokens >= after => self.end(Outcome::Vanished),
            Behaviour::Resume { after } if self.disconnect_due && self.tokens >= after => {
                self.disconnect_due = false;
                self.last_token = None;
                self.resumed += 1;
                Step::Reconnect(Duration::ZERO)
            }
            Behaviour::Slow { pause } => {
                self.last_token = None;
                Step::Pause(pause)
            }
            _ => Step::Read,
        }
    }

    /// Reconnects, or ends the exchange with `outcome` after [`MAX_ATTEMPTS`] consecutive attempts.
    fn reconnect(&mut self, outcome: Outcome) -> Step {
        if self.attempts >= MAX_ATTEMPTS {
            return self.end(outcome);
        }
        self.attempts += 1;
        if self.sequence.answer_id().is_some() {
            self.resumed += 1;
        }
        Step::Reconnect(RETRY_DELAY * self.attempts)
    }

    fn end(&mut self, outcome: Outcome) -> Step {
        self.outcome = Some(outcome);
        Step::End
    }

    fn end_with_violation(&mut self, violation: Violation) -> Step {
        self.violations.push(violation);
        self.end(Outcome::Broken)
    }
}

fn failure_code(event: &Event) -> Option<Code> {
    let failure: Failure = serde_json::from_slice(&event.data).ok()?;
    Some(failure.response.error.code)
}
