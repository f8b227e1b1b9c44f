//! The requests in progress: their placements, and the workers that wait for them.

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

use super::{Control, Destination, Directive, health::RunningRequest};

/// The requests in progress.
#[derive(Debug, Default)]
pub struct Requests {
    open: HashMap<u64, OpenRequest>,
    /// Intervals between events measured on each upstream's earlier answers.
    intervals: HashMap<Name, EventIntervals>,
    /// The request that delivers each answer, by the upstream's name and the engine's id of the answer.
    deliveries: HashMap<(String, String), u64>,
}

/// A request in progress.
#[derive(Debug)]
struct OpenRequest {
    reply: Sender<Directive>,
    fingerprint: Fingerprint,
    /// What the router was asked for; `None` if the request resumes an answer.
    request: Option<Request>,
    /// Where it runs; `None` while it waits for a placement.
    upstream: Option<Name>,
}

impl Requests {
    /// Number of requests in progress.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// The requests that run on `upstream`, without those that resume an answer.
    pub fn running_on(&self, upstream: &Name) -> Vec<RunningRequest> {
        let there = |open: &&OpenRequest| open.upstream.as_ref() == Some(upstream);
        self.open
            .values()
            .filter(there)
            .filter_map(OpenRequest::running)
            .collect()
    }
}

impl OpenRequest {
    /// The request as evidence in a crash report; `None` if it resumes an answer that another request
    /// started.
    fn running(&self) -> Option<RunningRequest> {
        let request = self.request.as_ref()?;
        Some(RunningRequest {
            fingerprint: self.fingerprint,
            isolated: request.exclusive,
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
        let open = OpenRequest {
            reply,
            fingerprint,
            request: Some(request.clone()),
            upstream: None,
        };
        self.requests.open.insert(id, open);
        self.place(request, fingerprint, now);
    }

    /// Asks the router for a placement. A request that is suspected of crashing upstreams is refused or
    /// placed in isolation.
    fn place(&mut self, mut request: Request, fingerprint: Fingerprint, now: Time) {
        let id = request.id;
        match self.suspects.verdict(fingerprint, now) {
            Verdict::Refuse { remaining } => {
                log::info!("suspect: request={id} refused for {} s", remaining.as_secs());
                let detail = "requests like this one have crashed upstreams";
                let problem = Problem::not_run(Code::Suspected, detail).with_retry_after(remaining);
                return self.send_directive(id, Directive::Refuse(problem));
            }
            Verdict::Isolated => {
                log::info!("suspect: request={id} is placed in isolation");
                request.exclusive = true;
            }
            Verdict::Clear => {}
        }
        if let Some(open) = self.requests.open.get_mut(&id) {
            open.request = Some(request.clone());
        }
        let outcome = self.router.submit(request, now);
        self.handle_outcome(id, outcome);
    }

    pub(super) fn retry(&mut self, id: u64, end: End, now: Time) {
        let Some(open) = self.requests.open.get(&id) else {
            return;
        };
        let upstream = open.upstream.clone().filter(|_| end == End::UpstreamDied);
        let (Some(upstream), Some(running)) = (upstream, open.running()) else {
            return self.retry_now(id, end, now);
        };
        self.record_broken(&upstream, running, now);
        self.hold_retry(upstream, id, end, now);
    }

    /// Records the incarnation that a response to a request showed; the upstream may not have sent a load
    /// report yet.
    pub(super) fn note_incarnation(&mut self, id: u64, incarnation: Option<u64>) {
        let upstream = self.requests.open.get(&id).and_then(|open| open.upstream.clone());
        if let (Some(upstream), Some(incarnation)) = (upstream, incarnation) {
            self.health.note_incarnation(&upstream, incarnation);
        }
    }

    /// Gives a request another placement. A suspect is removed from the router and submitted again, so that
    /// it is refused or placed in isolation.
    pub(super) fn retry_now(&mut self, id: u64, end: End, now: Time) {
        let Some(open) = self.requests.open.get_mut(&id) else {
            return;
        };
        let failed = open.upstream.take();
        let fingerprint = open.fingerprint;
        let suspected = self.suspects.verdict(fingerprint, now) != Verdict::Clear;
        let Some(mut request) = open.request.clone().filter(|_| suspected) else {
            let outcome = self.router.retry(id, router_end(end), now);
            return self.handle_outcome(id, outcome);
        };
        self.router.finish(id, router_end(end), now);
        request.excluded.extend(failed);
        self.place(request, fingerprint, now);
    }

    pub(super) fn finish(&mut self, id: u64, end: End, intervals: Option<&EventIntervals>, now: Time) {
        self.router.finish(id, router_end(end), now);
        self.requests.deliveries.retain(|_, by| *by != id);
        let Some(open) = self.requests.open.remove(&id) else {
            return;
        };
        let running = open.running();
        let Some(upstream) = open.upstream else {
            return;
        };
        match end {
            End::Complete { .. } => self.record_completion(open.fingerprint, now),
            End::UpstreamDied => {
                if let Some(running) = running {
                    self.record_broken(&upstream, running, now);
                }
            }
            End::Interrupted { .. } | End::Cancelled { .. } | End::Failed => {}
        }
        if let Some(intervals) = intervals {
            self.requests
                .intervals
                .entry(upstream)
                .or_default()
                .merge(intervals);
        }
    }

    /// A caller has resumed an answer at this instance: an earlier delivery of it must not cancel it.
    pub(super) fn on_resumed(&mut self, answer: (String, String), reply: Sender<Directive>, id: u64) {
        let open = OpenRequest {
            reply,
            fingerprint: Fingerprint(0),
            request: None,
            upstream: Name::new(&answer.0).ok(),
        };
        self.requests.open.insert(id, open);
        self.peers.announce_resumed(&answer.0, &answer.1);
        if let Some(earlier) = self.requests.deliveries.insert(answer, id) {
            self.send_directive(earlier, Directive::ResumedElsewhere);
        }
    }

    /// A caller has resumed an answer at another instance: a delivery at this one must not cancel it.
    pub(super) fn on_resumed_elsewhere(&mut self, upstream: String, answer: String) {
        if let Some(earlier) = self.requests.deliveries.remove(&(upstream, answer)) {
            self.send_directive(earlier, Directive::ResumedElsewhere);
        }
    }

    /// Records which request delivers an answer, so that a resumption elsewhere finds it.
    pub(super) fn on_answer_identified(&mut self, id: u64, answer: (String, String)) {
        if self.requests.open.contains_key(&id) {
            self.requests.deliveries.insert(answer, id);
        }
    }

    pub(super) fn poll_router(&mut self, now: Time) {
        if now < self.router.deadline() {
            return;
        }
        for event in self.router.poll(now) {
            match event {
                submit::Event::Placed(placement) => self.on_placed(placement),
                submit::Event::Refused(refusal) => self.on_refused(&refusal),
            }
        }
    }

    fn handle_outcome(&mut self, id: u64, outcome: Outcome) {
        match outcome {
            Outcome::Placed(placement) => self.on_placed(placement),
            Outcome::Queued => log::info!("route: request={id} queued"),
            Outcome::Refused(refusal) => self.on_refused(&refusal),
        }
    }

    fn on_placed(&mut self, placement: Placement) {
        log::info!("route: {placement}");
        metrics::counter!("carob_route_placements_total").increment(1);
        let id = placement.id;
        let intervals = self
            .requests
            .intervals
            .get(&placement.upstream)
            .cloned()
            .unwrap_or_default();
        if let Some(open) = self.requests.open.get_mut(&id) {
            open.upstream = Some(placement.upstream.clone());
        }
        let destination = Destination {
            upstream: placement.upstream,
            address: placement.address,
            priority: placement.priority,
            intervals,
        };
        self.send_directive(id, Directive::Send(Box::new(destination)));
    }

    fn on_refused(&mut self, refusal: &Refusal) {
        log::info!("route: {refusal}");
        metrics::counter!("carob_route_refusals_total").increment(1);
        self.send_directive(refusal.id, Directive::Refuse(refusal_problem(refusal)));
    }

    fn send_directive(&self, id: u64, directive: Directive) {
        let Some(open) = self.requests.open.get(&id) else {
            return;
        };
        if open.reply.send(directive).is_err() {
            log::debug!("control: directive for request={id} dropped, its worker has gone");
        }
    }
}

/// The end of an attempt as it is reported to the router. A broken connection alone does not prove that the
/// upstream's process crashed: the health check that follows it does, and only then is the upstream marked
/// down.
const fn router_end(end: End) -> End {
    match end {
        End::UpstreamDied => End::Failed,
        other => other,
    }
}

/// The problem that the caller of a refused request gets.
fn refusal_problem(refusal: &Refusal) -> Problem {
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
