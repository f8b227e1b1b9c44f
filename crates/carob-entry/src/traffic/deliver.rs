//! The loop that moves bytes between a delivery's connections and the caller.
//!
//! All decisions are made by the [`Delivery`]; this loop passes it the engine's events and carries out its
//! actions.

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
    count::TokenCounter,
    links::Connections,
    outlet::ResponseWriter,
    place::{Decision, RequestHandle},
};
use crate::{control::Destination, io::cancel::Task, shared::Shared};

/// Maximum wait for the engine before the caller's connection and the deadlines are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time without data to the caller after which a comment is sent to keep the connection alive.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum lifetime of one connection to an engine; the delivery resumes on a new one afterwards.
const CONNECTION_LIFETIME: Duration = Duration::from_mins(10);
/// Path of generations at every engine.
pub const ENGINE_PATH: &str = "/v1/responses";

/// The request that a delivery answers.
#[derive(Debug)]
pub struct Job {
    /// The account that owns the answer.
    pub account: Name,
    /// The request; `None` if an answer is resumed.
    pub create: Option<CreateRequest>,
    /// The upstream that generates the answer.
    pub destination: Box<Destination>,
}

/// Runs one delivery to its end.
#[derive(Debug)]
pub struct Driver {
    shared: Arc<Shared>,
    job: Job,
    /// `None` once the request is finished or handed to the canceller; the loop ends then.
    handle: Option<RequestHandle>,
    delivery: Delivery,
    /// `None` once the caller has its whole answer or has gone.
    response: Option<ResponseWriter>,
    connections: Connections,
    tokens: TokenCounter,
    /// The present upstream's incarnation, if a response showed it.
    incarnation: Option<u64>,
    /// Why the last failed connection of the present attempt ended.
    cause: Option<Cause>,
    /// When data was last sent to the caller.
    last_write: Time,
}

impl Driver {
    /// A driver for `delivery`, which has not been started.
    pub fn new(
        shared: &Arc<Shared>,
        job: Job,
        handle: RequestHandle,
        delivery: Delivery,
        response: ResponseWriter,
    ) -> Self {
        Self {
            shared: Arc::clone(shared),
            job,
            handle: Some(handle),
            delivery,
            response: Some(response),
            connections: Connections::new(),
            tokens: TokenCounter::default(),
            incarnation: None,
            cause: None,
            last_write: shared.now(),
        }
    }

    /// Runs until the answer is complete, has failed, or the caller has gone.
    pub fn run(mut self) {
        let actions = self
            .delivery
            .start(self.job.destination.intervals.clone(), self.shared.now());
        self.perform(actions);
        while self.handle.is_some() {
            let now = self.shared.now();
            let wait = self.delivery.deadline().since(now).min(POLL_INTERVAL);
            match self.connections.recv(wait) {
                Some(tagged) => self.on_part(tagged),
                None => self.tick(),
            }
            self.release_drained();
        }
    }

    fn tick(&mut self) {
        let now = self.shared.now();
        if self.response.as_ref().is_some_and(ResponseWriter::is_gone) {
            return self.on_caller_gone("closed its connection");
        }
        if self
            .handle
            .as_ref()
            .is_some_and(RequestHandle::check_resumed_elsewhere)
        {
            return self.on_resumed_elsewhere();
        }
        if now.since(self.last_write) >= KEEP_ALIVE_INTERVAL {
            self.last_write = now;
            let alive = self.response.as_mut().map(ResponseWriter::keep_alive);
            if let Some(Err(error)) = alive {
                return self.on_caller_gone(&error.to_string());
            }
        }
        if now >= self.delivery.deadline() {
            let actions = self.delivery.on_tick(now);
            self.perform(actions);
        }
    }

    /// Handles a part of an engine's response.
    fn on_part(&mut self, tagged: TaggedPart) {
        let conn = ConnId(tagged.tag);
        match tagged.part {
            Part::Head { status, headers } => {
                let incarnation = headers
                    .get(header::INCARNATION)
                    .and_then(|text| text.parse().ok());
                self.on_head(conn, status, incarnation.unwrap_or_default());
            }
            Part::Data(data) => self.on_data(conn, &data),
            Part::Failed(client::Error::Refused(_) | client::Error::NotSent(_)) => {
                self.on_failed(conn, Cause::Refused);
            }
            Part::End | Part::Failed(client::Error::Unknown(_)) => self.on_failed(conn, Cause::Ended),
        }
    }

    fn on_head(&mut self, conn: ConnId, status: u16, incarnation: u64) {
        let now = self.shared.now();
        match status {
            200 => {
                if incarnation != 0 {
                    self.incarnation.get_or_insert(incarnation);
                }
                let actions = self.delivery.on_head(conn, incarnation, now);
                self.perform(actions);
            }
            404 | 410 => self.on_failed(conn, Cause::NotFound),
            429 | 503 => self.on_failed(conn, Cause::Busy),
            _ => self.on_failed(conn, Cause::Rejected { status }),
        }
    }

    fn on_data(&mut self, conn: ConnId, data: &[u8]) {
        self.connections.feed(conn, data);
        while let Some(event) = self.connections.next_event(conn) {
            let Ok(event) = event else {
                return self.on_failed(conn, Cause::Malformed);
            };
            let now = self.shared.now();
            if let (Some(tokens), Some(handle)) = (self.tokens.record(&event, now), &self.handle) {
                handle.progress(tokens);
            }
            let actions = self.delivery.on_event(conn, event, now);
            self.perform(actions);
        }
    }

    fn on_failed(&mut self, conn: ConnId, cause: Cause) {
        self.connections.close(conn);
        self.cause = Some(cause);
        let now = self.shared.now();
        log::debug!(
            "stream: request={} upstream={} conn={} ended: {cause:?}",
            self.request_id(),
            self.job.destination.upstream,
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
                Action::Close(conn) => self.connections.close(conn),
                Action::Rerun { cause } => self.rerun(cause),
                Action::Cancel(generation) => self
                    .shared
                    .cancel(Task::cancel(&self.job.destination, generation)),
                Action::Fail(problem) => self.fail(&problem),
                Action::Finish(end) => self.finish(end),
            }
        }
    }

    fn deliver(&mut self, event: Event) {
        let Some(response) = self.response.take() else {
            return;
        };
        if event.kind() == Kind::Created
            && let (Some(handle), Some(answer)) = (&self.handle, &event.head.answer_id)
        {
            handle.set_answer(&self.job.destination.upstream, answer);
        }
        // Only events with a response object contain the id, and computing it costs more than passing a token
        // on.
        let answer = event
            .head
            .answer_id
            .as_ref()
            .map(|_| self.answer_id())
            .unwrap_or_default();
        match response.send(event, &answer, self.request_id()) {
            Ok(response) => {
                self.last_write = self.shared.now();
                self.response = Some(response);
            }
            Err(error) => self.on_caller_gone(&error.to_string()),
        }
    }

    fn open(&mut self, conn: ConnId, source: Source) {
        let destination = &self.job.destination;
        let request = match (source, &self.job.create) {
            (Source::Create, Some(create)) => client::Request::post(
                destination.address,
                ENGINE_PATH,
                create.body_for_engine(destination.priority),
            )
            .with_header("content-type", "application/json"),
            (Source::Create, None) => return,
            (Source::Resume { after }, _) => {
                client::Request::get(destination.address, &self.resume_path(after))
            }
        };
        log::debug!(
            "stream: request={} upstream={} conn={} {source:?}",
            self.request_id(),
            destination.upstream,
            conn.0
        );
        let request = request.with_deadline(CONNECTION_LIFETIME);
        self.connections.open(conn, &request);
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

    /// Runs the request again on another upstream; nothing has been sent to the caller yet.
    fn rerun(&mut self, cause: Option<Cause>) {
        let (Some(handle), Some(response)) = (&self.handle, &self.response) else {
            return;
        };
        log::info!(
            "stream: request={} upstream={} rerun after {cause:?}",
            handle.id(),
            self.job.destination.upstream
        );
        handle.retry(
            end_of_attempt(cause, self.tokens.count()),
            self.incarnation.take(),
        );
        self.tokens = TokenCounter::default();
        self.cause = None;
        match handle.wait(|| response.is_gone()) {
            Decision::Send(destination) => {
                self.job.destination = destination;
                let actions = self
                    .delivery
                    .start(self.job.destination.intervals.clone(), self.shared.now());
                self.perform(actions);
            }
            Decision::Refuse(_) => self.give_up(),
            Decision::CallerGone => self.on_caller_gone("closed its connection"),
        }
    }

    /// Fails the request, since no further upstream is available. The problem comes from the delivery, which
    /// knows whether an earlier attempt may have run.
    fn give_up(&mut self) {
        let delivery = std::mem::replace(&mut self.delivery, Delivery::new(carob_stream::Options::new()));
        let (problem, actions) = delivery.close();
        self.perform(actions);
        self.fail(&problem);
    }

    fn fail(&mut self, problem: &Problem) {
        log::info!(
            "stream: request={} upstream={} failed code={:?} outcome={}",
            self.request_id(),
            self.job.destination.upstream,
            problem.code,
            problem.outcome.as_str()
        );
        metrics::counter!("carob_stream_failures_total", "code" => format!("{:?}", problem.code))
            .increment(1);
        let answer = self.answer_id();
        let sequence = self.delivery.next_sequence();
        if let Some(response) = self.response.take() {
            response.fail(problem, sequence, &answer);
        }
        self.release(end_of_failure(self.cause, self.tokens.count()));
    }

    fn finish(&mut self, end: DeliveryEnd) {
        let answer = self.answer_id();
        let id = self.request_id();
        if let Some(response) = self.response.take() {
            response.close(&answer, id);
        }
        let tokens = self.tokens.count();
        log::debug!(
            "stream: request={id} upstream={} {end:?} tokens={tokens}",
            self.job.destination.upstream
        );
        self.release(match end {
            DeliveryEnd::Completed | DeliveryEnd::Incomplete => End::Complete { tokens },
            DeliveryEnd::Failed => End::Interrupted { tokens },
        });
    }

    /// Handles the loss of the caller: the canceller waits for a resumption, then cancels the generation.
    /// Until the engine has sent the answer's id the generation cannot be cancelled, so this loop continues
    /// to read.
    fn on_caller_gone(&mut self, reason: &str) {
        let Some(handle) = self.handle.take() else {
            return;
        };
        log::info!(
            "stream: request={} upstream={} caller gone: {reason}",
            handle.id(),
            self.job.destination.upstream
        );
        self.response = None;
        let actions = self.delivery.on_caller_gone(self.shared.now());
        if self.delivery.is_draining() {
            self.handle = Some(handle);
            return;
        }
        let placeholder = Delivery::new(carob_stream::Options::new());
        let delivery = std::mem::replace(&mut self.delivery, placeholder);
        let tokens = self.tokens.count();
        self.shared
            .cancel(Task::abandon(&self.job.destination, delivery, handle, tokens));
        self.perform(actions);
        self.connections.close_all();
    }

    /// Releases the request once a delivery without a caller is over.
    fn release_drained(&mut self) {
        if self.response.is_none() && self.delivery.is_over() {
            let tokens = self.tokens.count();
            self.release(End::Cancelled { tokens });
        }
    }

    fn on_resumed_elsewhere(&mut self) {
        let actions = self.delivery.on_resumed_elsewhere();
        self.perform(actions);
        self.response = None;
        let tokens = self.tokens.count();
        self.release(End::Interrupted { tokens });
    }

    fn release(&mut self, end: End) {
        if let Some(handle) = self.handle.take() {
            handle.finish_with_incarnation(end, self.incarnation, Some(self.delivery.intervals()));
        }
        self.connections.close_all();
    }

    fn answer_id(&self) -> String {
        answer::id_of(
            &self.shared,
            &self.job.account,
            &self.job.destination.upstream,
            self.delivery.generation(),
        )
    }

    fn request_id(&self) -> u64 {
        self.handle.as_ref().map_or(0, RequestHandle::id)
    }
}

/// The end that is reported for an attempt which is run again on another upstream.
const fn end_of_attempt(cause: Option<Cause>, tokens: u32) -> End {
    match cause {
        Some(Cause::Refused | Cause::Ended | Cause::NotFound) => End::UpstreamDied,
        Some(Cause::Busy | Cause::Rejected { .. } | Cause::Malformed) => End::Failed,
        None => End::Interrupted { tokens },
    }
}

/// The end that is reported for the last attempt of an answer that has failed.
const fn end_of_failure(cause: Option<Cause>, tokens: u32) -> End {
    match cause {
        // The engine rejected the request itself, which is no failure of the upstream.
        Some(Cause::Rejected { status: 400..=499 }) => End::Cancelled { tokens },
        _ => end_of_attempt(cause, tokens),
    }
}
