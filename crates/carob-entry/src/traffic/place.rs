//! A worker's side of placement: it asks the control thread and waits.

use std::{sync::Arc, time::Duration};

use carob_base::Name;
use carob_route::{End, submit::Request};
use carob_stream::EventIntervals;
use carob_suspect::Fingerprint;
use carob_wire::{Code, Problem};
use flume::{Receiver, RecvTimeoutError};

use crate::{
    control::{Directive, Event, Go},
    shared::Shared,
};

/// How often a waiting worker looks whether its caller is still there.
const GONE_CHECK: Duration = Duration::from_millis(100);

/// A request that the control thread knows of, until it is finished.
#[derive(Debug)]
pub struct Place {
    shared: Arc<Shared>,
    id: u64,
    directives: Receiver<Directive>,
    finished: bool,
}

/// The end of a wait for a placement.
#[derive(Debug)]
pub enum Answer {
    /// Send the request there.
    Go(Box<Go>),
    /// Tell the caller.
    Refuse(Problem),
    /// The caller has gone.
    Gone,
}

impl Place {
    /// Asks for a placement of `request`.
    pub fn submit(shared: &Arc<Shared>, request: Request, fingerprint: Fingerprint) -> Self {
        let id = request.id;
        let (reply, directives) = flume::unbounded();
        shared.tell(Event::Submit {
            request,
            fingerprint,
            reply,
        });
        Self {
            shared: Arc::clone(shared),
            id,
            directives,
            finished: false,
        }
    }

    /// Registers a request that resumes an answer, which needs no placement.
    pub fn resumed(shared: &Arc<Shared>, id: u64, answer: (String, String)) -> Self {
        let (reply, directives) = flume::unbounded();
        shared.tell(Event::Resumed { answer, reply, id });
        Self {
            shared: Arc::clone(shared),
            id,
            directives,
            finished: false,
        }
    }

    /// The request's number.
    pub const fn id(&self) -> u64 {
        self.id
    }

    /// Waits for the control thread's answer; `is_gone` tells whether the caller has gone.
    pub fn wait(&self, is_gone: impl Fn() -> bool) -> Answer {
        loop {
            match self.directives.recv_timeout(GONE_CHECK) {
                Ok(Directive::Go(go)) => return Answer::Go(go),
                Ok(Directive::Refuse(problem)) => return Answer::Refuse(problem),
                Ok(Directive::ResumedElsewhere) => return Answer::Gone,
                Err(RecvTimeoutError::Timeout) if is_gone() => return Answer::Gone,
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Answer::Refuse(stopping()),
            }
        }
    }

    /// Asks for another upstream after the last one ended with `end`.
    ///
    /// `incarnation` is the last upstream's, if it was seen.
    pub fn retry(&self, end: End, incarnation: Option<u64>) {
        let id = self.id;
        self.shared.tell(Event::Retry { id, end, incarnation });
    }

    /// Tells how long the answer is by now.
    pub fn progress(&self, tokens: u32) {
        self.shared.tell(Event::Progress { id: self.id, tokens });
    }

    /// Tells the engine's name of the answer, by which a resumption elsewhere finds this request.
    pub fn named(&self, upstream: &Name, answer: &str) {
        let answer = (upstream.to_string(), answer.to_owned());
        self.shared.tell(Event::Named { id: self.id, answer });
    }

    /// Whether the caller has resumed the answer through another connection.
    pub fn resumed_elsewhere(&self) -> bool {
        matches!(self.directives.try_recv(), Ok(Directive::ResumedElsewhere))
    }

    /// The request has ended on its upstream.
    pub fn finish(self, end: End, pace: Option<&EventIntervals>) {
        self.finish_at(end, None, pace);
    }

    /// The request has ended on an upstream with this incarnation, if that was seen.
    pub fn finish_at(mut self, end: End, incarnation: Option<u64>, pace: Option<&EventIntervals>) {
        self.finished = true;
        let pace = pace.map(|pace| Box::new(pace.clone()));
        self.shared.tell(Event::Finish {
            id: self.id,
            end,
            incarnation,
            pace,
        });
    }
}

impl Drop for Place {
    /// A worker that panics must not leave its request open in the control state.
    fn drop(&mut self) {
        if !self.finished {
            let end = End::Interrupted { tokens: 0 };
            self.shared.tell(Event::Finish {
                id: self.id,
                end,
                incarnation: None,
                pace: None,
            });
        }
    }
}

fn stopping() -> Problem {
    Problem::not_run(Code::NotReady, "this instance is shutting down")
}
