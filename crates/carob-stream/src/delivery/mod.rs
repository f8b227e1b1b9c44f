//! One answer from its caller's point of view.
//!
//! Events are delivered by sequence number, so that repeats are dropped and gaps lead to a resumption. A
//! connection that falls silent is replaced by a new one that resumes after the last event. Events of another
//! generation never reach the caller. As long as nothing has been delivered, the request may be rerun on another
//! upstream; afterwards a lost generation ends in an explicit failure.

mod accept;
mod recover;

use std::time::Duration;

use carob_base::Time;
use carob_wire::{Problem, event::Event};
use smallvec::SmallVec;

use crate::{
    Action, Actions, Cause, ConnId, EventIntervals, Generation, Mode, Options, Source, link::Link, lost,
};

/// Most connections at the same time: the silent one and its replacement.
const LINKS: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits for routing to name an upstream.
    Idle,
    /// Reads from the current upstream.
    Running,
    /// The caller has gone; the generation is cancelled at this time unless it is resumed elsewhere.
    Abandoned(Time),
    /// The caller has gone before the engine told the answer's id. The connection stays open until then, or
    /// until this time, because without the id nothing can be cancelled.
    Draining(Time),
    /// Nothing more will happen.
    Over,
}

/// Delivery of one answer to one caller.
#[derive(Debug)]
pub struct Delivery {
    options: Options,
    /// Intervals between the events of the engine when the attempt started.
    engine_intervals: EventIntervals,
    /// Intervals seen by this delivery.
    intervals: EventIntervals,
    generation: Generation,
    phase: Phase,
    links: SmallVec<[Link; LINKS]>,
    next_conn: u32,
    /// Sequence number that is accepted next.
    next: u64,
    /// Whether the current generation has produced any of the answer itself.
    producing: bool,
    /// Whether the caller has any event of the answer.
    delivered: bool,
    held: Vec<Event>,
    held_bytes: usize,
    first_start: Option<Time>,
    attempts: u32,
    /// Whether any upstream may have started the request.
    uncertain: bool,
    /// When the last event was accepted, or the attempt started.
    progress: Time,
    /// Since when the upstream has not shown that it is there.
    unreached: Option<Time>,
    /// When silence was last acted on or ended.
    quiet: Time,
    /// Connections in a row that broke without progress.
    strikes: u32,
    /// Connections in a row that the engine accepted and then left silent.
    silences: u32,
    /// Connections in a row that brought foreign events or gaps.
    faults: u32,
    retry: Option<Time>,
    cause: Option<Cause>,
}

impl Delivery {
    /// A delivery of a new answer. [`start`](Self::start) it with the upstream that routing names.
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
            uncertain: false,
            progress: Time::ZERO,
            unreached: None,
            quiet: Time::ZERO,
            strikes: 0,
            silences: 0,
            faults: 0,
            retry: None,
            cause: None,
        }
    }

    /// A delivery for a caller who resumes `generation` by its id, on this instance or another.
    ///
    /// `after` is the sequence number of the last event that the caller has; `None` asks for all events.
    pub fn resume(options: Options, generation: Generation, after: Option<u64>) -> Self {
        let mut delivery = Self::new(options.with_mode(Mode::Stream));
        delivery.generation = generation;
        delivery.next = after.map_or(0, |after| after + 1);
        delivery.producing = true;
        delivery.delivered = true;
        delivery.uncertain = true;
        delivery
    }

    /// Starts on the upstream that routing named; `engine_intervals` are those of that engine.
    pub fn start(&mut self, engine_intervals: EventIntervals, now: Time) -> Actions {
        let mut actions = Actions::new();
        if self.phase != Phase::Idle {
            return actions;
        }
        self.engine_intervals = engine_intervals;
        self.phase = Phase::Running;
        self.attempts += 1;
        self.first_start.get_or_insert(now);
        self.progress = now;
        let source = match &self.generation.answer_id {
            Some(_) => self.resumption(),
            None => Source::Create,
        };
        self.open(source, now, &mut actions);
        actions
    }

    /// The engine accepted a connection; `incarnation` is its header's value, 0 if there is none.
    pub fn on_head(&mut self, conn: ConnId, incarnation: u64, now: Time) -> Actions {
        let mut actions = Actions::new();
        let Some(at) = self.position(conn) else {
            return actions;
        };
        if !self.generation.check_incarnation(incarnation) {
            // Another incarnation does not know the answer; a resumption could only bring foreign events.
            self.lose(None, false, now, &mut actions);
            return actions;
        }
        self.uncertain = true;
        self.links[at].accepted = true;
        self.unreached = None;
        self.retry = None;
        for older in self.links.drain(..at) {
            actions.push(Action::Close(older.conn));
        }
        actions
    }

    /// An event arrived on a connection.
    pub fn on_event(&mut self, conn: ConnId, event: Event, now: Time) -> Actions {
        let mut actions = Actions::new();
        let Some(at) = self.position(conn).filter(|at| self.links[*at].accepted) else {
            return actions;
        };
        self.unreached = None;
        if let Phase::Draining(_) = self.phase {
            self.generation.check_event(&event.head);
            self.finish_draining(&mut actions);
            return actions;
        }
        match self.links[at].accept(event, self.next, &mut self.generation) {
            Ok(events) if events.is_empty() => {}
            Ok(events) => self.accept(at, events, now, &mut actions),
            Err(_fault) => self.reject(at, now, &mut actions),
        }
        actions
    }

    /// A connection ended without the answer's last event, or could not be opened.
    pub fn on_connection_failed(&mut self, conn: ConnId, cause: Cause, now: Time) -> Actions {
        let mut actions = Actions::new();
        let Some(at) = self.position(conn) else {
            return actions;
        };
        let link = self.links.remove(at);
        if self.phase != Phase::Running {
            self.phase = Phase::Over;
            return actions;
        }
        self.cause = Some(cause);
        if !matches!(cause, Cause::Refused | Cause::Busy | Cause::Rejected { .. }) {
            self.uncertain = true;
        }
        if !self.producing && self.links.is_empty() && !self.may_resume(&link, cause) {
            self.lose(Some(cause), true, now, &mut actions);
            return actions;
        }
        if cause == Cause::NotFound || self.generation.answer_id.is_none() {
            self.lose(Some(cause), false, now, &mut actions);
            return actions;
        }
        if self.links.is_empty() && self.retry.is_none() {
            self.unreached.get_or_insert(now);
            self.schedule_retry(now);
            self.step(now, &mut actions);
        }
        actions
    }

    /// Whether a generation without any text yet is resumed after `link` broke, rather than rerun elsewhere.
    ///
    /// A connection may be cut while its engine lives, and there may be no other upstream. Whether the engine
    /// lives shows at the first resumption, so that a rerun is delayed by no more than one connection.
    fn may_resume(&self, link: &Link, cause: Cause) -> bool {
        match link.source {
            Source::Create => self.generation.answer_id.is_some(),
            Source::Resume { .. } => cause != Cause::Refused,
        }
    }

    /// Acts on whatever is due; call it at [`deadline`](Self::deadline).
    pub fn on_tick(&mut self, now: Time) -> Actions {
        let mut actions = Actions::new();
        self.step(now, &mut actions);
        actions
    }

    /// The caller's connection is gone. The generation is cancelled after a grace period unless
    /// [`on_resumed_elsewhere`](Self::on_resumed_elsewhere) comes first. If the delivery is then
    /// [draining](Self::is_draining), its connections must be read on.
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
        // A caller that has no event has no id to resume the answer by.
        let grace = if self.delivered {
            self.options.resume_window
        } else {
            Duration::ZERO
        };
        self.phase = Phase::Abandoned(now + grace);
        self.step(now, &mut actions);
        actions
    }

    /// The caller has resumed the answer through another connection, so this delivery ends without cancelling.
    pub fn on_resumed_elsewhere(&mut self) -> Actions {
        let mut actions = Actions::new();
        self.close_links(&mut actions);
        self.phase = Phase::Over;
        actions
    }

    /// When [`on_tick`](Self::on_tick) has to be called at the latest.
    pub fn deadline(&self) -> Time {
        match self.phase {
            Phase::Idle | Phase::Over => Time::NEVER,
            Phase::Abandoned(until) | Phase::Draining(until) => until,
            Phase::Running => {
                let retry = self.retry.unwrap_or(Time::NEVER);
                let silent = if self.links.is_empty() {
                    Time::NEVER
                } else {
                    self.silent_at()
                };
                retry.min(silent).min(self.progress + self.options.stall_limit)
            }
        }
    }

    /// Whether the delivery is over.
    pub fn is_over(&self) -> bool {
        self.phase == Phase::Over
    }

    /// Whether the caller has gone and the connections are kept until the engine tells the answer's id.
    pub const fn is_draining(&self) -> bool {
        matches!(self.phase, Phase::Draining(_))
    }

    /// Whether the caller has any event of the answer.
    pub const fn has_delivered(&self) -> bool {
        self.delivered
    }

    /// The sequence number for a failure event after the events delivered so far.
    pub fn next_sequence(&self) -> u64 {
        if self.delivered { self.next } else { 0 }
    }

    /// What is known of the current generation.
    pub const fn generation(&self) -> &Generation {
        &self.generation
    }

    /// Intervals seen by this delivery, to be merged into those of the engine.
    pub const fn intervals(&self) -> &EventIntervals {
        &self.intervals
    }

    /// Ends the delivery, such as when routing has no further upstream: the problem that the caller is told and
    /// the connections to close and generation to cancel.
    pub fn close(mut self) -> (Problem, Actions) {
        let mut actions = Actions::new();
        let problem = self.problem(self.cause);
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
            lost::before_delivery(cause, self.uncertain)
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
