//! Predicts how long a request waits in the queue, from the requests that left it lately.

use std::{collections::HashMap, time::Duration};

use carob_base::Time;

use super::Fleet;

/// Time over which grants are averaged: the time of a few prefills.
const GRANT_TIME: Duration = Duration::from_secs(2);

/// Time for which requests have to be waiting before their grants say how long others will wait.
const LEARNING_TIME: Duration = Duration::from_secs(1);

/// Multiple of the longest wait beyond which a request is refused at once: predictions from a few grants may be wrong by
/// that much, and a request that could be served must not be refused.
const REFUSAL_FACTOR: u32 = 2;

/// Bounds of the suggested retry delay.
const MIN_RETRY: Duration = Duration::from_millis(300);
const MAX_RETRY: Duration = Duration::from_secs(10);

carob_base::plain! {
    /// How long a request that joins the queue is expected to wait.
    pub struct Forecast {
        /// Expected wait; `None` while too little is known.
        pub wait: Option<Duration>,
        /// Requests of its priority that wait before it.
        pub ahead: u32,
        /// For how long such requests have been waiting without a break.
        pub busy: Duration,
    }
}

impl Forecast {
    /// Decides whether a request that may wait for `longest` is refused at once, and if so, for how long its client is to
    /// stay away. A client that comes back then can wait for the rest.
    pub fn refusal(&self, longest: Duration) -> Option<Duration> {
        let wait = self.wait.filter(|wait| *wait > longest * REFUSAL_FACTOR)?;
        Some(retry_after(wait, longest))
    }

    /// Suggested retry delay of a request that has waited for `longest` in vain; `None` while too little is known.
    pub fn retry_delay(&self, longest: Duration) -> Option<Duration> {
        self.wait.map(|wait| retry_after(wait, longest))
    }
}

fn retry_after(wait: Duration, longest: Duration) -> Duration {
    wait.saturating_sub(longest / 2).clamp(MIN_RETRY, MAX_RETRY)
}

/// Grants of requests of one service and priority.
#[derive(Clone, Copy, Debug)]
struct Grants {
    /// Since when such requests have been waiting without a break.
    busy_since: Time,
    /// Exponentially decaying number since then.
    count: f64,
    updated: Time,
}

impl Grants {
    fn count(&self, now: Time) -> f64 {
        let passed = now.since(self.updated).as_secs_f64() / GRANT_TIME.as_secs_f64();
        self.count * (-passed).exp()
    }

    /// Expected time until `ahead` requests and one more are granted. One grant more than were seen is counted, so that it
    /// is finite.
    fn wait(&self, ahead: u32, now: Time) -> Option<Duration> {
        let busy = now.since(self.busy_since);
        if busy < LEARNING_TIME {
            return None;
        }
        let span = GRANT_TIME.as_secs_f64();
        let counted = span * (1.0 - (-busy.as_secs_f64() / span).exp());
        let seconds = f64::from(ahead + 1) * counted / (self.count(now) + 1.0);
        Duration::try_from_secs_f64(seconds).ok()
    }
}

/// Grants by service and priority.
#[derive(Debug, Default)]
pub(super) struct State(HashMap<(Box<str>, u8), Grants>);

impl State {
    /// Records that a request joins the queue, in which `waiting` of its service and priority are.
    pub(super) fn record_queued(&mut self, service: &str, priority: u8, waiting: u32, now: Time) {
        if waiting == 0 {
            let grants = Grants {
                busy_since: now,
                count: 0.0,
                updated: now,
            };
            self.0.insert((service.into(), priority), grants);
        }
    }

    /// Records that a request is granted.
    pub(super) fn record_granted(&mut self, service: &str, priority: u8, now: Time) {
        if let Some(grants) = self.0.get_mut(&(service.into(), priority)) {
            grants.count = grants.count(now) + 1.0;
            grants.updated = now;
        }
    }
}

impl Fleet {
    /// Predicts how long a request to `service` waits if it joins the queue now.
    ///
    /// What waits at other instances is not counted: instances take turns whatever the length of their queues, and the
    /// grants of this one already show how many others wait.
    pub fn forecast(&self, service: &str, priority: u8, now: Time) -> Forecast {
        let ahead = self.queued_count(service, priority);
        let grants = self.forecasts.0.get(&(service.into(), priority));
        let grants = grants.filter(|_| ahead > 0);
        Forecast {
            wait: grants.and_then(|grants| grants.wait(ahead, now)),
            ahead,
            busy: grants.map_or(Duration::ZERO, |grants| now.since(grants.busy_since)),
        }
    }
}
