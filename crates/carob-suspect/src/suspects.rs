//! The verdicts of one instance.

use std::{collections::HashMap, time::Duration};

use carob_base::Time;

use crate::{
    Cleared, Crash, Fingerprint, Options, Report,
    index::{self, Standing},
    report::TimedCrash,
};

carob_base::plain! {
    /// How a request may run.
    pub enum Verdict {
        /// Together with other requests.
        Clear,
        /// Only on an upstream that runs nothing else.
        Isolated,
        /// Not at all.
        Refuse {
            /// Time until the refusal ends.
            remaining: Duration,
        },
    }
}

/// The evidence that one instance has about requests that crash upstreams.
#[derive(Debug)]
pub struct Suspects {
    options: Options,
    reporter: u64,
    crashes: Vec<TimedCrash>,
    /// When suspects finished without a crash.
    cleared: HashMap<Fingerprint, Time>,
    /// Computed from `crashes` and `cleared`.
    standings: HashMap<Fingerprint, Standing>,
}

impl Suspects {
    /// Creates an instance without evidence. `reporter` is a random number drawn at every start of the
    /// process.
    pub fn new(options: Options, reporter: u64) -> Self {
        Self {
            options,
            reporter,
            crashes: Vec::new(),
            cleared: HashMap::new(),
            standings: HashMap::new(),
        }
    }

    /// How a request may run now.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Time) -> Verdict {
        let now = self.shifted(now);
        let Some(standing) = self.standings.get(&fingerprint) else {
            return Verdict::Clear;
        };
        if now < standing.refused_until {
            let remaining = standing.refused_until.since(now);
            return Verdict::Refuse { remaining };
        }
        if now < standing.isolated_until {
            Verdict::Isolated
        } else {
            Verdict::Clear
        }
    }

    /// Records that an upstream's process ended without notice while this instance had `running` on it.
    ///
    /// `id` is the digest of the upstream's name and of the incarnation that crashed. `isolated` means that
    /// the only request ran there under [`Verdict::Isolated`], with nothing else on the upstream. Do not call
    /// this for an upstream that had announced that it leaves, or that is merely unreachable.
    pub fn on_crash(&mut self, id: u64, running: &[Fingerprint], isolated: bool, now: Time) {
        if running.is_empty() {
            return;
        }
        let now = self.shifted(now);
        let mut running = running.to_vec();
        running.sort_unstable();
        running.dedup();
        running.truncate(self.options.max_running);
        let crash = Crash {
            id,
            reporter: self.reporter,
            isolated: isolated && running.len() == 1,
            running,
            age: Duration::ZERO,
        };
        log::warn!(
            "suspect: an upstream died with {} requests; id {id:016x}",
            crash.running.len()
        );
        self.add(crash, now);
        self.refresh(now);
    }

    /// Records that a request has finished and its upstream still runs, which clears the request if it is a
    /// suspect.
    pub fn on_finish(&mut self, fingerprint: Fingerprint, now: Time) {
        let now = self.shifted(now);
        if self.standings.contains_key(&fingerprint) {
            self.cleared.insert(fingerprint, now);
            self.refresh(now);
        }
    }

    /// Returns all evidence, for the other instances of the failure domain.
    pub fn export(&self, now: Time) -> Report {
        let now = self.shifted(now);
        let crashes = self.crashes.iter().map(|timed| Crash {
            age: now.since(timed.at),
            ..timed.crash.clone()
        });
        let cleared = self.cleared.iter().map(|(fingerprint, at)| Cleared {
            fingerprint: *fingerprint,
            age: now.since(*at),
        });
        Report {
            crashes: crashes.collect(),
            cleared: cleared.collect(),
        }
    }

    /// Merges another instance's report; the same report may be merged any number of times.
    pub fn merge(&mut self, report: &Report, now: Time) {
        let mut changed = false;
        let now = self.shifted(now);
        for crash in &report.crashes {
            let at = now - crash.age;
            if !self.knows(crash) && crash.age < self.options.retention {
                let mut crash = crash.clone();
                crash.running.truncate(self.options.max_running);
                self.add(crash, at);
                changed = true;
            }
        }
        let retained = |cleared: &&Cleared| cleared.age < self.options.retention;
        for cleared in report.cleared.iter().filter(retained) {
            let at = now - cleared.age;
            let known = self.cleared.get(&cleared.fingerprint);
            if known.is_none_or(|known| *known < at) {
                self.cleared.insert(cleared.fingerprint, at);
                changed = true;
            }
        }
        if changed {
            self.refresh(now);
        }
    }

    /// Shifts the time by the retention, so that subtracting any retained age gives a valid time even just
    /// after this process has started.
    fn shifted(&self, now: Time) -> Time {
        now + self.options.retention
    }

    /// Whether the same report of this crash is stored already.
    fn knows(&self, crash: &Crash) -> bool {
        let same = |timed: &TimedCrash| timed.crash.id == crash.id && timed.crash.reporter == crash.reporter;
        self.crashes.iter().any(same)
    }

    fn add(&mut self, crash: Crash, at: Time) {
        if !self.knows(&crash) {
            self.crashes.push(TimedCrash { crash, at });
        }
    }

    /// Drops evidence that has expired or exceeds the limits, oldest first, and recomputes the standings.
    fn refresh(&mut self, now: Time) {
        let retention = self.options.retention;
        self.crashes.retain(|timed| now.since(timed.at) < retention);
        self.crashes.sort_by_key(|timed| timed.at);
        let excess = self.crashes.len().saturating_sub(self.options.max_crashes);
        self.crashes.drain(..excess);
        self.cleared.retain(|_, at| now.since(*at) < retention);
        self.drop_oldest_cleared();
        self.standings = index::build(&self.crashes, &self.cleared, &self.options);
    }

    fn drop_oldest_cleared(&mut self) {
        let excess = self.cleared.len().saturating_sub(self.options.max_cleared);
        if excess == 0 {
            return;
        }
        let mut times: Vec<_> = self.cleared.values().copied().collect();
        times.sort_unstable();
        let limit = times[excess - 1];
        self.cleared.retain(|_, at| *at > limit);
    }
}
