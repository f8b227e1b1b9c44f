//! Taking in events that are next in order.

use carob_base::Time;
use carob_wire::event::{Event, Kind};

use super::{Delivery, Phase};
use crate::{Action, Actions, End, Mode, link::Events};

impl Delivery {
    pub(super) fn accept(&mut self, at: usize, events: Events, now: Time, actions: &mut Actions) {
        let link = &mut self.links[at];
        if let Some(last) = link.last_event.replace(now).filter(|_| self.producing) {
            self.intervals.record(now.since(last));
        }
        self.progress = now;
        self.quiet = now;
        self.strikes = 0;
        self.silences = 0;
        self.faults = 0;
        for event in events {
            if self.accept_one(event, now, actions) {
                return;
            }
        }
    }

    /// Takes in the next event; true if the delivery or the attempt is over with it.
    fn accept_one(&mut self, event: Event, now: Time, actions: &mut Actions) -> bool {
        let kind = event.kind();
        if kind == Kind::Failed && !self.delivered && self.may_rerun(now) {
            // The engine has ended this generation itself, so that there is nothing to cancel.
            self.lose(None, false, now, actions);
            return true;
        }
        self.next = event.head.sequence + 1;
        self.producing |= kind == Kind::Delta;
        self.held_bytes += event.data.len();
        self.held.push(event);
        if self.may_deliver(kind) {
            self.delivered = true;
            self.held_bytes = 0;
            actions.extend(self.held.drain(..).map(Action::Deliver));
        }
        let Some(end) = end_of(kind) else {
            return false;
        };
        self.close_links(actions);
        self.phase = Phase::Over;
        actions.push(Action::Finish(end));
        true
    }

    /// Whether held events may go out: at the end, or from the first piece of text on. The events before it are
    /// held so that a rerun is possible for as long as the engine has only queued the request.
    fn may_deliver(&self, kind: Kind) -> bool {
        let streams = self.options.mode == Mode::Stream || self.held_bytes > self.options.buffer_limit;
        kind.is_last() || self.delivered || (self.producing && streams)
    }
}

const fn end_of(kind: Kind) -> Option<End> {
    match kind {
        Kind::Completed => Some(End::Completed),
        Kind::Incomplete => Some(End::Incomplete),
        Kind::Failed => Some(End::Failed),
        Kind::Created | Kind::Delta | Kind::Other => None,
    }
}
