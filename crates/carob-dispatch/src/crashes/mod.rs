//! Which parts of prompts, and which whole requests, crash the upstreams that run them.
//!
//! Each crash of an upstream has suspects: what the requests consist of whose answers it was beginning to write. A part
//! that is among the suspects of several crashes, and under which no answer was written since, is condemned, and
//! requests with it are refused. A part that explains crashes by itself clears the other suspects of these crashes.
//!
//! Instances exchange [`Report`]s of their evidence, which may be merged in any order and any number of times. Verdicts
//! follow from the evidence alone, so that instances with the same evidence reach the same verdicts.

mod verdict;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use carob_base::Time;
use smallvec::SmallVec;

carob_base::plain! {
    /// What requests to a service may have in common: a part of their prompts, or all that they consist of. A hash.
    pub struct Part(pub u64);

    /// A part of a request that ran on an upstream when that crashed.
    pub struct Suspect {
        /// The part.
        pub part: Part,
        /// Position in the request; the higher, the fewer requests have it.
        pub rank: u8,
    }

    /// A condemned part.
    pub struct Verdict {
        /// The part.
        pub part: Part,
        /// Number of crashes that it explains.
        pub crashes: u32,
        /// The last of them.
        pub last_crash: Time,
        /// Whether another condemned part explains most of them too.
        pub is_doubtful: bool,
    }

    /// What to do with a request.
    pub enum Decision {
        /// It may run.
        Run,
        /// It may run to find out whether the verdict still holds, alone on an upstream unless that is doubtful.
        Try(Verdict),
        /// It must not run.
        Refuse(Verdict),
    }

    /// Limits for verdicts.
    pub struct Options {
        /// Crashes that condemn a part under which no answer has been written yet.
        pub crashes: usize,
        /// Crashes that condemn a part under which answers were written before, or one whose crashes another part
        /// explains.
        pub sound_crashes: usize,
        /// Time after the last crash until a condemned part is tried once more. Each trial multiplies the time by
        /// [`TRIAL_BACKOFF`].
        pub trial_delay: Duration,
        /// The same for a doubtful verdict.
        pub doubt_delay: Duration,
        /// Maximum number of trials of a part.
        pub max_trials: u32,
        /// How long evidence is kept after the last crash or the last request with the part.
        pub retention: Duration,
    }

    /// An answer was written under a part.
    pub struct SoundReport {
        /// The part.
        pub part: Part,
        /// Time since then.
        pub age: Duration,
    }

    /// A condemned part was tried.
    pub struct TrialReport {
        /// The part.
        pub part: Part,
        /// Time since the last trial.
        pub age: Duration,
        /// Number of trials so far.
        pub count: u32,
    }
}

carob_base::value! {
    /// An upstream crashed.
    pub struct CrashReport {
        /// Hash of the upstream's name and incarnation.
        pub incarnation: u64,
        /// Time since the crash.
        pub age: Duration,
        /// Parts that may be the cause.
        pub suspects: Suspects,
    }
}

/// Parts of a request, from the one that most requests share to the whole request.
pub type Parts = SmallVec<[Part; 4]>;

/// Suspects of a crash, each part once.
pub type Suspects = SmallVec<[Suspect; 4]>;

/// Factor by which the time until a condemned part is tried once more grows with each trial.
pub const TRIAL_BACKOFF: u32 = 4;

/// Rank of a whole request.
pub const WHOLE_REQUEST: u8 = u8::MAX;

/// Maximum number of suspects of one crash. Left out first are parts under which answers were written since, whole
/// requests, and parts that most requests have.
pub const MAX_SUSPECTS: usize = 64;

/// Maximum number of crashes in the evidence; those that support no verdict are dropped first, oldest first.
pub const MAX_CRASHES: usize = 24;

/// Maximum number of sound answers in a report; the oldest are left out.
pub const MAX_REPORTED: usize = 512;

/// Maximum number of parts of prompts, and of whole requests, whose answers are remembered; the oldest are dropped.
pub const MAX_SOUND: usize = 4_096;

/// Times are kept relative to this long before the process started, so that the ages in reports give valid times.
const HISTORY: Duration = Duration::from_hours(24);

impl Default for Options {
    /// Limits that keep a fleet to five crashes or little more for a part that crashes each upstream (the platform's
    /// rules allow five, and three requests after them), with trials that stay within these three. Others learn of a crash
    /// within 1.5 s.
    fn default() -> Self {
        Self {
            crashes: 3,
            sound_crashes: 5,
            trial_delay: Duration::from_mins(5),
            doubt_delay: Duration::from_millis(1_500),
            max_trials: 2,
            retention: Duration::from_mins(30),
        }
    }
}

/// Evidence of instances about crashes, sound answers and trials.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Crashes.
    pub crashes: Vec<CrashReport>,
    /// Latest sound answers under suspected parts.
    pub sound: Vec<SoundReport>,
    /// Latest trials of condemned parts.
    pub trials: Vec<TrialReport>,
}

impl Report {
    /// Whether it says nothing.
    pub const fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.sound.is_empty() && self.trials.is_empty()
    }
}

/// A crash in the evidence.
#[derive(Debug)]
struct Crash {
    at: Time,
    suspects: Suspects,
}

/// Trials of a part.
#[derive(Clone, Copy, Debug, Default)]
struct Trial {
    /// The last one.
    at: Time,
    count: u32,
}

/// A verdict, with what this instance does about it.
#[derive(Clone, Copy, Debug)]
struct Condemned {
    verdict: Verdict,
    /// When a request with the part last came.
    asked: Time,
}

/// The evidence of one instance, and the verdicts that follow from it.
#[derive(Debug)]
pub struct Evidence {
    options: Options,
    /// By the upstream's incarnation.
    crashes: BTreeMap<u64, Crash>,
    /// When an answer was last written under a part.
    sound: HashMap<Part, Time>,
    /// When a whole request that is not suspected was last answered.
    answered: HashMap<Part, Time>,
    condemned: HashMap<Part, Condemned>,
    /// Trials of parts, by any instance.
    trials: HashMap<Part, Trial>,
    /// Evidence that other instances have not been sent yet.
    unsent: Vec<u64>,
    unsent_sound: Vec<Part>,
    unsent_trials: Vec<Part>,
}

impl Part {
    /// Returns the part with this hash of its content, at the service named `service`.
    pub fn of_prompt(service: &str, hash: u64) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64_with_seed(service.as_bytes(), hash))
    }

    /// Returns the part that is a whole request, which consists of `fields`.
    pub fn of_request(fields: &[&[u8]]) -> Self {
        let mut hash = xxhash_rust::xxh3::Xxh3Default::new();
        for field in fields {
            hash.update(&field.len().to_le_bytes());
            hash.update(field);
        }
        Self(hash.digest())
    }
}

impl Evidence {
    /// Creates an instance without evidence.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            crashes: BTreeMap::new(),
            sound: HashMap::new(),
            answered: HashMap::new(),
            condemned: HashMap::new(),
            trials: HashMap::new(),
            unsent: Vec::new(),
            unsent_sound: Vec::new(),
            unsent_trials: Vec::new(),
        }
    }

    /// Whether there is no evidence of crashes.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// The verdicts that hold.
    pub fn verdicts(&self) -> impl Iterator<Item = Verdict> {
        self.condemned.values().map(Condemned::outward)
    }

    /// Number of parts that are suspects of crashes.
    pub fn suspects(&self) -> usize {
        let mut parts: Vec<Part> = self.crashes.values().flat_map(Crash::parts).collect();
        parts.sort_unstable();
        parts.dedup();
        parts.len()
    }

    /// Decides about a request that consists of `parts`. One that is tried has to be recorded with
    /// [`record_trial`](Self::record_trial) when it is sent.
    pub fn check(&mut self, parts: &[Part], now: Time) -> Decision {
        for part in parts {
            if let Some(condemned) = self.condemned.get_mut(part) {
                condemned.asked = now + HISTORY;
            }
        }
        self.peek(parts, now)
    }

    /// Like [`Self::check`], for a request that does not exist: verdicts are not kept for longer because of it.
    pub fn peek(&self, parts: &[Part], now: Time) -> Decision {
        let now = now + HISTORY;
        let mut decision = Decision::Run;
        for part in parts {
            let Some(condemned) = self.condemned.get(part) else {
                continue;
            };
            // One part that must not run decides, whatever the others are.
            if !matches!(decision, Decision::Refuse(_)) {
                let trial = self.trials.get(part).copied().unwrap_or_default();
                decision = if condemned.is_trial_due(&self.options, trial, now) {
                    Decision::Try(condemned.outward())
                } else {
                    Decision::Refuse(condemned.outward())
                };
            }
        }
        decision
    }

    /// Records that a request with a condemned part is sent; no other one is tried for some time, at any instance that
    /// has learned of it.
    pub fn record_trial(&mut self, part: Part, now: Time) {
        let trial = self.trials.entry(part).or_default();
        trial.at = now + HISTORY;
        trial.count += 1;
        self.unsent_trials.push(part);
    }

    /// Whether there is evidence that other instances have not been sent yet.
    pub const fn has_changes(&self) -> bool {
        !(self.unsent.is_empty() && self.unsent_sound.is_empty() && self.unsent_trials.is_empty())
    }

    /// Records that an upstream crashed at the time `at` while it was beginning to write the answers to `requests`, each
    /// given by its parts, of which the last is the whole request.
    pub fn record_crash<'a>(
        &mut self,
        incarnation: u64,
        at: Time,
        requests: impl IntoIterator<Item = &'a Parts>,
        now: Time,
    ) {
        let mut suspects = Suspects::new();
        for parts in requests {
            let last = parts.len().saturating_sub(1);
            for (index, part) in parts.iter().enumerate() {
                let rank = if index == last {
                    WHOLE_REQUEST
                } else {
                    u8::try_from(index).unwrap_or(WHOLE_REQUEST - 1)
                };
                add_suspect(&mut suspects, Suspect { part: *part, rank });
            }
        }
        if self.add_crash(incarnation, at + HISTORY, &suspects) {
            self.unsent.push(incarnation);
            self.refresh(now + HISTORY);
        }
    }

    /// Records that an upstream has written the answer to a request whose prompt has these parts.
    pub fn record_sound(&mut self, parts: &[Part], now: Time) {
        let now = now + HISTORY;
        let mut is_new = false;
        for part in parts {
            if self.add_sound(*part, now) {
                self.unsent_sound.push(*part);
                is_new = true;
            }
        }
        if is_new {
            self.refresh(now);
        }
    }

    /// Like [`record_sound`](Self::record_sound), for a whole request. Most come once and are soon forgotten.
    pub fn record_sound_request(&mut self, part: Part, now: Time) {
        if self.crashes.values().any(|crash| crash.suspects(part)) {
            self.record_sound(&[part], now);
        } else {
            remember(&mut self.answered, part, now + HISTORY);
        }
    }

    /// Merges the evidence of another instance.
    pub fn merge(&mut self, report: &Report, now: Time) {
        let now = now + HISTORY;
        let mut is_new = false;
        for sound in &report.sound {
            is_new |= self.add_sound(sound.part, now - sound.age);
        }
        for trial in &report.trials {
            let known = self.trials.entry(trial.part).or_default();
            known.at = known.at.max(now - trial.age);
            known.count = known.count.max(trial.count);
        }
        for crash in &report.crashes {
            is_new |= self.add_crash(crash.incarnation, now - crash.age, &crash.suspects);
        }
        if is_new {
            self.refresh(now);
        }
    }

    /// Takes the evidence that other instances have not been sent yet.
    pub fn take_changes(&mut self, now: Time) -> Report {
        let crashes = std::mem::take(&mut self.unsent);
        let sound = std::mem::take(&mut self.unsent_sound);
        let trials = std::mem::take(&mut self.unsent_trials);
        self.report(&crashes, sound, &trials, now + HISTORY)
    }

    /// Returns all evidence, for an instance that may lack it.
    pub fn export(&self, now: Time) -> Report {
        let crashes: Vec<u64> = self.crashes.keys().copied().collect();
        let suspects = self.crashes.values().flat_map(Crash::parts).collect();
        let trials: Vec<Part> = self.trials.keys().copied().collect();
        self.report(&crashes, suspects, &trials, now + HISTORY)
    }

    /// Drops evidence that is too old.
    pub fn evict_stale(&mut self, now: Time) {
        let now = now + HISTORY;
        let retention = self.options.retention;
        let condemned = &self.condemned;
        let is_asked = |part: &Part| {
            condemned
                .get(part)
                .is_some_and(|found| now.since(found.asked) < retention)
        };
        self.crashes
            .retain(|_, crash| now.since(crash.at) < retention || crash.parts().any(|part| is_asked(&part)));
        self.sound.retain(|_, at| now.since(*at) < retention);
        self.answered.retain(|_, at| now.since(*at) < retention);
        self.refresh(now);
        self.trials.retain(|part, _| self.condemned.contains_key(part));
    }

    fn report(&self, crashes: &[u64], mut sound: Vec<Part>, trials: &[Part], now: Time) -> Report {
        let crashes = crashes.iter().filter_map(|incarnation| {
            let crash = self.crashes.get(incarnation)?;
            let is_left = |suspect: &&Suspect| self.sound.get(&suspect.part).is_none_or(|at| *at < crash.at);
            Some(CrashReport {
                incarnation: *incarnation,
                age: now.since(crash.at),
                suspects: crash.suspects.iter().filter(is_left).copied().collect(),
            })
        });
        sound.sort_unstable();
        sound.dedup();
        let sound = sound.into_iter().filter_map(|part| {
            let age = now.since(*self.sound.get(&part)?);
            Some(SoundReport { part, age })
        });
        let mut sound: Vec<SoundReport> = sound.collect();
        sound.sort_by_key(|report| report.age);
        sound.truncate(MAX_REPORTED);
        let trials = trials.iter().filter_map(|part| {
            let trial = self.trials.get(part)?;
            Some(TrialReport {
                part: *part,
                age: now.since(trial.at),
                count: trial.count,
            })
        });
        Report {
            crashes: crashes.collect(),
            sound,
            trials: trials.collect(),
        }
    }

    /// Adds suspects of a crash; returns whether this is news.
    fn add_crash(&mut self, incarnation: u64, at: Time, suspects: &Suspects) -> bool {
        if suspects.is_empty() {
            return false;
        }
        let crash = self.crashes.entry(incarnation).or_insert_with(|| Crash {
            at,
            suspects: Suspects::new(),
        });
        if suspects.iter().all(|suspect| crash.suspects.contains(suspect)) {
            return false;
        }
        let mut merged = crash.suspects.clone();
        for suspect in suspects {
            add_suspect(&mut merged, *suspect);
        }
        let sound = &self.sound;
        merged.sort_by_key(|suspect| {
            let is_cleared = sound.get(&suspect.part).is_some_and(|sound| *sound >= crash.at);
            (
                is_cleared,
                suspect.rank == WHOLE_REQUEST,
                Reverse(suspect.rank),
                suspect.part,
            )
        });
        merged.truncate(MAX_SUSPECTS);
        if merged.iter().all(|suspect| crash.suspects.contains(suspect)) {
            return false;
        }
        for suspect in suspects {
            if let Some(at) = self.answered.remove(&suspect.part) {
                self.sound.entry(suspect.part).or_insert(at);
            }
        }
        // Others may not know that answers were written under these parts.
        let was_sound =
            |suspect: &&Suspect| !crash.suspects(suspect.part) && self.sound.contains_key(&suspect.part);
        let sound = merged.iter().filter(was_sound).map(|suspect| suspect.part);
        self.unsent_sound.extend(sound);
        crash.suspects = merged;
        true
    }

    /// Notes an answer that was written at `at`; returns whether this may clear the part of crashes.
    fn add_sound(&mut self, part: Part, at: Time) -> bool {
        let before = self.sound.get(&part).copied();
        if before.is_some_and(|before| before > at) {
            return false;
        }
        remember(&mut self.sound, part, at);
        let clears = |crash: &Crash| {
            let is_first = before.is_none_or(|before| before < crash.at && crash.at <= at);
            is_first && crash.suspects(part)
        };
        self.crashes.values().any(clears)
    }

    /// Derives the verdicts from the evidence.
    fn refresh(&mut self, now: Time) {
        let verdicts = verdict::derive(&self.crashes, &self.sound, &self.options);
        let mut condemned = HashMap::new();
        for verdict in verdicts {
            let known = self.condemned.get(&verdict.part);
            let found = Condemned {
                verdict,
                asked: known.map_or(now, |known| known.asked),
            };
            condemned.insert(verdict.part, found);
        }
        self.condemned = condemned;
        while self.crashes.len() > MAX_CRASHES {
            let is_needed = |crash: &Crash| crash.parts().any(|part| self.condemned.contains_key(&part));
            let oldest = self
                .crashes
                .iter()
                .min_by_key(|(_, crash)| (is_needed(crash), crash.at))
                .map(|(incarnation, _)| *incarnation);
            let Some(oldest) = oldest else { return };
            self.crashes.remove(&oldest);
        }
    }
}

impl Crash {
    fn suspects(&self, part: Part) -> bool {
        self.suspects.iter().any(|suspect| suspect.part == part)
    }

    fn parts(&self) -> impl Iterator<Item = Part> {
        self.suspects.iter().map(|suspect| suspect.part)
    }
}

impl Condemned {
    /// The verdict with a time on the clock of this process; the start of the process for an earlier crash.
    fn outward(&self) -> Verdict {
        Verdict {
            last_crash: Time::ZERO + self.verdict.last_crash.since(Time::ZERO + HISTORY),
            ..self.verdict
        }
    }

    fn is_trial_due(&self, options: &Options, trial: Trial, now: Time) -> bool {
        let first_delay = if self.verdict.is_doubtful {
            options.doubt_delay
        } else {
            options.trial_delay
        };
        let delay = first_delay.saturating_mul(TRIAL_BACKOFF.saturating_pow(trial.count));
        let since = trial.at.max(self.verdict.last_crash);
        trial.count < options.max_trials && now.since(since) >= delay
    }
}

/// Notes the time of the latest answer to requests with a part. If there are too many, drops the older half, so that
/// this is seldom needed.
fn remember(times: &mut HashMap<Part, Time>, part: Part, at: Time) {
    times.insert(part, at);
    if times.len() > MAX_SOUND {
        let mut all: Vec<Time> = times.values().copied().collect();
        let (_, median, _) = all.select_nth_unstable(MAX_SOUND / 2);
        let limit = *median;
        times.retain(|_, at| *at > limit);
    }
}

fn add_suspect(suspects: &mut Suspects, suspect: Suspect) {
    match suspects.iter_mut().find(|known| known.part == suspect.part) {
        Some(known) => known.rank = known.rank.max(suspect.rank),
        None => suspects.push(suspect),
    }
}
