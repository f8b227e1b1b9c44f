//! Which events of a stream its client gets, while several runs produce them.
//!
//! Events have ids that rise. A run that continues another may start with events that the client has, which are dropped.
//! If it starts too late, events are missing; that shows only while ids are consecutive, as those of counting upstreams
//! are.

/// Events in a row with consecutive ids from which on a missing id shows that an event was left out.
const CONSECUTIVE_EVENTS: u32 = 2;

carob_base::plain! {
    /// What to do with an event.
    pub enum Step {
        /// Pass it on to the client.
        Pass,
        /// Drop it: the client has it.
        Drop,
        /// End the run: it left out events before this one.
        Gap,
    }
}

carob_base::plain! {
    /// Position of a client in a stream.
    pub struct Position {
        /// Id of the last event that the client has.
        last: Option<u64>,
        /// Events that were passed on with consecutive ids, up to the last one.
        consecutive: u32,
        /// Whether an event without an id was passed on after the last one with an id.
        is_unnumbered: bool,
        /// Whether the present run continues another and has brought no new event yet.
        is_catching_up: bool,
    }
}

impl Position {
    /// Position of a client that has all events up to the one with the id `last`; `None` if it has none.
    pub const fn new(last: Option<u64>) -> Self {
        Self {
            last,
            consecutive: 0,
            is_unnumbered: false,
            is_catching_up: last.is_some(),
        }
    }

    /// Id of the last event that the client has.
    pub const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether a further run can go on where the client is: not between events that have no ids.
    pub const fn is_resumable(&self) -> bool {
        !self.is_unnumbered
    }

    /// Records that the next event comes from another run.
    pub const fn begin_run(&mut self) {
        self.is_catching_up = self.last.is_some();
    }

    /// Decides what to do with the next event of the present run. `has_fields` is false for comments, which belong to no
    /// event.
    pub fn step(&mut self, id: Option<u64>, has_fields: bool) -> Step {
        let Some(id) = id else {
            // Before a new event, it belongs to what the run repeats.
            if self.is_catching_up {
                return Step::Drop;
            }
            self.is_unnumbered |= has_fields;
            return Step::Pass;
        };
        if self.last.is_some_and(|last| id <= last) {
            return Step::Drop;
        }
        let is_next = self.last.and_then(|last| last.checked_add(1)) == Some(id);
        if self.is_catching_up && !is_next && self.consecutive >= CONSECUTIVE_EVENTS {
            return Step::Gap;
        }
        self.consecutive = if is_next || self.consecutive == 0 {
            self.consecutive + 1
        } else {
            1
        };
        self.last = Some(id);
        self.is_unnumbered = false;
        self.is_catching_up = false;
        Step::Pass
    }
}
