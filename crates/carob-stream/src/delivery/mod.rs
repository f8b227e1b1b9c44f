//! Delivery of one answer to one caller.
//!
//! Events are delivered in the order of their sequence numbers: repeats are dropped, and a gap makes the
//! delivery resume the answer on a new connection. A connection that falls silent is replaced by one that
//! resumes after the last event. Events of another generation never reach the caller. As long as nothing has
//! been delivered, the request may be rerun on another upstream; afterwards the loss of the generation ends
//! the answer with an explicit failure.

mod accept;
mod recover;

use std::time::Duration;

use carob_base::Time;
use carob_wire::{Problem, event::Event};
use smallvec::SmallVec;

use crate::{
    Action, Actions, Cause, ConnId, EventIntervals, Generation, Mode, Options, Source, link::Link, lost,
};

/// Maximum number of concurrent connections: a silent one and its replacement.
const MAX_LINKS: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waiting for routing to choose an upstream.
    Idle,
    /// Reading from the current upstream.
    Running,
    /// The caller has disconnected; the generation is cancelled at this time unless it is resumed elsewhere.
    Abandoned(Time),
    /// The caller disconnected before the engine sent the answer's id. The connection stays open until the id
    /// arrives, at most until this time, because a generation cannot be cancelled without its id.
    Draining(Time),
    /// No further actions follow.
    Over,
}

/// Delivery of one answer to one caller.
#[derive(Debug)]
pub struct Delivery {
    options: Options,
    /// Event intervals of the engine, as known when the attempt started.
    engine_intervals: EventIntervals,
    /// Event intervals seen by this delivery.
    intervals: EventIntervals,
    generation: Generation,
    phase: Phase,
    links: SmallVec<[Link; MAX_LINKS]>,
    next_conn: u32,
    /// Sequence number of the next event to accept.
    next: u64,
    /// Whether the current generation has produced any text.
    producing: bool,
    /// Whether any event has reached the caller.
    delivered: bool,
    /// Accepted events that have not been delivered yet.
    held: Vec<Event>,
    held_bytes: usize,
    first_start: Option<Time>,
    attempts: u32,
    /// Whether any upstream may have started the request.
    maybe_started: bool,
    /// When the last event was accepted or, before the first one, when the attempt started.
    last_progress: Time,
    /// Since when the upstream has not responded; `None` while it is reachable.
    unreachable_since: Option<Time>,
    /// When the last event was accepted or the last connection opened.
    silent_since: Time,
    /// Consecutive connections that failed without progress.
    failed_links: u32,
    /// Consecutive connections that the engine accepted and then sent no event on.
    stalled_links: u32,
    /// Consecutive connections that brought foreign events or sequence gaps.
    faulty_links: u32,
    /// When the next resumption is due after a connection has failed.
    retry_at: Option<Time>,
    /// Why the last connection or attempt ended.
    last_cause: Option<Cause>,
}

impl Delivery {
    /// Creates a delivery of a new answer. Call [`start`](Self::start) once routing has chosen an upstream.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            engine_intervals: EventIntervals::new(),
            intervals: EventIntervals::new(),
            generation: Generation::default(),
            phase: Phase::Idle,
            links: SmallVec::new(),
            next_conn: 0,
            next: 0,
            producing: false,
            delivered: false,
            held: Vec::new(),
            held_bytes: 0,
            first_start: None,
            attempts: 0,
            maybe_started: false,
            last_progress: Time::ZERO,
            unreachable_since: None,
            silent_since: Time::ZERO,
            failed_links: 0,
            stalled_links: 0,
            faulty_links: 0,
            retry_at: None,
            last_cause: None,
        }
    }

    /// Creates a delivery for a caller that resumes `generation` by its answer id, which may have been issued
    /// by another instance.
    ///
    /// `after` is the sequence number of the last event that the caller has received; `None` requests all
    /// events.
    pub fn resume(options: Options, generation: Generation, after: Option<u64>) -> Self {
        let mut delivery = Self::new(options.with_mode(Mode::Stream));
        delivery.generation = generation;
        delivery.next = after.map_or(0, |after| after + 1);
        delivery.producing = true;
        delivery.delivered = true;
        delivery.maybe_started = true;
        delivery
    }

    /// Starts an attempt on the upstream that routing chose; `engine_intervals` are the event intervals of
    /// that engine.
    pub fn start(&mut self, engine_intervals: EventIntervals, now: Time) -> Actions {
        let mut actions = Actions::new();
        if self.phase != Phase::Idle {
            return actions;
        }
        self.engine_intervals = engine_intervals;
        self.phase = Phase::Running;
        self.attempts += 1;
        self.first_start.get_or_insert(now);
        self.last_progress = now;
        let source = match &self.generation.answer_id {
            Some(_) => self.resumption(),
            None => Source::Create,
        };
        self.open(source, now, &mut actions);
        actions
    }

    /// The engine accepted a connection; `incarnation` is the value of its response header, 0 if absent.
    pub fn on_head(&mut self, conn: ConnId, incarnation: u64, now: Time) -> Actions {
        let mut actions = Actions::new();
        let Some(index) = self.position(conn) else {
            return actions;
        };
        if !self.generation.check_incarnation(incarnation) {
            // Another incarnation does not know the answer, so a resumption could only bring foreign events.
            self.give_up(None, false, now, &mut actions);
            return actions;
        }
        self.maybe_started = true;
        self.links[index].accepted = true;
        self.unreachable_since = None;
        self.retry_at = None;
        for older in self.links.drain(..index) {
            actions.push(Action::Close(older.conn));
        }
        actions
    }

    /// An event arrived on a connection.
    pub fn on_event(&mut self, conn: ConnId, event: Event, now: Time) -> Actions {
        let mut actions = Actions::new();
        let Some(index) = self.position(conn).filter(|index| self.links[*index].accepted) else {
            return actions;
        };
        self.unreachable_since = None;
        if let Phase::Draining(_) = self.phase {
            self.generation.check_event(&event.head);
            self.finish_draining(&mut actions);
            return actions;
        }
        match self.links[index].accept(event, self.next, &mut self.generation) {
            Ok(events) if events.is_empty() => {}
            Ok(events) => self.accept(index, events, now, &mut actions),
            Err(_fault) => self.reject(index, now, &mut actions),
        }
        actions
    }

    /// A connection ended before the last event of the answer, or could not be opened.
    pub fn on_connection_failed(&mut self, conn: ConnId, cause: Cause, now: Time) -> Actions {
        let mut actions = Actions::new();
        let Some(index) = self.position(conn) else {
            return actions;
        };
        let link = self.links.remove(index);
        if self.phase != Phase::Running {
            self.phase = Phase::Over;
            return actions;
        }
        self.last_cause = Some(cause);
        if !matches!(cause, Cause::Refused | Cause::Busy | Cause::Rejected { .. }) {
            self.maybe_started = true;
        }
        if !self.producing && self.links.is_empty() && !self.may_resume(&link, cause) {
            self.give_up(Some(cause), true, now, &mut actions);
            return actions;
        }
        if cause == Cause::NotFound || self.generation.answer_id.is_none() {
            self.give_up(Some(cause), false, now, &mut actions);
            return actions;
        }
        if self.links.is_empty() && self.retry_at.is_none() {
            self.unreachable_since.get_or_insert(now);
            self.schedule_retry(now);
            self.step(now, &mut actions);
        }
        actions
    }

    /// Whether a generation that has produced no text yet is resumed after the failure of `link`, rather than
    /// rerun elsewhere.
    ///
    /// A connection may be cut while its engine is alive, and there may be no other upstream. The first
    /// resumption shows whether the engine is alive, so that a rerun is delayed by at most one connection.
    fn may_resume(&self, link: &Link, cause: Cause) -> bool {
        match link.source {
            Source::Create => self.generation.answer_id.is_some(),
            Source::Resume { .. } => cause != Cause::Refused,
        }
    }

    /// Performs what is due; to be called at [`deadline`](Self::deadline).
    pub fn on_tick(&mut self, now: Time) -> Actions {
        let mut actions = Actions::new();
        self.step(now, &mut actions);
        actions
    }

    /// The caller has disconnected. The generation is cancelled after [`Options::resume_window`] unless
    /// [`on_resumed_elsewhere`](Self::on_resumed_elsewhere) is called first. If the delivery is
    /// [draining](Self::is_draining) afterwards, the driver must keep reading its connections.
    pub fn on_caller_gone(&mut self, now: Time) -> Actions {
        let mut actions = Actions::new();
        if !matches!(self.phase, Phase::Running | Phase::Idle) {
            return actions;
        }
        if self.generation.answer_id.is_none() && !self.links.is_empty() {
            self.phase = Phase::Draining(now + self.options.created_timeout);
            return actions;
        }
        self.close_links(&mut actions);
        // A caller that has received no event does not know the answer's id and cannot resume.
        let window = if self.delivered {
            self.options.resume_window
        } else {
            Duration::ZERO
        };
        self.phase = Phase::Abandoned(now + window);
        self.step(now, &mut actions);
        actions
    }

    /// The caller has resumed the answer on another connection, so this delivery ends without cancelling the
    /// generation.
    pub fn on_resumed_elsewhere(&mut self) -> Actions {
        let mut actions = Actions::new();
        self.close_links(&mut actions);
        self.phase = Phase::Over;
        actions
    }

    /// Latest time at which [`on_tick`](Self::on_tick) has to be called.
    pub fn deadline(&self) -> Time {
        match self.phase {
            Phase::Idle | Phase::Over => Time::NEVER,
            Phase::Abandoned(until) | Phase::Draining(until) => until,
            Phase::Running => {
                let retry = self.retry_at.unwrap_or(Time::NEVER);
                let silent = if self.links.is_empty() {
                    Time::NEVER
                } else {
                    self.silence_deadline()
                };
                retry
                    .min(silent)
                    .min(self.last_progress + self.options.stall_limit)
            }
        }
    }

    /// Whether the delivery has ended; no further actions follow.
    pub fn is_over(&self) -> bool {
        self.phase == Phase::Over
    }

    /// Whether the caller has disconnected and the connections are kept open until the engine sends the
    /// answer's id.
    pub const fn is_draining(&self) -> bool {
        matches!(self.phase, Phase::Draining(_))
    }

    /// Whether any event has reached the caller.
    pub const fn has_delivered(&self) -> bool {
        self.delivered
    }

    /// Sequence number for a failure event that follows the events delivered so far.
    pub fn next_sequence(&self) -> u64 {
        if self.delivered { self.next } else { 0 }
    }

    /// What is known of the current generation.
    pub const fn generation(&self) -> &Generation {
        &self.generation
    }

    /// Event intervals seen by this delivery, to be merged into those of the engine.
    pub const fn intervals(&self) -> &EventIntervals {
        &self.intervals
    }

    /// Ends the delivery, for example when routing has no further upstream. Returns the problem to report to
    /// the caller, and the actions that close the connections and cancel the generation.
    pub fn close(mut self) -> (Problem, Actions) {
        let mut actions = Actions::new();
        let problem = self.problem(self.last_cause);
        self.close_links(&mut actions);
        if self.phase == Phase::Running {
            self.cancel(&mut actions);
        }
        (problem, actions)
    }

    fn problem(&self, cause: Option<Cause>) -> Problem {
        if self.delivered {
            lost::after_delivery()
        } else {
            lost::before_delivery(cause, self.maybe_started)
        }
    }

    fn cancel(&self, actions: &mut Actions) {
        if self.generation.answer_id.is_some() {
            actions.push(Action::Cancel(self.generation.clone()));
        }
    }

    fn close_links(&mut self, actions: &mut Actions) {
        actions.extend(self.links.drain(..).map(|link| Action::Close(link.conn)));
    }

    fn position(&self, conn: ConnId) -> Option<usize> {
        self.links.iter().position(|link| link.conn == conn)
    }
}
