//! Plain calls, sent again and twice at once where the workload says so.

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

/// Most sends of one copy of a request.
const ATTEMPTS: u32 = 20;
/// Pause before a request whose answer was lost, or that is still in progress, is sent again.
const PAUSE: Duration = Duration::from_millis(100);
/// Lowest status that is the system's own fault unless a problem document explains it.
const SERVER_ERROR: u16 = 500;

/// Runs the exchange of `arrival` to its end.
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
    let (own, more) = call.copies();
    let key = call.key.clone().unwrap_or(spec.tag);
    record(arrival, key, sent_at, &own, &more)
}

fn new_key(seed: u64) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = now.map_or(0, |since| since.as_millis() as u64);
    key::uuid_v7(millis, &mut Xoshiro256PlusPlus::seed_from_u64(seed))
}

/// How one send ended.
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
    /// Idempotency key of a call that must run at most once.
    key: Option<String>,
    body: Bytes,
    deadline: Time,
}

impl Call<'_> {
    /// The replies to the first copy of the request, and to the copies that the caller's behaviour adds.
    fn copies(&self) -> (Vec<Reply>, Vec<Reply>) {
        match self.arrival.behaviour {
            Behaviour::Duplicate => thread::scope(|scope| {
                let duplicate = scope.spawn(|| self.settle(1));
                let own = self.settle(0);
                (own, duplicate.join().expect("a caller's thread does not panic"))
            }),
            Behaviour::Repeat => (self.settle(0), self.settle(1)),
            _ => (self.settle(0), Vec::new()),
        }
    }

    /// Sends one copy until its outcome is known or the caller gives up.
    fn settle(&self, first: u32) -> Vec<Reply> {
        let mut replies = Vec::new();
        for attempt in first..first + ATTEMPTS {
            let reply = self.send(attempt);
            let again = match &reply.outcome {
                Outcome::Broken => true,
                Outcome::Refused(problem) => problem.code == Code::KeyInProgress,
                _ => false,
            };
            replies.push(reply);
            if !again || self.left() < PAUSE {
                break;
            }
            thread::sleep(PAUSE);
        }
        replies
    }

    fn left(&self) -> Duration {
        self.deadline.since(self.context.clock.now())
    }

    fn send(&self, attempt: u32) -> Reply {
        let class = self.class;
        let mut request = self
            .context
            .request(self.arrival, attempt, &class.method, &class.path)
            .with_deadline(self.left());
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
            Ok(response) => self.reply(response, start, end),
            Err(error) => lost(&error, self.left().is_zero(), end),
        }
    }

    fn reply(&self, response: Response, start: Time, end: Time) -> Reply {
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
            Ok(problem) => self.refused(problem, start, end),
            Err(violation) => Reply {
                outcome: Outcome::Untyped(refusal.status),
                send: SendOutcome::Lost,
                violations: vec![violation],
                end,
            },
        }
    }

    fn refused(&self, problem: Problem, start: Time, end: Time) -> Reply {
        let late = check::check_refusal_time(end.since(start), self.class.refusal_timeout);
        Reply {
            send: SendOutcome::Refused(problem.outcome),
            outcome: Outcome::Refused(problem),
            violations: late.err().into_iter().collect(),
            end,
        }
    }
}

/// The reply to a send whose answer did not come.
fn lost(error: &Error, expired: bool, end: Time) -> Reply {
    let not_sent = matches!(error, Error::Refused(_) | Error::NotSent(_));
    Reply {
        outcome: if expired {
            Outcome::Expired
        } else {
            Outcome::Broken
        },
        // Nothing is in the upstream's record for a request that never left the caller.
        send: if not_sent {
            SendOutcome::NotSent
        } else {
            SendOutcome::Lost
        },
        violations: Vec::new(),
        end,
    }
}

fn record(arrival: Arrival, key: String, sent_at: Time, own: &[Reply], more: &[Reply]) -> Record {
    let last = own.last().expect("every copy is sent at least once");
    let all = || own.iter().chain(more);
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
