//! Placement of requests, and who waits for it.

use std::collections::HashMap;

use carob_base::{Name, Time};
use carob_route::{
    End,
    submit::{self, Cause, Outcome, Placement, Refusal, Request},
};
use carob_stream::EventIntervals;
use carob_suspect::{Fingerprint, Verdict};
use carob_wire::{Code, Problem};
use flume::Sender;

use super::{Control, Directive, Go, health::Running};

/// The requests in progress.
#[derive(Debug, Default)]
pub struct Requests {
    open: HashMap<u64, Open>,
    /// Each engine's usual pace.
    paces: HashMap<Name, EventIntervals>,
    /// Answers that are being delivered, by upstream and engine's id, with the request that delivers each.
    delivering: HashMap<(String, String), u64>,
}

/// A request in progress.
#[derive(Debug)]
struct Open {
    reply: Sender<Directive>,
    fingerprint: Fingerprint,
    /// What was asked for; `None` if the request resumes an answer.
    request: Option<Request>,
    upstream: Option<Name>,
}

impl Requests {
    /// Number of requests in progress.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// The requests that run on `upstream`.
    pub fn running_on(&self, upstream: &Name) -> Vec<Running> {
        let there = |open: &&Open| open.upstream.as_ref() == Some(upstream);
        self.open
            .values()
            .filter(there)
            .filter_map(Open::running)
            .collect()
    }
}

impl Open {
    /// The request as evidence; `None` if it resumes an answer that another request began.
    fn running(&self) -> Option<Running> {
        let request = self.request.as_ref()?;
        Some(Running {
            fingerprint: self.fingerprint,
            alone: request.exclusive,
        })
    }
}

impl Control {
    pub(super) fn submit(
        &mut self,
        request: Request,
        fingerprint: Fingerprint,
        reply: Sender<Directive>,
        now: Time,
    ) {
        let id = request.id;
        let open = Open {
            reply,
            fingerprint,
            request: Some(request.clone()),
            upstream: None,
        };
        self.requests.open.insert(id, open);
        self.place(request, fingerprint, now);
    }

    /// Asks the router for a placement, as far as the request is not suspected of crashing upstreams.
    fn place(&mut self, mut request: Request, fingerprint: Fingerprint, now: Time) {
        let id = request.id;
        match self.suspects.verdict(fingerprint, now) {
            Verdict::Refuse { remaining } => {
                log::info!("suspect: request={id} refused for {} s", remaining.as_secs());
                let detail = "requests like this one have crashed upstreams";
                let problem = Problem::not_run(Code::Suspected, detail).with_retry_after(remaining);
                return self.direct(id, Directive::Refuse(problem));
            }
            Verdict::Isolated => {
                log::info!("suspect: request={id} may run alone only");
                request.exclusive = true;
            }
            Verdict::Clear => {}
        }
        if let Some(open) = self.requests.open.get_mut(&id) {
            open.request = Some(request.clone());
        }
        let outcome = self.router.submit(request, now);
        self.answer(id, outcome);
    }

    pub(super) fn retry(&mut self, id: u64, end: End, now: Time) {
        let Some(open) = self.requests.open.get(&id) else {
            return;
        };
        let upstream = open.upstream.clone().filter(|_| end == End::UpstreamDied);
        let (Some(upstream), Some(running)) = (upstream, open.running()) else {
            return self.retry_now(id, end, now);
        };
        self.note_broken(&upstream, running, now);
        self.hold_retry(upstream, id, end, now);
    }

    /// A worker saw the incarnation of its upstream, which may not have sent a load report yet.
    pub(super) fn note_incarnation(&mut self, id: u64, incarnation: Option<u64>) {
        let upstream = self.requests.open.get(&id).and_then(|open| open.upstream.clone());
        if let (Some(upstream), Some(incarnation)) = (upstream, incarnation) {
            self.health.note_incarnation(&upstream, incarnation);
        }
    }

    /// Gives a request another placement. A suspect is taken off the router and placed anew, so that it is refused
    /// or runs alone.
    pub(super) fn retry_now(&mut self, id: u64, end: End, now: Time) {
        let Some(open) = self.requests.open.get_mut(&id) else {
            return;
        };
        let failed = open.upstream.take();
        let fingerprint = open.fingerprint;
        let suspected = self.suspects.verdict(fingerprint, now) != Verdict::Clear;
        let Some(mut request) = open.request.clone().filter(|_| suspected) else {
            let outcome = self.router.retry(id, for_router(end), now);
            return self.answer(id, outcome);
        };
        self.router.finish(id, for_router(end), now);
        request.excluded.extend(failed);
        self.place(request, fingerprint, now);
    }

    pub(super) fn finish(&mut self, id: u64, end: End, pace: Option<&EventIntervals>, now: Time) {
        self.router.finish(id, for_router(end), now);
        self.requests.delivering.retain(|_, by| *by != id);
        let Some(open) = self.requests.open.remove(&id) else {
            return;
        };
        let running = open.running();
        let Some(upstream) = open.upstream else {
            return;
        };
        match end {
            End::Complete { .. } => self.finished_well(open.fingerprint, now),
            End::UpstreamDied => {
                if let Some(running) = running {
                    self.note_broken(&upstream, running, now);
                }
            }
            End::Interrupted { .. } | End::Cancelled { .. } | End::Failed => {}
        }
        if let Some(pace) = pace {
            self.requests.paces.entry(upstream).or_default().merge(pace);
        }
    }

    /// A caller resumed an answer here: an earlier delivery of it must not cancel it.
    pub(super) fn resumed(&mut self, answer: (String, String), reply: Sender<Directive>, id: u64) {
        let open = Open {
            reply,
            fingerprint: Fingerprint(0),
            request: None,
            upstream: Name::new(&answer.0).ok(),
        };
        self.requests.open.insert(id, open);
        self.peers.note_resumed(&answer.0, &answer.1);
        if let Some(earlier) = self.requests.delivering.insert(answer, id) {
            self.direct(earlier, Directive::ResumedElsewhere);
        }
    }

    /// A caller has resumed an answer at another instance.
    pub(super) fn resumed_elsewhere(&mut self, upstream: String, answer: String) {
        if let Some(earlier) = self.requests.delivering.remove(&(upstream, answer)) {
            self.direct(earlier, Directive::ResumedElsewhere);
        }
    }

    /// The engine has named the answer to a request.
    pub(super) fn named(&mut self, id: u64, answer: (String, String)) {
        if self.requests.open.contains_key(&id) {
            self.requests.delivering.insert(answer, id);
        }
    }

    pub(super) fn poll_router(&mut self, now: Time) {
        if now < self.router.deadline() {
            return;
        }
        for event in self.router.poll(now) {
            match event {
                submit::Event::Placed(placement) => self.placed(placement),
                submit::Event::Refused(refusal) => self.refused(&refusal),
            }
        }
    }

    fn answer(&mut self, id: u64, outcome: Outcome) {
        match outcome {
            Outcome::Placed(placement) => self.placed(placement),
            Outcome::Queued => log::info!("route: request={id} queued"),
            Outcome::Refused(refusal) => self.refused(&refusal),
        }
    }

    fn placed(&mut self, placement: Placement) {
        log::info!("route: {placement}");
        metrics::counter!("carob_route_placements_total").increment(1);
        let id = placement.id;
        let pace = self
            .requests
            .paces
            .get(&placement.upstream)
            .cloned()
            .unwrap_or_default();
        if let Some(open) = self.requests.open.get_mut(&id) {
            open.upstream = Some(placement.upstream.clone());
        }
        let go = Go {
            upstream: placement.upstream,
            address: placement.address,
            priority: placement.priority,
            pace,
        };
        self.direct(id, Directive::Go(Box::new(go)));
    }

    fn refused(&mut self, refusal: &Refusal) {
        log::info!("route: {refusal}");
        metrics::counter!("carob_route_refusals_total").increment(1);
        self.direct(refusal.id, Directive::Refuse(problem_of(refusal)));
    }

    fn direct(&self, id: u64, directive: Directive) {
        let Some(open) = self.requests.open.get(&id) else {
            return;
        };
        if open.reply.send(directive).is_err() {
            log::debug!("control: nobody waits for request={id} any more");
        }
    }
}

/// How the router should take the end of an attempt. A broken connection alone does not prove that the upstream's
/// process died: the health check that follows it does, and takes the upstream out then.
const fn for_router(end: End) -> End {
    match end {
        End::UpstreamDied => End::Failed,
        other => other,
    }
}

/// What the caller of a refused request is told.
fn problem_of(refusal: &Refusal) -> Problem {
    let code = match refusal.cause {
        Cause::AccountBusy => Code::AccountBusy,
        Cause::Overloaded | Cause::Expired | Cause::RetryBudget => Code::Overloaded,
        Cause::TooLong => Code::TooLong,
        Cause::NoUpstream => Code::NoUpstream,
        Cause::UnknownService | Cause::UnknownAccount => Code::NotFound,
        Cause::BadId => Code::UpstreamFailed,
    };
    let problem = Problem::not_run(code, refusal.cause.to_string());
    match code {
        Code::TooLong | Code::NotFound => problem,
        _ => problem.with_retry_after(refusal.retry_after),
    }
}
