//! Recovery from silent and failed connections and from lost generations.

use std::time::Duration;

use carob_base::Time;

use super::{Delivery, MAX_LINKS, Phase};
use crate::{Action, Actions, Cause, ConnId, Generation, Source, link::Link};

/// Delay before the second retry of an upstream, doubled for each further one; the first retry is immediate.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay between two retries.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Doublings after which a retry delay or silence timeout stops growing.
const MAX_DOUBLINGS: u32 = 4;
/// Consecutive connections that may bring foreign events or sequence gaps before the generation is given up.
const MAX_FAULTY_LINKS: u32 = 8;

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
        if now >= self.give_up_at() {
            self.give_up(self.last_cause, true, now, actions);
            return;
        }
        if self.retry_at.is_some_and(|at| now >= at) {
            self.open(self.resumption(), now, actions);
        } else if !self.links.is_empty() && now >= self.silence_deadline() {
            self.replace_silent(now, actions);
        }
    }

    /// Opens a connection beside the silent one, which stays in use until the engine accepts the new one.
    fn replace_silent(&mut self, now: Time, actions: &mut Actions) {
        if self.generation.answer_id.is_none() {
            // Without the answer's id nothing can be resumed, and nothing has been delivered.
            self.give_up(None, true, now, actions);
            return;
        }
        // A connection that was accepted but brought no event means that the engine is stalled; one that was
        // not accepted means that the network is at fault.
        let stalled = self
            .links
            .last()
            .is_some_and(|link| link.accepted && link.last_event.is_none());
        self.stalled_links += u32::from(stalled);
        if self.links.len() == MAX_LINKS {
            let link = self.links.remove(MAX_LINKS - 1);
            actions.push(Action::Close(link.conn));
        }
        self.open(self.resumption(), now, actions);
    }

    pub(super) fn open(&mut self, source: Source, now: Time, actions: &mut Actions) {
        let conn = ConnId(self.next_conn);
        self.next_conn += 1;
        self.links.push(Link::new(conn, source));
        self.silent_since = now;
        self.retry_at = None;
        if source != Source::Create {
            self.unreachable_since.get_or_insert(now);
        }
        actions.push(Action::Open { conn, source });
    }

    /// What to request to resume the answer. Until the item's id is known, all events are requested: the
    /// first one carries the answer's id, which identifies the generation, and those that the caller has are
    /// dropped as repeats.
    pub(super) fn resumption(&self) -> Source {
        let known = self.generation.item_id.is_some();
        Source::Resume {
            after: self.next.checked_sub(1).filter(|_| known),
        }
    }

    /// Closes a connection that brought a sequence gap or a foreign event.
    pub(super) fn reject(&mut self, index: usize, now: Time, actions: &mut Actions) {
        let link = self.links.remove(index);
        actions.push(Action::Close(link.conn));
        self.faulty_links += 1;
        if self.faulty_links > MAX_FAULTY_LINKS || self.generation.answer_id.is_none() {
            self.give_up(None, true, now, actions);
            return;
        }
        if self.links.is_empty() {
            self.schedule_retry(now);
            self.step(now, actions);
        }
    }

    /// The first retry is immediate; later ones use exponential backoff.
    pub(super) fn schedule_retry(&mut self, now: Time) {
        let delay = match self.failed_links.max(self.faulty_links.saturating_sub(1)) {
            0 => Duration::ZERO,
            failures => RETRY_DELAY * (1 << (failures - 1).min(MAX_DOUBLINGS)),
        };
        self.failed_links += 1;
        self.retry_at = Some(now + delay.min(MAX_RETRY_DELAY));
    }

    /// Gives up the current generation, then requests a rerun or fails the answer. If `alive`, the engine may
    /// still be generating, so the generation is cancelled.
    pub(super) fn give_up(&mut self, cause: Option<Cause>, alive: bool, now: Time, actions: &mut Actions) {
        self.close_links(actions);
        if alive {
            self.cancel(actions);
        }
        self.last_cause = cause;
        if self.delivered || !self.may_rerun(now) || is_final(cause) {
            self.phase = Phase::Over;
            actions.push(Action::Fail(self.problem(cause)));
            return;
        }
        self.reset_attempt();
        actions.push(Action::Rerun { cause });
    }

    pub(super) fn may_rerun(&self, now: Time) -> bool {
        let start = self.first_start.unwrap_or(now);
        self.attempts < self.options.max_attempts && now < start + self.options.rerun_window
    }

    fn reset_attempt(&mut self) {
        self.phase = Phase::Idle;
        self.generation = Generation::default();
        self.next = 0;
        self.producing = false;
        self.held.clear();
        self.held_bytes = 0;
        self.failed_links = 0;
        self.stalled_links = 0;
        self.faulty_links = 0;
        self.retry_at = None;
        self.unreachable_since = None;
    }

    /// When the upstream counts as unreachable or permanently stalled.
    pub(super) fn give_up_at(&self) -> Time {
        let unreachable = self
            .unreachable_since
            .map_or(Time::NEVER, |since| since + self.options.unreachable_limit);
        unreachable.min(self.last_progress + self.options.stall_limit)
    }

    /// When the current silence has lasted too long. The timeout doubles with each connection on which the
    /// engine is stalled.
    pub(super) fn silence_deadline(&self) -> Time {
        // Once the engine has sent the answer's id, resuming is cheap, even if the request is still queued
        // there.
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
        self.silent_since + wait * (1 << self.stalled_links.min(MAX_DOUBLINGS))
    }
}

/// Whether the request itself is at fault, so that any other upstream would reject it too.
fn is_final(cause: Option<Cause>) -> bool {
    matches!(cause, Some(Cause::Rejected { status }) if (400..500).contains(&status))
}
