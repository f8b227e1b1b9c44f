//! Silence, broken connections and lost generations.

use std::time::Duration;

use carob_base::Time;

use super::{Delivery, LINKS, Phase};
use crate::{Action, Actions, Cause, ConnId, Generation, Source, link::Link};

/// First delay before an upstream that failed is tried again; doubled after every try.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay between two tries.
const RETRY_LIMIT: Duration = Duration::from_secs(2);
/// Doublings of a waiting time after which it stays as it is.
const DOUBLINGS: u32 = 4;
/// Connections in a row that may bring events of other generations or nothing but gaps.
const FAULT_LIMIT: u32 = 8;

impl Delivery {
    pub(super) fn step(&mut self, now: Time, actions: &mut Actions) {
        match self.phase {
            Phase::Idle | Phase::Over => {}
            Phase::Abandoned(until) | Phase::Draining(until) if now < until => {}
            Phase::Draining(_) => self.finish_draining(actions),
            Phase::Abandoned(_) => {
                self.cancel(actions);
                self.phase = Phase::Over;
            }
            Phase::Running => self.step_running(now, actions),
        }
    }

    pub(super) fn finish_draining(&mut self, actions: &mut Actions) {
        self.close_links(actions);
        self.cancel(actions);
        self.phase = Phase::Over;
    }

    fn step_running(&mut self, now: Time, actions: &mut Actions) {
        if now >= self.hopeless_at() {
            self.lose(self.cause, true, now, actions);
            return;
        }
        if self.retry.is_some_and(|at| now >= at) {
            self.open(self.resumption(), now, actions);
        } else if !self.links.is_empty() && now >= self.silent_at() {
            self.replace_silent(now, actions);
        }
    }

    /// Opens a connection beside the silent one, which stays in use until the new one is accepted.
    fn replace_silent(&mut self, now: Time, actions: &mut Actions) {
        if self.generation.answer_id.is_none() {
            // Without an id there is nothing to resume, and nothing has been delivered.
            self.lose(None, true, now, actions);
            return;
        }
        // A connection that was accepted shows a stalled engine; others show that the link is at fault.
        let stalled = self
            .links
            .last()
            .is_some_and(|link| link.accepted && link.last_event.is_none());
        self.silences += u32::from(stalled);
        if self.links.len() == LINKS {
            let link = self.links.remove(LINKS - 1);
            actions.push(Action::Close(link.conn));
        }
        self.open(self.resumption(), now, actions);
    }

    pub(super) fn open(&mut self, source: Source, now: Time, actions: &mut Actions) {
        let conn = ConnId(self.next_conn);
        self.next_conn += 1;
        self.links.push(Link::new(conn, source));
        self.quiet = now;
        self.retry = None;
        if source != Source::Create {
            self.unreached.get_or_insert(now);
        }
        actions.push(Action::Open { conn, source });
    }

    /// As long as the item is not known, a resumption starts over: its first event shows the answer's id, and
    /// events that the caller has are dropped as repeats.
    pub(super) fn resumption(&self) -> Source {
        let known = self.generation.item_id.is_some();
        Source::Resume {
            after: self.next.checked_sub(1).filter(|_| known),
        }
    }

    /// Drops a connection that brought a gap or a foreign event.
    pub(super) fn reject(&mut self, at: usize, now: Time, actions: &mut Actions) {
        let link = self.links.remove(at);
        actions.push(Action::Close(link.conn));
        self.faults += 1;
        if self.faults > FAULT_LIMIT || self.generation.answer_id.is_none() {
            self.lose(None, true, now, actions);
            return;
        }
        if self.links.is_empty() {
            self.schedule_retry(now);
            self.step(now, actions);
        }
    }

    /// The first retry comes at once, the others after a growing delay.
    pub(super) fn schedule_retry(&mut self, now: Time) {
        let delay = match self.strikes.max(self.faults.saturating_sub(1)) {
            0 => Duration::ZERO,
            strikes => RETRY_DELAY * (1 << (strikes - 1).min(DOUBLINGS)),
        };
        self.strikes += 1;
        self.retry = Some(now + delay.min(RETRY_LIMIT));
    }

    /// Gives up on the current generation; `alive` if the engine may still be working on it.
    pub(super) fn lose(&mut self, cause: Option<Cause>, alive: bool, now: Time, actions: &mut Actions) {
        self.close_links(actions);
        if alive {
            self.cancel(actions);
        }
        self.cause = cause;
        if self.delivered || !self.may_rerun(now) || is_final(cause) {
            self.phase = Phase::Over;
            actions.push(Action::Fail(self.problem(cause)));
            return;
        }
        self.forget_attempt();
        actions.push(Action::Rerun { cause });
    }

    pub(super) fn may_rerun(&self, now: Time) -> bool {
        let start = self.first_start.unwrap_or(now);
        self.attempts < self.options.max_attempts && now < start + self.options.rerun_window
    }

    fn forget_attempt(&mut self) {
        self.phase = Phase::Idle;
        self.generation = Generation::default();
        self.next = 0;
        self.producing = false;
        self.held.clear();
        self.held_bytes = 0;
        self.strikes = 0;
        self.silences = 0;
        self.faults = 0;
        self.retry = None;
        self.unreached = None;
    }

    /// When the upstream counts as gone or as stalled for good.
    pub(super) fn hopeless_at(&self) -> Time {
        let gone = self
            .unreached
            .map_or(Time::NEVER, |since| since + self.options.unreachable_limit);
        gone.min(self.progress + self.options.stall_limit)
    }

    /// When the present silence has lasted too long; the time doubles as long as the engine itself is stalled.
    pub(super) fn silent_at(&self) -> Time {
        // An engine that has named the answer can be asked again at little cost, also while it only queues the request.
        let wait = if self.producing || self.generation.answer_id.is_some() {
            let intervals = if self.engine_intervals.p99().is_some() {
                &self.engine_intervals
            } else {
                &self.intervals
            };
            self.options.silence_timeout(intervals)
        } else {
            self.options.created_timeout
        };
        self.quiet + wait * (1 << self.silences.min(DOUBLINGS))
    }
}

/// Whether another upstream would answer the same: the request itself is at fault.
fn is_final(cause: Option<Cause>) -> bool {
    matches!(cause, Some(Cause::Rejected { status }) if (400..500).contains(&status))
}
