//! Plain calls, with the repeats and duplicates that the workload asks for.

use std::{
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use carob_base::Time;
use carob_http::client::{self, Error, Response};
use carob_wire::{Code, Problem, header, problem::MEDIA_TYPE};
use rand::{SeedableRng as _, rngs::Xoshiro256PlusPlus};

use super::{Context, Outcome, Record, key};
use crate::{
    RequestSpec,
    arrivals::{Arrival, Behaviour},
    check::{self, Refusal, SendOutcome, Violation},
    workload::{Class, Kind},
};

/// Maximum number of times that one copy of a request is sent.
const MAX_ATTEMPTS: u32 = 20;
/// Delay before a request is sent again because its answer was lost or it is still in progress.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Lowest status that, without a problem document, counts as an untyped refusal by the system itself.
const SERVER_ERROR: u16 = 500;

/// Runs the exchange of `arrival` and blocks until it ends.
pub fn run(context: &Context, arrival: Arrival) -> Record {
    let class = context.class(&arrival);
    let spec = RequestSpec::new(&arrival, &context.workload);
    let call = Call {
        context,
        arrival: &arrival,
        class,
        key: (class.kind == Kind::Order).then(|| new_key(arrival.seed)),
        body: context.target.body(&spec),
        deadline: arrival.at + class.timeout,
    };
    let sent_at = context.clock.now();
    let (first, second) = call.run_copies();
    let key = call.key.clone().unwrap_or(spec.tag);
    record(arrival, key, sent_at, &first, &second)
}

fn new_key(seed: u64) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = now.map_or(0, |since| since.as_millis() as u64);
    key::uuid_v7(millis, &mut Xoshiro256PlusPlus::seed_from_u64(seed))
}

/// Result of one send.
struct Reply {
    outcome: Outcome,
    send: SendOutcome,
    violations: Vec<Violation>,
    end: Time,
}

struct Call<'a> {
    context: &'a Context,
    arrival: &'a Arrival,
    class: &'a Class,
    /// Idempotency key; `None` for a call that may run more than once.
    key: Option<String>,
    body: Bytes,
    deadline: Time,
}

impl Call<'_> {
    /// Returns the replies to the first copy of the request, and to the second one if the caller's behaviour
    /// has one.
    fn run_copies(&self) -> (Vec<Reply>, Vec<Reply>) {
        match self.arrival.behaviour {
            Behaviour::Duplicate => thread::scope(|scope| {
                let duplicate = scope.spawn(|| self.send_copy(1));
                let first = self.send_copy(0);
                (first, duplicate.join().expect("a caller's thread does not panic"))
            }),
            Behaviour::Repeat => (self.send_copy(0), self.send_copy(1)),
            _ => (self.send_copy(0), Vec::new()),
        }
    }

    /// Sends one copy until its outcome is known or the caller gives up; `first` is the number of the first
    /// attempt.
    fn send_copy(&self, first: u32) -> Vec<Reply> {
        let mut replies = Vec::new();
        for attempt in first..first + MAX_ATTEMPTS {
            let reply = self.send(attempt);
            let retry = match &reply.outcome {
                Outcome::Broken => true,
                Outcome::Refused(problem) => problem.code == Code::KeyInProgress,
                _ => false,
            };
            replies.push(reply);
            if !retry || self.time_left() < RETRY_DELAY {
                break;
            }
            thread::sleep(RETRY_DELAY);
        }
        replies
    }

    fn time_left(&self) -> Duration {
        self.deadline.since(self.context.clock.now())
    }

    fn send(&self, attempt: u32) -> Reply {
        let class = self.class;
        let mut request = self
            .context
            .request(self.arrival, attempt, &class.method, &class.path)
            .with_deadline(self.time_left());
        if let Some(key) = &self.key {
            request = request.with_header(header::IDEMPOTENCY_KEY, key.as_str());
        }
        if class.method != "GET" {
            request = request
                .with_header("content-type", "application/json")
                .with_body(self.body.clone());
        }
        let start = self.context.clock.now();
        let result = client::call(&request);
        let end = self.context.clock.now();
        match result {
            Ok(response) => self.classify(response, start, end),
            Err(error) => failed_send(&error, self.time_left().is_zero(), end),
        }
    }

    fn classify(&self, response: Response, start: Time, end: Time) -> Reply {
        let refusal = Refusal {
            status: response.status,
            media_type: response.headers.get("content-type").map(str::to_owned),
            outcome: response.headers.get(header::OUTCOME).map(str::to_owned),
            body: response.body,
        };
        let typed = refusal
            .media_type
            .as_deref()
            .is_some_and(|media| media.starts_with(MEDIA_TYPE));
        if !typed && refusal.status < SERVER_ERROR {
            return Reply {
                outcome: Outcome::Whole,
                send: SendOutcome::Answered(refusal.status, refusal.body),
                violations: Vec::new(),
                end,
            };
        }
        match refusal.problem() {
            Ok(problem) => self.refusal_reply(problem, start, end),
            Err(violation) => Reply {
                outcome: Outcome::Untyped(refusal.status),
                send: SendOutcome::Lost,
                violations: vec![violation],
                end,
            },
        }
    }

    fn refusal_reply(&self, problem: Problem, start: Time, end: Time) -> Reply {
        let late = check::check_refusal_time(end.since(start), self.class.refusal_timeout);
        Reply {
            send: SendOutcome::Refused(problem.outcome),
            outcome: Outcome::Refused(problem),
            violations: late.err().into_iter().collect(),
            end,
        }
    }
}

/// The reply to a send that got no answer.
fn failed_send(error: &Error, expired: bool, end: Time) -> Reply {
    let not_sent = matches!(error, Error::Refused(_) | Error::NotSent(_));
    Reply {
        outcome: if expired {
            Outcome::Expired
        } else {
            Outcome::Broken
        },
        // A request that was never sent must not be in the upstream's record.
        send: if not_sent {
            SendOutcome::NotSent
        } else {
            SendOutcome::Lost
        },
        violations: Vec::new(),
        end,
    }
}

fn record(arrival: Arrival, key: String, sent_at: Time, first: &[Reply], second: &[Reply]) -> Record {
    let last = first.last().expect("every copy is sent at least once");
    let all = || first.iter().chain(second);
    Record {
        arrival,
        key,
        sends: all().map(|reply| reply.send.clone()).collect(),
        text: None,
        sent_at,
        first_token: None,
        gaps: Vec::new(),
        tokens: 0,
        resumed: 0,
        end: last.end,
        outcome: last.outcome.clone(),
        violations: all().flat_map(|reply| reply.violations.iter().copied()).collect(),
    }
}
