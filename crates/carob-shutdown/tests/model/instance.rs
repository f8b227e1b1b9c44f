//! An instance that asks [`Shutdown`] at the same points as the gateway does.

use std::time::Duration;

use carob_base::Time;
use carob_dispatch::{
    outcome::{self, AttemptResult, NextAction},
    table::RouteKind,
};
use carob_shutdown::{Bounds, Options, Shutdown};

/// Number of upstreams that may run a safe request.
const MAX_ATTEMPTS: u32 = 2;

/// Times that differ between deployments.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub notice: Duration,
    /// The grace in the settings at the start.
    pub grace: Option<Duration>,
    /// Whether idle connections stay open after the notice, so that requests go on arriving.
    pub keeps_idle: bool,
    /// How late the final answer at a deadline is, while the process exits on time.
    pub lag: Duration,
    /// Whether a request may not end unanswered in the queue.
    pub answers_queued: bool,
}

/// How an attempt ends, unless the deadline is earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Complete,
    NoAnswer(AttemptResult),
}

/// What will happen to a request.
#[derive(Clone, Debug)]
pub struct Plan {
    pub kind: RouteKind,
    /// Time from its arrival until its final answer in any case.
    pub deadline: Duration,
    /// Time that its longest permitted answer takes at the usual speed.
    pub longest: Duration,
    /// Time until its body is read; `None` if it never is.
    pub body: Option<Duration>,
    /// Time in the queue before each attempt; `None` if no upstream gets free.
    pub wait: Option<Duration>,
    /// How long it may wait in the queue after its arrival.
    pub patience: Duration,
    /// How long each attempt takes, however long that is, and how it ends; the last one is repeated.
    pub attempts: Vec<(Option<Duration>, End)>,
    /// Time until the client has taken the response.
    pub flush: Duration,
}

/// What a client is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Complete,
    /// The upstream's failure.
    Failure,
    /// The request has not run, and the shutdown is the reason.
    Refused,
    /// The request has not run, for another reason.
    NotRun,
    /// It is unknown whether it has run.
    Unclear,
    /// The deadline has passed.
    Late,
    /// The body did not arrive in time.
    Incomplete,
}

/// How far a request has got; the times are when the phase ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Body(Time),
    Queue { granted: Time, gives_up: Time },
    Sent { ends: Time, end: End },
    Flush(Time),
    Answered,
}

/// A decision on a request, and whether it was admitted.
#[derive(Clone, Copy, Debug)]
pub struct Decision {
    pub at: Time,
    pub admitted: bool,
}

/// A request whose head has been read.
#[derive(Clone, Debug)]
pub struct Request {
    pub plan: Plan,
    pub arrival: Time,
    pub deadline: Time,
    pub phase: Phase,
    /// When it was sent to an upstream, for each attempt.
    pub sent: Vec<Time>,
    /// Attempts that may have run, and those that have not.
    pub ran: u32,
    pub rejected: u32,
    pub decisions: Vec<Decision>,
    pub answer: Option<(Answer, Time)>,
    /// Whether it was open when the process exited.
    pub cut: bool,
    connection: usize,
}

/// A client connection.
#[derive(Clone, Debug, Default)]
pub struct Connection {
    /// A part of a head has arrived.
    pub half_head: bool,
    pub closed: bool,
    /// Index of the request that it carries.
    carries: Option<usize>,
    /// A request that arrived before the response to the one before.
    next: Option<Plan>,
}

#[derive(Clone, Debug)]
pub struct Instance {
    pub now: Time,
    pub requests: Vec<Request>,
    pub connections: Vec<Connection>,
    pub shutdown: Option<Shutdown>,
    pub exited: Option<Time>,
    pub limits: Limits,
    /// Limits in force at the first signal.
    pub signalled: Option<(Time, Limits)>,
}

impl Instance {
    /// An instance that has accepted three connections.
    pub fn new(limits: Limits) -> Self {
        Self {
            now: Time::from_millis(1_000),
            requests: Vec::new(),
            connections: vec![Connection::default(); 3],
            shutdown: None,
            exited: None,
            limits,
            signalled: None,
        }
    }

    /// SIGTERM or SIGINT arrives.
    pub fn signal(&mut self) {
        if self.shutdown.is_some() || self.exited.is_some() {
            return;
        }
        let mut options = Options::new(self.limits.notice);
        options.grace = self.limits.grace;
        self.shutdown = Some(Shutdown::new(self.now, options));
        self.signalled = Some((self.now, self.limits));
        for index in 0..self.requests.len() {
            if matches!(self.requests[index].phase, Phase::Queue { .. }) && !self.admits(index) {
                self.refuse_or_unclear(index, Answer::Refused);
            }
        }
    }

    /// The listener accepts a connection.
    pub fn connect(&mut self) {
        let closes = self.shutdown.map_or(Time::NEVER, Shutdown::closes);
        if self.exited.is_none() && self.now < closes {
            self.connections.push(Connection::default());
        }
    }

    /// A client sends a request on an open connection.
    pub fn send(&mut self, pick: usize, plan: Plan) {
        let open = |connection: &&mut Connection| !connection.closed;
        let mut open: Vec<&mut Connection> = self.connections.iter_mut().filter(open).collect();
        let count = open.len().max(1);
        let Some(connection) = open.get_mut(pick % count).filter(|_| self.exited.is_none()) else {
            return;
        };
        connection.half_head = false;
        connection.next = Some(plan);
        self.read_heads();
    }

    /// The stream at `pick` goes on at another upstream and ends after `rest`.
    pub fn move_stream(&mut self, pick: usize, rest: Option<Duration>) {
        let now = self.now;
        let mut running: Vec<&mut Phase> = self
            .requests
            .iter_mut()
            .filter(|request| request.plan.kind.is_stream())
            .map(|request| &mut request.phase)
            .filter(|phase| matches!(phase, Phase::Sent { .. }))
            .collect();
        let count = running.len().max(1);
        if let Some(Phase::Sent { ends, .. }) = running.get_mut(pick % count) {
            *ends = rest.map_or(Time::NEVER, |rest| now + rest);
        }
    }

    /// Requests and responses that are not finished.
    pub fn open(&self) -> usize {
        let answered = |request: &&Request| request.phase != Phase::Answered;
        self.requests.iter().filter(answered).count()
    }

    /// When something is due next.
    pub fn next_event(&self) -> Time {
        let requests = self.requests.iter().map(|request| match request.phase {
            Phase::Body(until) => until.min(request.deadline + self.limits.lag),
            Phase::Queue { granted, gives_up } => granted.min(gives_up).min(self.recheck(request)),
            Phase::Sent { ends, .. } => ends.min(request.deadline + self.limits.lag),
            Phase::Flush(until) => until,
            Phase::Answered => Time::NEVER,
        });
        let shutdown = self.shutdown.map_or([Time::NEVER; 2], |shutdown| {
            [shutdown.closes(), shutdown.exit()].map(|time| if time > self.now { time } else { Time::NEVER })
        });
        requests.chain(shutdown).min().unwrap_or(Time::NEVER)
    }

    /// Does everything that is due now. The exit goes first, as no order of timers is promised.
    pub fn settle(&mut self) {
        self.exit_if_permitted();
        while self.exited.is_none() && self.run_due() {}
        self.exit_if_permitted();
    }

    fn exit_if_permitted(&mut self) {
        let open = self.open();
        let exits = self
            .shutdown
            .is_some_and(|shutdown| shutdown.may_exit(self.now, open));
        if self.exited.is_none() && exits {
            self.exited = Some(self.now);
            for request in &mut self.requests {
                request.cut = request.phase != Phase::Answered;
            }
        }
    }

    /// Closes idle connections after the notice, and starts requests whose heads have arrived.
    fn read_heads(&mut self) {
        for connection in 0..self.connections.len() {
            let found = &mut self.connections[connection];
            if found.closed || found.carries.is_some() {
                continue;
            }
            let closes = self.shutdown.map_or(Time::NEVER, Shutdown::closes);
            if self.now >= closes {
                found.closed = !found.half_head && !self.limits.keeps_idle;
            }
            let Some(plan) = found.next.take().filter(|_| !found.closed) else {
                continue;
            };
            found.carries = Some(self.requests.len());
            self.requests.push(Request {
                arrival: self.now,
                deadline: self.now + plan.deadline,
                phase: Phase::Body(plan.body.map_or(Time::NEVER, |time| self.now + time)),
                sent: Vec::new(),
                ran: 0,
                rejected: 0,
                decisions: Vec::new(),
                answer: None,
                cut: false,
                connection,
                plan,
            });
        }
    }

    /// Lets one request take its next step, if one is due.
    fn run_due(&mut self) -> bool {
        self.read_heads();
        for index in 0..self.requests.len() {
            let request = &self.requests[index];
            match request.phase {
                Phase::Body(until) if until <= self.now => self.reserve(index),
                Phase::Body(_) if request.deadline + self.limits.lag <= self.now => {
                    self.answer(index, Answer::Incomplete);
                }
                Phase::Queue { granted, .. } if granted <= self.now => {
                    if self.admits(index) {
                        self.send_upstream(index);
                    } else {
                        self.refuse_or_unclear(index, Answer::Refused);
                    }
                }
                Phase::Queue { .. } if self.is_hopeless(request) => {
                    self.refuse_or_unclear(index, Answer::Refused);
                }
                Phase::Queue { gives_up, .. } if gives_up <= self.now => {
                    self.refuse_or_unclear(index, Answer::NotRun);
                }
                Phase::Sent { ends, end } if ends <= self.now => self.end_attempt(index, end),
                Phase::Sent { .. } if request.deadline + self.limits.lag <= self.now => {
                    self.answer(index, Answer::Late);
                }
                Phase::Flush(until) if until <= self.now => {
                    let connection = request.connection;
                    self.requests[index].phase = Phase::Answered;
                    self.connections[connection].carries = None;
                    // A response during the shutdown carries `Connection: close`.
                    self.connections[connection].closed = self.shutdown.is_some() && !self.limits.keeps_idle;
                }
                _ => continue,
            }
            return true;
        }
        false
    }

    /// When a queued request is judged again, if that is still to come.
    fn recheck(&self, request: &Request) -> Time {
        let time = self
            .shutdown
            .map_or(Time::NEVER, |shutdown| shutdown.recheck(request.plan.longest));
        if time > self.now { time } else { Time::NEVER }
    }

    fn is_hopeless(&self, request: &Request) -> bool {
        let hopeless = |shutdown: Shutdown| !shutdown.admits(self.now, request.bounds(self.now));
        self.shutdown.is_some_and(hopeless)
    }

    /// Asks whether the request may be sent now.
    fn admits(&mut self, index: usize) -> bool {
        let Some(shutdown) = self.shutdown else {
            return true;
        };
        let request = &mut self.requests[index];
        let bounds = request.bounds(self.now);
        let admitted = shutdown.admits(self.now, bounds);
        request.decisions.push(Decision {
            at: self.now,
            admitted,
        });
        admitted
    }

    /// Looks for an upstream, and waits for one in the queue if there is none.
    fn reserve(&mut self, index: usize) {
        if !self.admits(index) {
            return self.refuse_or_unclear(index, Answer::Refused);
        }
        let request = &mut self.requests[index];
        let gives_up = request.deadline.min(request.arrival + request.plan.patience);
        match request.plan.wait {
            Some(Duration::ZERO) => self.send_upstream(index),
            _ if gives_up <= self.now => self.refuse_or_unclear(index, Answer::NotRun),
            wait => {
                let granted = wait.map_or(Time::NEVER, |wait| self.now + wait);
                request.phase = Phase::Queue { granted, gives_up };
            }
        }
    }

    fn send_upstream(&mut self, index: usize) {
        let request = &mut self.requests[index];
        let attempt = request.sent.len().min(request.plan.attempts.len() - 1);
        let (time, end) = request.plan.attempts[attempt];
        let ends = time.map_or(Time::NEVER, |time| self.now + time);
        request.sent.push(self.now);
        request.phase = Phase::Sent { ends, end };
    }

    fn end_attempt(&mut self, index: usize, end: End) {
        let End::NoAnswer(result) = end else {
            return self.answer(index, Answer::Complete);
        };
        let request = &mut self.requests[index];
        match result {
            AttemptResult::Unsent | AttemptResult::Rejected => request.rejected += 1,
            AttemptResult::Failed | AttemptResult::Unknown => request.ran += 1,
        }
        let next = outcome::next_action(
            request.plan.kind,
            result,
            request.ran,
            request.rejected,
            MAX_ATTEMPTS,
        );
        match next {
            NextAction::Retry if self.now < request.deadline => self.reserve(index),
            NextAction::Retry | NextAction::Refuse => self.refuse_or_unclear(index, Answer::NotRun),
            NextAction::ForwardFailure => self.answer(index, Answer::Failure),
            NextAction::OutcomeUnknown => self.answer(index, Answer::Unclear),
        }
    }

    /// Answers that the request has not run if that is true.
    fn refuse_or_unclear(&mut self, index: usize, refusal: Answer) {
        let unclear = self.requests[index].ran > 0;
        self.answer(index, if unclear { Answer::Unclear } else { refusal });
    }

    fn answer(&mut self, index: usize, answer: Answer) {
        let request = &mut self.requests[index];
        request.answer = Some((answer, self.now));
        request.phase = Phase::Flush(self.now + request.plan.flush);
    }
}

impl Request {
    pub fn bounds(&self, now: Time) -> Bounds {
        Bounds {
            deadline: self.deadline.since(now),
            longest: self.plan.longest,
        }
    }
}
