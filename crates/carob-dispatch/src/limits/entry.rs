//! What an instance knows of one upstream, and its permits for it.

use std::{collections::VecDeque, time::Duration};

use carob_base::Time;

use super::{MAX_WANTED, Options, RARE_DEMAND, Statement, issue::Issuer};

/// Time over which permits that arrive are counted, to estimate when the next one does.
const ARRIVAL_TIME: Duration = Duration::from_secs(2);

/// An upstream that names a limit, or did.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) statement: Statement,
    /// Expiry of each permit that is left, soonest first.
    pub(super) permits: VecDeque<Time>,
    /// Times at which permits arrived within [`ARRIVAL_TIME`].
    pub(super) arrivals: VecDeque<(Time, u32)>,
    /// Times at which requests wanted the upstream within [`Options::demand_time`].
    pub(super) demand: VecDeque<Time>,
    /// Until when requests wait for a permit.
    pub(super) waiting: Vec<Time>,
    /// What was last told to the issuer, and when.
    pub(super) told: (u32, Time),
    pub(super) issuer: Issuer,
}

impl Entry {
    pub(super) fn new(statement: Statement, now: Time) -> Self {
        Self {
            statement,
            permits: VecDeque::new(),
            arrivals: VecDeque::new(),
            demand: VecDeque::new(),
            waiting: Vec::new(),
            told: (0, now),
            issuer: Issuer::new(now),
        }
    }

    pub(super) const fn is_limited(&self) -> bool {
        self.statement.rate.is_some()
    }

    /// Number of permits that are wanted beyond those that are there: for requests that wait and, if many come, for those
    /// that are expected next.
    pub(super) fn wanted(&self) -> u32 {
        let expected = if self.demand.len() > RARE_DEMAND {
            self.demand.len()
        } else {
            0
        };
        let wanted = expected.max(self.waiting.len()) as u32;
        wanted.saturating_sub(self.permits.len() as u32)
    }

    /// Permits a second that arrived lately.
    pub(super) fn arrival_rate(&self, now: Time) -> f64 {
        let recent = self
            .arrivals
            .iter()
            .filter(|(at, _)| now.since(*at) <= ARRIVAL_TIME)
            .map(|(_, count)| f64::from(*count));
        recent.sum::<f64>() / ARRIVAL_TIME.as_secs_f64()
    }

    /// Adds permits that have arrived; returns how many it keeps.
    pub(super) fn add_permits(&mut self, count: u32, options: &Options, now: Time) -> u32 {
        let room = MAX_WANTED.saturating_sub(self.permits.len() as u32);
        let added = if self.is_limited() { count.min(room) } else { 0 };
        let expires = now + options.permit_time;
        self.permits.extend((0..added).map(|_| expires));
        self.arrivals.push_back((now, added));
        added
    }

    /// Drops what is too old.
    pub(super) fn expire(&mut self, options: &Options, now: Time) {
        while self.permits.front().is_some_and(|expires| *expires <= now) {
            self.permits.pop_front();
        }
        while self
            .arrivals
            .front()
            .is_some_and(|(at, _)| now.since(*at) > ARRIVAL_TIME)
        {
            self.arrivals.pop_front();
        }
        while self
            .demand
            .front()
            .is_some_and(|at| now.since(*at) > options.demand_time)
        {
            self.demand.pop_front();
        }
        self.waiting.retain(|until| *until > now);
    }
}
