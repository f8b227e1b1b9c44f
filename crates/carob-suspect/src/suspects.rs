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
        /// Beside others.
        Clear,
        /// Only on an upstream that runs nothing else.
        Isolated,
        /// Not at all for this time.
        Refuse {
            /// How long the refusal lasts.
            remaining: Duration,
        },
    }
}

/// What one instance knows about requests that crash upstreams.
#[derive(Debug)]
pub struct Suspects {
    options: Options,
    reporter: u64,
    crashes: Vec<TimedCrash>,
    cleared: HashMap<Fingerprint, Time>,
    standings: HashMap<Fingerprint, Standing>,
}

impl Suspects {
    /// An instance that knows nothing yet; `reporter` is a random number drawn anew at every process start.
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
        if now < standing.refused {
            let remaining = standing.refused.since(now);
            return Verdict::Refuse { remaining };
        }
        if now < standing.alone {
            Verdict::Isolated
        } else {
            Verdict::Clear
        }
    }

    /// An upstream's process has ended without notice while this instance had `running` on it.
    ///
    /// `id` is the digest of the upstream's name and the incarnation that died. `isolated` says that the only
    /// request ran there under [`Verdict::Isolated`] with nothing else on the upstream. An upstream that had
    /// announced that it leaves, or that merely cannot be reached, must not be reported.
    pub fn on_crash(&mut self, id: u64, running: &[Fingerprint], isolated: bool, now: Time) {
        if running.is_empty() {
            return;
        }
        let now = self.shifted(now);
        let mut running = running.to_vec();
        running.sort_unstable();
        running.dedup();
        running.truncate(self.options.max_running);
        let death = Crash {
            id,
            reporter: self.reporter,
            isolated: isolated && running.len() == 1,
            running,
            age: Duration::ZERO,
        };
        log::warn!(
            "suspect: an upstream died with {} requests; id {id:016x}",
            death.running.len()
        );
        self.add(death, now);
        self.refresh(now);
    }

    /// A request has finished and its upstream is well, which clears a suspect.
    pub fn on_finish(&mut self, fingerprint: Fingerprint, now: Time) {
        let now = self.shifted(now);
        if self.standings.contains_key(&fingerprint) {
            self.cleared.insert(fingerprint, now);
            self.refresh(now);
        }
    }

    /// Everything that other instances of the failure domain should know.
    pub fn export(&self, now: Time) -> Report {
        let now = self.shifted(now);
        let deaths = self.crashes.iter().map(|dated| Crash {
            age: now.since(dated.at),
            ..dated.crash.clone()
        });
        let cleared = self.cleared.iter().map(|(fingerprint, at)| Cleared {
            fingerprint: *fingerprint,
            age: now.since(*at),
        });
        Report {
            crashes: deaths.collect(),
            cleared: cleared.collect(),
        }
    }

    /// Takes in another instance's report; the same report may come any number of times.
    pub fn merge(&mut self, report: &Report, now: Time) {
        let mut changed = false;
        let now = self.shifted(now);
        for death in &report.crashes {
            let at = now - death.age;
            if !self.knows(death) && death.age < self.options.retention {
                let mut death = death.clone();
                death.running.truncate(self.options.max_running);
                self.add(death, at);
                changed = true;
            }
        }
        let remembered = |cleared: &&Cleared| cleared.age < self.options.retention;
        for cleared in report.cleared.iter().filter(remembered) {
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

    /// The time on a clock that started long enough ago for every remembered age of others' reports, also when
    /// this process is young.
    fn shifted(&self, now: Time) -> Time {
        now + self.options.retention
    }

    fn knows(&self, death: &Crash) -> bool {
        let same = |dated: &TimedCrash| dated.crash.id == death.id && dated.crash.reporter == death.reporter;
        self.crashes.iter().any(same)
    }

    fn add(&mut self, death: Crash, at: Time) {
        if !self.knows(&death) {
            self.crashes.push(TimedCrash { crash: death, at });
        }
    }

    /// Forgets what is old or too much and computes the standings anew.
    fn refresh(&mut self, now: Time) {
        let memory = self.options.retention;
        self.crashes.retain(|dated| now.since(dated.at) < memory);
        self.crashes.sort_by_key(|dated| dated.at);
        let excess = self.crashes.len().saturating_sub(self.options.max_crashes);
        self.crashes.drain(..excess);
        self.cleared.retain(|_, at| now.since(*at) < memory);
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
