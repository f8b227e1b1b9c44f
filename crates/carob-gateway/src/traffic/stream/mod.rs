//! Passes the events of a stream on to the client as they arrive, across migrations to other upstreams.

use std::{cell::RefCell, rc::Rc, time::Duration};

use bytes::Bytes;
use carob_dispatch::{fleet::UpstreamHealth, position::Position};
use carob_platform::answer;
use http_body_util::BodyExt;
use hyper::{Response, header::CONTENT_LENGTH};
use tokio::{sync::Notify, time::Instant};

use super::{
    answer::ResponseBody,
    attempts::Attempts,
    call::Call,
    crash::SOUND_TIME,
    evacuation::Departure,
    exchange::upstream_name,
    framing::Framing,
    guard::{ActiveRequest, Reservation},
    link,
    listen::RequestCount,
    migrate::{self, MigrationOutcome, Progress},
    pace::EventPace,
    probe,
    queue::{self, Closed, QueueSender},
    resume::OpenStream,
};
use crate::{
    events::Splitter,
    memory::Kind,
    overhead::ReceivedBody,
    socket::{self, ConnectionTask},
};

mod failover;
mod forward;

/// Aborts the task when it is dropped.
struct AbortOnDrop<T>(tokio::task::JoinHandle<T>);

/// A migration in a task of its own: it goes on while the stream waits for a slow client.
type Migration = AbortOnDrop<MigrationOutcome>;

impl Migration {
    async fn outcome(&mut self) -> MigrationOutcome {
        let outcome = (&mut self.0).await;
        outcome.unwrap_or(MigrationOutcome::Failed("the move was aborted"))
    }
}

impl<T> Drop for AbortOnDrop<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A stream that is being passed on.
struct Stream {
    call: Rc<Call>,
    reservation: Reservation,
    body: ReceivedBody,
    driver: ConnectionTask,
    /// First bytes of the body, if they were read already.
    first_bytes: Option<Bytes>,
    client: QueueSender,
    /// When a pause of the client ended that was so long that the upstream may cut off the answer.
    paused_until: Option<Instant>,
    /// What marks the end of the body.
    framing: Framing,
    /// Whether the present upstream has to send an event before the end of its answer.
    owes_event: bool,
    splitter: Splitter,
    /// What the client has of the stream.
    position: Position,
    /// Upstreams that the request was sent to before the present one.
    attempts: Attempts,
    /// Number of events that were passed on, without comments.
    events: u32,
    /// How often the stream continued at another upstream.
    migrations: u32,
    /// When the first event was passed on.
    first_event: Option<Instant>,
    /// When the present upstream began to send events.
    writing_since: Option<Instant>,
    /// Whether it is recorded that the request does not crash its present upstream.
    proved: bool,
    /// Whether it was tried to continue the generation behind a lost link.
    rescue_tried: bool,
    /// When the present upstream last sent something.
    last_sign: Instant,
    /// When an event was last passed on.
    last_forwarded: Instant,
    /// When the present run counts as stalled if no event comes.
    stall_due: Instant,
    /// Longest time between two events.
    longest_pause: Duration,
    pace: EventPace,
}

/// Why a stream ended.
enum StreamEnd {
    /// All of it was passed on.
    Complete,
    /// The client has disconnected.
    ClientGone,
    /// The client reads so slowly that the answer was cut off, here or by its upstream.
    Unread,
    /// The deadline of the client or the route has passed.
    Late,
    /// The upstream failed, and the generation could not be continued elsewhere.
    Broken(String),
}

/// What a stream that is being passed on waits for.
enum StreamEvent {
    /// Bytes of the body.
    Bytes(Bytes),
    BodyEnded,
    BodyFailed(String),
    MigrationEnded(MigrationOutcome),
    Leaving,
    /// Nothing has come for so long that the link may be lost.
    Silent,
    /// No event has come for so long that the run has probably stalled.
    Stalled,
    ClientGone,
    Late,
}

/// Starts to pass on a stream whose head has arrived.
pub(super) fn start(
    call: &Rc<Call>,
    opened: OpenStream,
    attempts: Attempts,
    active: ActiveRequest,
    count: RequestCount,
) -> Response<ResponseBody> {
    let framing = Framing::of(&opened.response);
    let (mut parts, body) = opened.response.into_parts();
    answer::strip_hop_headers(&mut parts.headers);
    parts.headers.remove(CONTENT_LENGTH);
    let (client, chunks) = queue::channel(call, Kind::Stream);
    let stream = Stream {
        call: Rc::clone(call),
        reservation: opened.reservation,
        body,
        driver: opened.driver,
        first_bytes: opened.first_bytes,
        client,
        paused_until: None,
        framing,
        owes_event: !framing.is_explicit(),
        splitter: Splitter::new(),
        position: Position::new(call.last_event),
        attempts,
        events: 0,
        migrations: 0,
        first_event: None,
        writing_since: None,
        proved: false,
        rescue_tried: false,
        last_sign: Instant::now(),
        last_forwarded: Instant::now(),
        stall_due: Instant::now() + call.route.patience() / 2,
        longest_pause: Duration::ZERO,
        pace: EventPace::default(),
    };
    tokio::task::spawn_local(async move {
        let _counted = (active, count);
        stream.run().await;
    });
    Response::from_parts(parts, ResponseBody::chunks(chunks))
}

impl Stream {
    async fn run(mut self) {
        let end = loop {
            match self.forward_upstream().await {
                Ok(()) => {}
                Err(StreamEnd::ClientGone) if matches!(self.client.closed_by(), Some(Closed::Cut(_))) => {
                    break StreamEnd::Unread;
                }
                Err(end) => break end,
            }
        };
        let (outcome, reason) = match &end {
            StreamEnd::Complete => ("complete", String::new()),
            StreamEnd::ClientGone => ("client gone", String::new()),
            StreamEnd::Unread => ("cut: client does not read", String::new()),
            StreamEnd::Late => ("cut: time is over", String::new()),
            StreamEnd::Broken(reason) => ("cut: upstream broke off", reason.clone()),
        };
        let upstream = self.reservation.upstream;
        // The client may take long to read what it was sent before.
        drop((self.driver, self.body, self.reservation));
        if !matches!(end, StreamEnd::Complete | StreamEnd::ClientGone) {
            self.client.fail();
        }
        let level = if matches!(end, StreamEnd::Complete) {
            log::Level::Info
        } else {
            log::Level::Warn
        };
        metrics::counter!("carobhaven_streams_total", "outcome" => outcome).increment(1);
        let first = self.first_event.map(|first| first - self.call.arrival);
        if let Some(first) = first {
            metrics::histogram!("carobhaven_first_event_seconds").record(first.as_secs_f64());
        }
        metrics::histogram!("carobhaven_longest_pause_seconds").record(self.longest_pause.as_secs_f64());
        log::log!(
            level, request:% = self.call.id(),
            upstream:% = upstream_name(&self.call, upstream), outcome, reason,
            events = self.events, moves = self.migrations, runs = self.attempts.ran + 1, framing = self.framing.name(),
            rest = self.splitter.remainder().len(),
            first_ms = first.map_or(0, |first| first.as_millis() as u64),
            pause_ms = self.longest_pause.as_millis() as u64, age_ms = self.call.age_ms(); "stream ended"
        );
    }

    /// Passes on the events of the present upstream. Returns when the stream continues at another one, and an
    /// error when it has ended.
    async fn forward_upstream(&mut self) -> Result<(), StreamEnd> {
        let notice = self.call.shared.leaving_notice(self.reservation.upstream);
        let progress = Rc::new(RefCell::new(Progress {
            last_event: self.position.last(),
            connection: Some(self.driver.abort_handle()),
            ..Progress::default()
        }));
        let probing = tokio::task::spawn_local(probe::watch_departure(
            Rc::clone(&self.call.shared),
            self.reservation.upstream,
        ));
        let _probing = AbortOnDrop(probing);
        let mut migration: Option<Migration> = None;
        let mut departure = Departure::new(&self.call.shared, self.reservation.upstream);
        let mut may_migrate = self
            .call
            .engine
            .as_ref()
            .is_some_and(|engine| engine.supports_migration);
        if let Some(bytes) = self.first_bytes.take()
            && self
                .handle(StreamEvent::Bytes(bytes), &progress, &mut migration)
                .await?
        {
            return Ok(());
        }
        loop {
            let is_departing = self.is_upstream_leaving() || departure.is_due();
            if may_migrate && migration.is_none() && is_departing {
                may_migrate = false;
                let moving = migrate::run(
                    Rc::clone(&self.call),
                    self.reservation.upstream,
                    Rc::clone(&progress),
                    self.reservation.size.tokens,
                    self.call.expected_remaining(self.events),
                );
                migration = Some(AbortOnDrop(tokio::task::spawn_local(moving)));
            }
            let event = self.next_event(&notice, &mut migration).await;
            if self.handle(event, &progress, &mut migration).await? {
                return Ok(());
            }
        }
    }

    /// Handles an event; returns whether the stream now continues at another upstream.
    async fn handle(
        &mut self,
        event: StreamEvent,
        progress: &Rc<RefCell<Progress>>,
        migration: &mut Option<Migration>,
    ) -> Result<bool, StreamEnd> {
        match event {
            StreamEvent::Bytes(bytes) => {
                let is_gapless = self.forward(&bytes).await?;
                progress.borrow_mut().last_event = self.position.last();
                if !is_gapless {
                    return self
                        .fail_over("the upstream left out events", progress, migration)
                        .await;
                }
                match self.splitter.check_size() {
                    Ok(()) => Ok(false),
                    Err(error) => self.fail_over(&error.to_string(), progress, migration).await,
                }
            }
            StreamEvent::Leaving => Ok(false),
            StreamEvent::Silent if self.is_behind_lost_link() && self.is_silent() && migration.is_none() => {
                self.rescue("the link to its upstream is lost").await
            }
            StreamEvent::Silent => {
                // What came for other requests meanwhile shows that the link works.
                let recently = Instant::now().checked_sub(link::SILENT_TIME / 2);
                if let Some(recently) = recently.filter(|_| self.is_silent()) {
                    link::suspect(&self.call.shared, self.reservation.upstream, recently);
                }
                Ok(false)
            }
            StreamEvent::Stalled => self.leave_stalled().await,
            StreamEvent::ClientGone => {
                self.release_copy(progress);
                Err(StreamEnd::ClientGone)
            }
            StreamEvent::Late => {
                if self.is_unsound() {
                    self.record_failing();
                }
                self.release_copy(progress);
                Err(StreamEnd::Late)
            }
            StreamEvent::MigrationEnded(MigrationOutcome::Continued(opened)) => {
                self.continue_with(*opened, "its upstream leaves");
                Ok(true)
            }
            StreamEvent::MigrationEnded(outcome) => {
                *migration = None;
                log::info!(
                    request:% = self.call.id(),
                    upstream:% = upstream_name(&self.call, self.reservation.upstream),
                    outcome:% = outcome; "generation not moved"
                );
                Ok(false)
            }
            StreamEvent::BodyEnded if let Some(reason) = self.truncation() => {
                self.fail_over(reason, progress, migration).await
            }
            StreamEvent::BodyEnded if self.framing.is_explicit() => {
                self.release_copy(progress);
                Err(self.finish())
            }
            StreamEvent::BodyEnded => self.end_unframed(progress, migration).await,
            StreamEvent::BodyFailed(reason) => self.fail_over(&reason, progress, migration).await,
        }
    }

    /// Whether nothing has come from the present upstream for so long that its link may be lost.
    fn is_silent(&self) -> bool {
        self.last_sign.elapsed() >= link::SILENT_TIME
    }

    /// Why an answer that has ended here was broken off, if that shows.
    ///
    /// An upstream that crashes closes its connections, which ends an answer without a length or chunks. A break
    /// between two events of such an answer cannot be told from its end.
    fn truncation(&self) -> Option<&'static str> {
        // An answer with framing and without any event may be no stream of events.
        let has_events = self.events > 0 || !self.framing.is_explicit();
        if has_events && self.splitter.is_inside_event() {
            Some("the answer ended inside an event")
        } else if self.owes_event {
            Some("the answer ended without an event")
        } else {
            None
        }
    }

    /// Records that the present upstream did not answer properly or not in time.
    fn record_failing(&self) {
        let shared = &self.call.shared;
        shared
            .fleet_mut()
            .record_attempt(self.reservation.upstream, UpstreamHealth::Failing, shared.now());
    }

    /// Whether the upstream has sent no event yet, or more events than the request permits tokens.
    fn is_unsound(&self) -> bool {
        let longest = self.call.head.usage.map_or(u32::MAX, |usage| usage.max_output);
        self.first_event.is_none() || self.events > longest
    }

    /// Whether the present upstream has written the answer for so long that the request is known not to crash it.
    fn is_sound(&self) -> bool {
        self.writing_since
            .is_some_and(|since| self.last_sign - since >= SOUND_TIME)
    }

    fn is_upstream_leaving(&self) -> bool {
        let fleet = self.call.shared.fleet();
        fleet
            .upstream(self.reservation.upstream)
            .is_none_or(|found| found.leaving_since.is_some())
    }

    /// Waits for the next event; the order of the branches is their priority.
    async fn next_event(&mut self, notice: &Notify, migration: &mut Option<Migration>) -> StreamEvent {
        let migrating = migration.is_some();
        let migrated = async {
            match migration {
                Some(migration) => migration.outcome().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            () = self.client.closed() => StreamEvent::ClientGone,
            // Before the body, which may have a frame ready at any time.
            () = tokio::time::sleep_until(self.call.deadline) => StreamEvent::Late,
            frame = self.body.frame() => match frame {
                Some(Ok(frame)) => StreamEvent::Bytes(frame.into_data().unwrap_or_default()),
                Some(Err(error)) => StreamEvent::BodyFailed(socket::describe(&error)),
                None => StreamEvent::BodyEnded,
            },
            outcome = migrated => StreamEvent::MigrationEnded(outcome),
            () = notice.notified(), if !migrating => StreamEvent::Leaving,
            () = tokio::time::sleep_until(self.stall_due), if !migrating && self.may_leave_stalled() => {
                StreamEvent::Stalled
            }
            () = tokio::time::sleep(link::SILENT_TIME / 2), if self.driver.relay().is_none() => StreamEvent::Silent,
        }
    }
}
