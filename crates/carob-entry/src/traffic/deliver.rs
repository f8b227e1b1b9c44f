//! The loop that drives a delivery's connections.
//!
//! All decisions are the [`Delivery`]'s; this loop only moves bytes between its connections and the caller.

use std::{sync::Arc, time::Duration};

use carob_base::{Name, Time};
use carob_http::client::{self, Part, TaggedPart};
use carob_route::End;
use carob_stream::{Action, Actions, Cause, ConnId, Delivery, End as DeliveryEnd, Source};
use carob_wire::{
    Problem,
    create::CreateRequest,
    event::{Event, Kind},
    header,
};

use super::{
    answer,
    count::Count,
    links::Links,
    outlet::Outlet,
    place::{Answer, Place},
};
use crate::{control::Go, io::cancel::Task, shared::Shared};

/// How often a silent stream's caller is looked after.
const PULSE: Duration = Duration::from_millis(250);
/// Silence after which a comment is sent to the caller.
const KEEP_ALIVE: Duration = Duration::from_secs(10);
/// Longest life of one connection to an engine; the delivery resumes on another afterwards.
const CONNECTION_LIFE: Duration = Duration::from_mins(10);
/// Path of generations at every engine.
pub const ENGINE_PATH: &str = "/v1/responses";

/// What a delivery is for.
#[derive(Debug)]
pub struct Job {
    /// The account that owns the answer.
    pub account: Name,
    /// The request; `None` if an answer is resumed.
    pub create: Option<CreateRequest>,
    /// Where the request goes.
    pub go: Box<Go>,
}

/// Drives one delivery to its end.
#[derive(Debug)]
pub struct Driver {
    shared: Arc<Shared>,
    job: Job,
    place: Option<Place>,
    delivery: Delivery,
    outlet: Option<Outlet>,
    links: Links,
    count: Count,
    /// The present upstream's incarnation, if it was seen.
    incarnation: Option<u64>,
    /// Why the last connection ended.
    cause: Option<Cause>,
    /// When the caller last got anything.
    sent: Time,
}

impl Driver {
    /// A driver for `delivery`, which has not been started.
    pub fn new(shared: &Arc<Shared>, job: Job, place: Place, delivery: Delivery, outlet: Outlet) -> Self {
        Self {
            shared: Arc::clone(shared),
            job,
            place: Some(place),
            delivery,
            outlet: Some(outlet),
            links: Links::new(),
            count: Count::default(),
            incarnation: None,
            cause: None,
            sent: shared.now(),
        }
    }

    /// Runs until the answer is whole, has failed, or the caller has gone.
    pub fn run(mut self) {
        let actions = self.delivery.start(self.job.go.pace.clone(), self.shared.now());
        self.perform(actions);
        while self.place.is_some() {
            let now = self.shared.now();
            let wait = self.delivery.deadline().since(now).min(PULSE);
            match self.links.wait(wait) {
                Some(signal) => self.take(signal),
                None => self.tick(),
            }
            self.end_drained();
        }
    }

    fn tick(&mut self) {
        let now = self.shared.now();
        if self.outlet.as_ref().is_some_and(Outlet::is_gone) {
            return self.caller_gone("closed its connection");
        }
        if self.place.as_ref().is_some_and(Place::resumed_elsewhere) {
            return self.resumed_elsewhere();
        }
        if now.since(self.sent) >= KEEP_ALIVE {
            self.sent = now;
            let alive = self.outlet.as_mut().map(Outlet::keep_alive);
            if let Some(Err(error)) = alive {
                return self.caller_gone(&error.to_string());
            }
        }
        if now >= self.delivery.deadline() {
            let actions = self.delivery.on_tick(now);
            self.perform(actions);
        }
    }

    /// Takes in a part of an engine's response.
    fn take(&mut self, signal: TaggedPart) {
        let conn = ConnId(signal.tag);
        match signal.part {
            Part::Head { status, headers } => {
                let incarnation = headers
                    .get(header::INCARNATION)
                    .and_then(|text| text.parse().ok());
                self.head(conn, status, incarnation.unwrap_or_default());
            }
            Part::Data(data) => self.data(conn, &data),
            Part::Failed(client::Error::Refused(_) | client::Error::NotSent(_)) => {
                self.broken(conn, Cause::Refused);
            }
            Part::End | Part::Failed(client::Error::Unknown(_)) => self.broken(conn, Cause::Ended),
        }
    }

    fn head(&mut self, conn: ConnId, status: u16, incarnation: u64) {
        let now = self.shared.now();
        match status {
            200 => {
                if incarnation != 0 {
                    self.incarnation.get_or_insert(incarnation);
                }
                let actions = self.delivery.on_head(conn, incarnation, now);
                self.perform(actions);
            }
            404 | 410 => self.broken(conn, Cause::NotFound),
            429 | 503 => self.broken(conn, Cause::Busy),
            _ => self.broken(conn, Cause::Rejected { status }),
        }
    }

    fn data(&mut self, conn: ConnId, data: &[u8]) {
        self.links.feed(conn, data);
        while let Some(event) = self.links.next_event(conn) {
            let Ok(event) = event else {
                return self.broken(conn, Cause::Malformed);
            };
            let now = self.shared.now();
            if let (Some(tokens), Some(place)) = (self.count.note(&event, now), &self.place) {
                place.progress(tokens);
            }
            let actions = self.delivery.on_event(conn, event, now);
            self.perform(actions);
        }
    }

    fn broken(&mut self, conn: ConnId, cause: Cause) {
        self.links.close(conn);
        self.cause = Some(cause);
        let now = self.shared.now();
        log::debug!(
            "stream: request={} upstream={} conn={} ended: {cause:?}",
            self.id(),
            self.job.go.upstream,
            conn.0
        );
        let actions = self.delivery.on_connection_failed(conn, cause, now);
        self.perform(actions);
    }

    fn perform(&mut self, actions: Actions) {
        for action in actions {
            match action {
                Action::Deliver(event) => self.deliver(event),
                Action::Open { conn, source } => self.open(conn, source),
                Action::Close(conn) => self.links.close(conn),
                Action::Rerun { cause } => self.rerun(cause),
                Action::Cancel(generation) => self.shared.cancel(Task::cancel(&self.job.go, generation)),
                Action::Fail(problem) => self.fail(&problem),
                Action::Finish(end) => self.finish(end),
            }
        }
    }

    fn deliver(&mut self, event: Event) {
        let Some(outlet) = self.outlet.take() else {
            return;
        };
        if event.kind() == Kind::Created
            && let (Some(place), Some(answer)) = (&self.place, &event.head.answer_id)
        {
            place.named(&self.job.go.upstream, answer);
        }
        // Only events with a response object show the id, and making it costs more than passing a token on.
        let answer = event
            .head
            .answer_id
            .as_ref()
            .map(|_| self.answer_id())
            .unwrap_or_default();
        match outlet.send(event, &answer, self.id()) {
            Ok(outlet) => {
                self.sent = self.shared.now();
                self.outlet = Some(outlet);
            }
            Err(error) => self.caller_gone(&error.to_string()),
        }
    }

    fn open(&mut self, conn: ConnId, source: Source) {
        let go = &self.job.go;
        let request = match (source, &self.job.create) {
            (Source::Create, Some(create)) => {
                client::Request::post(go.address, ENGINE_PATH, create.body_for_engine(go.priority))
                    .with_header("content-type", "application/json")
            }
            (Source::Create, None) => return,
            (Source::Resume { after }, _) => client::Request::get(go.address, &self.resume_path(after)),
        };
        log::debug!(
            "stream: request={} upstream={} conn={} {source:?}",
            self.id(),
            go.upstream,
            conn.0
        );
        let request = request.with_deadline(CONNECTION_LIFE);
        self.links.open(conn, &request);
    }

    fn resume_path(&self, after: Option<u64>) -> String {
        let answer = self
            .delivery
            .generation()
            .answer_id
            .as_deref()
            .unwrap_or_default();
        let after = after.map_or_else(String::new, |after| format!("&starting_after={after}"));
        format!("{ENGINE_PATH}/{answer}?stream=true{after}")
    }

    /// Nothing has reached the caller: asks for another upstream.
    fn rerun(&mut self, cause: Option<Cause>) {
        let (Some(place), Some(outlet)) = (&self.place, &self.outlet) else {
            return;
        };
        log::info!(
            "stream: request={} upstream={} rerun after {cause:?}",
            place.id(),
            self.job.go.upstream
        );
        place.retry(
            end_of_attempt(cause, self.count.tokens()),
            self.incarnation.take(),
        );
        self.count = Count::default();
        self.cause = None;
        match place.wait(|| outlet.is_gone()) {
            Answer::Go(go) => {
                self.job.go = go;
                let actions = self.delivery.start(self.job.go.pace.clone(), self.shared.now());
                self.perform(actions);
            }
            Answer::Refuse(_) => self.give_up(),
            Answer::Gone => self.caller_gone("closed its connection"),
        }
    }

    /// Routing has no further upstream. The delivery knows whether an earlier attempt may have run.
    fn give_up(&mut self) {
        let delivery = std::mem::replace(&mut self.delivery, Delivery::new(carob_stream::Options::new()));
        let (problem, actions) = delivery.close();
        self.perform(actions);
        self.fail(&problem);
    }

    fn fail(&mut self, problem: &Problem) {
        log::info!(
            "stream: request={} upstream={} failed code={:?} outcome={}",
            self.id(),
            self.job.go.upstream,
            problem.code,
            problem.outcome.as_str()
        );
        metrics::counter!("carob_stream_failures_total", "code" => format!("{:?}", problem.code))
            .increment(1);
        let answer = self.answer_id();
        let sequence = self.delivery.next_sequence();
        if let Some(outlet) = self.outlet.take() {
            outlet.fail(problem, sequence, &answer);
        }
        self.release(end_of_failure(self.cause, self.count.tokens()));
    }

    fn finish(&mut self, end: DeliveryEnd) {
        let answer = self.answer_id();
        let id = self.id();
        if let Some(outlet) = self.outlet.take() {
            outlet.close(&answer, id);
        }
        let tokens = self.count.tokens();
        log::debug!(
            "stream: request={id} upstream={} {end:?} tokens={tokens}",
            self.job.go.upstream
        );
        self.release(match end {
            DeliveryEnd::Completed | DeliveryEnd::Incomplete => End::Complete { tokens },
            DeliveryEnd::Failed => End::Interrupted { tokens },
        });
    }

    /// The caller has gone: the canceller waits for a resumption, then cancels. Until the engine has told the
    /// answer's id, there is nothing to cancel by, and this driver goes on reading.
    fn caller_gone(&mut self, why: &str) {
        let Some(place) = self.place.take() else {
            return;
        };
        log::info!(
            "stream: request={} upstream={} caller gone: {why}",
            place.id(),
            self.job.go.upstream
        );
        self.outlet = None;
        let actions = self.delivery.on_caller_gone(self.shared.now());
        if self.delivery.is_draining() {
            self.place = Some(place);
            return;
        }
        let fresh = Delivery::new(carob_stream::Options::new());
        let delivery = std::mem::replace(&mut self.delivery, fresh);
        let tokens = self.count.tokens();
        self.shared
            .cancel(Task::abandon(&self.job.go, delivery, place, tokens));
        self.perform(actions);
        self.links.close_all();
    }

    /// Ends the driver once a delivery without a caller is over.
    fn end_drained(&mut self) {
        if self.outlet.is_none() && self.delivery.is_over() {
            let tokens = self.count.tokens();
            self.release(End::Cancelled { tokens });
        }
    }

    fn resumed_elsewhere(&mut self) {
        let actions = self.delivery.on_resumed_elsewhere();
        self.perform(actions);
        self.outlet = None;
        let tokens = self.count.tokens();
        self.release(End::Interrupted { tokens });
    }

    fn release(&mut self, end: End) {
        if let Some(place) = self.place.take() {
            place.finish_at(end, self.incarnation, Some(self.delivery.intervals()));
        }
        self.links.close_all();
    }

    fn answer_id(&self) -> String {
        answer::id_of(
            &self.shared,
            &self.job.account,
            &self.job.go.upstream,
            self.delivery.generation(),
        )
    }

    fn id(&self) -> u64 {
        self.place.as_ref().map_or(0, Place::id)
    }
}

/// How an attempt that is rerun elsewhere ended on its upstream.
const fn end_of_attempt(cause: Option<Cause>, tokens: u32) -> End {
    match cause {
        Some(Cause::Refused | Cause::Ended | Cause::NotFound) => End::UpstreamDied,
        Some(Cause::Busy | Cause::Rejected { .. } | Cause::Malformed) => End::Failed,
        None => End::Interrupted { tokens },
    }
}

/// How an answer that has failed for good ended on its upstream.
const fn end_of_failure(cause: Option<Cause>, tokens: u32) -> End {
    match cause {
        // The request itself is at fault, which says nothing about the upstream.
        Some(Cause::Rejected { status: 400..=499 }) => End::Cancelled { tokens },
        _ => end_of_attempt(cause, tokens),
    }
}
