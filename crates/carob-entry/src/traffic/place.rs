//! A worker's handle of its request, through which it asks the control thread for placements and waits for
//! them.

use std::{sync::Arc, time::Duration};

use carob_base::Name;
use carob_route::{End, submit::Request};
use carob_stream::EventIntervals;
use carob_suspect::Fingerprint;
use carob_wire::{Code, Problem};
use flume::{Receiver, RecvTimeoutError};

use crate::{
    control::{Destination, Directive, Event},
    shared::Shared,
};

/// Interval at which a waiting worker checks whether its caller has gone.
const GONE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A request that is registered at the control thread until it is finished.
#[derive(Debug)]
pub struct RequestHandle {
    shared: Arc<Shared>,
    id: u64,
    directives: Receiver<Directive>,
    finished: bool,
}

/// The result of a wait for a placement.
#[derive(Debug)]
pub enum Decision {
    /// Send the request to this upstream.
    Send(Box<Destination>),
    /// Refuse the request with this problem.
    Refuse(Problem),
    /// The caller has gone, or has resumed the answer elsewhere.
    CallerGone,
}

impl RequestHandle {
    /// Registers `request` and asks for a placement.
    pub fn submit(shared: &Arc<Shared>, request: Request, fingerprint: Fingerprint) -> Self {
        let id = request.id;
        let (reply, directives) = flume::unbounded();
        shared.send_event(Event::Submit {
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
    pub fn resume(shared: &Arc<Shared>, id: u64, answer: (String, String)) -> Self {
        let (reply, directives) = flume::unbounded();
        shared.send_event(Event::Resumed { answer, reply, id });
        Self {
            shared: Arc::clone(shared),
            id,
            directives,
            finished: false,
        }
    }

    /// The request's number, unique within this process.
    pub const fn id(&self) -> u64 {
        self.id
    }

    /// Waits for the control thread's answer; `is_gone` returns whether the caller has disconnected.
    pub fn wait(&self, is_gone: impl Fn() -> bool) -> Decision {
        loop {
            match self.directives.recv_timeout(GONE_CHECK_INTERVAL) {
                Ok(Directive::Send(destination)) => return Decision::Send(destination),
                Ok(Directive::Refuse(problem)) => return Decision::Refuse(problem),
                Ok(Directive::ResumedElsewhere) => return Decision::CallerGone,
                Err(RecvTimeoutError::Timeout) if is_gone() => return Decision::CallerGone,
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Decision::Refuse(shutting_down()),
            }
        }
    }

    /// Asks for another upstream after the attempt on the last one ended with `end`.
    ///
    /// `incarnation` is the last upstream's, if a response showed it.
    pub fn retry(&self, end: End, incarnation: Option<u64>) {
        let id = self.id;
        self.shared.send_event(Event::Retry { id, end, incarnation });
    }

    /// Reports the number of tokens received so far.
    pub fn progress(&self, tokens: u32) {
        self.shared.send_event(Event::Progress { id: self.id, tokens });
    }

    /// Registers the engine's id of the answer, by which a resumption elsewhere finds this request.
    pub fn set_answer(&self, upstream: &Name, answer: &str) {
        let answer = (upstream.to_string(), answer.to_owned());
        self.shared
            .send_event(Event::AnswerIdentified { id: self.id, answer });
    }

    /// Checks whether the caller has resumed the answer through another connection; true once.
    pub fn check_resumed_elsewhere(&self) -> bool {
        matches!(self.directives.try_recv(), Ok(Directive::ResumedElsewhere))
    }

    /// Reports that the request has ended on its upstream.
    pub fn finish(self, end: End, intervals: Option<&EventIntervals>) {
        self.finish_with_incarnation(end, None, intervals);
    }

    /// Reports that the request has ended on an upstream with this incarnation, if a response showed it.
    pub fn finish_with_incarnation(
        mut self,
        end: End,
        incarnation: Option<u64>,
        intervals: Option<&EventIntervals>,
    ) {
        self.finished = true;
        let intervals = intervals.map(|intervals| Box::new(intervals.clone()));
        self.shared.send_event(Event::Finish {
            id: self.id,
            end,
            incarnation,
            intervals,
        });
    }
}

impl Drop for RequestHandle {
    /// Finishes the request of a worker that panicked, so that it does not stay open in the control state.
    fn drop(&mut self) {
        if !self.finished {
            let end = End::Interrupted { tokens: 0 };
            self.shared.send_event(Event::Finish {
                id: self.id,
                end,
                incarnation: None,
                intervals: None,
            });
        }
    }
}

fn shutting_down() -> Problem {
    Problem::not_run(Code::NotReady, "this instance is shutting down")
}
