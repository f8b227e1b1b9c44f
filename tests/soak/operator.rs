//! Signals, settings and restarts of gateway processes, with a record of each process.

use std::{
    os::unix::process::ExitStatusExt as _,
    time::{Duration, Instant},
};

use crate::{fleet::Fleet, process};

/// Time within which a change of the settings file is in force (`ConfigApplyMs`).
const APPLY_TIME: Duration = Duration::from_millis(2_500);

/// Number of log lines that are kept of a process that outlives its grace.
const LAST_LINES: usize = 5;

/// Numbers of signals.
const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;

/// How long after its start a process may end by the default action of SIGTERM or SIGINT: its start excuses what
/// happens within a second. SIGHUP never ends a process that has begun to log.
const START_TIME: Duration = Duration::from_secs(1);

/// A gateway process, from its start to its end.
pub struct Life {
    pub started: Instant,
    /// When the first signal to shut down was sent: just before and just after.
    pub leave: Option<(Instant, Instant)>,
    /// Shortest and longest grace that may have applied when that signal was sent.
    pub grace: (Duration, Duration),
    /// When it was killed.
    pub killed: Option<Instant>,
    /// When it was suspended and continued.
    pub frozen: Vec<(Instant, Option<Instant>)>,
    pub ended: Option<Instant>,
}

impl Life {
    fn new() -> Self {
        Self {
            started: Instant::now(),
            leave: None,
            grace: (Duration::ZERO, Duration::ZERO),
            killed: None,
            frozen: Vec::new(),
            ended: None,
        }
    }

    /// Whether the process was suspended at any time from `from` to `to`.
    pub fn was_frozen(&self, from: Instant, to: Instant) -> bool {
        self.frozen
            .iter()
            .any(|(start, end)| *start <= to && end.is_none_or(|end| end >= from))
    }

    fn is_frozen(&self) -> bool {
        self.frozen.last().is_some_and(|(_, end)| end.is_none())
    }
}

/// Sends signals to gateways, changes their settings and starts them again.
pub struct Operator {
    /// Processes of each gateway, in the order of their starts.
    pub lives: Vec<Vec<Life>>,
    /// Values of `grace` in each gateway's settings file, with the time of each change.
    graces: Vec<Vec<(Instant, Duration)>>,
    /// When suspended gateways continue.
    resume_at: Vec<(usize, Instant)>,
    /// Gateways that broke a promise about the end of their process, with what was seen.
    pub violations: Vec<(usize, String)>,
}

impl Operator {
    /// Takes over the gateways of `fleet`, which have just been started with `grace`.
    pub fn new(fleet: &Fleet, grace: Duration) -> Self {
        let now = Instant::now();
        Self {
            lives: fleet.gateways.iter().map(|_| vec![Life::new()]).collect(),
            graces: fleet.gateways.iter().map(|_| vec![(now, grace)]).collect(),
            resume_at: Vec::new(),
            violations: Vec::new(),
        }
    }

    /// Number of gateways.
    pub const fn gateways(&self) -> usize {
        self.lives.len()
    }

    /// The process of a gateway that was started last.
    pub fn life(&self, gateway: usize) -> &Life {
        self.lives[gateway].last().expect("each gateway was started")
    }

    fn life_mut(&mut self, gateway: usize) -> &mut Life {
        self.lives[gateway].last_mut().expect("each gateway was started")
    }

    /// The processes of a gateway to which a connection may lead that was opened between the two times; the
    /// client's thread may have been held up in between.
    pub fn lives_at(&self, gateway: usize, opened: (Instant, Instant)) -> &[Life] {
        let lives = &self.lives[gateway];
        let at = |time: Instant| lives.iter().rposition(|life| life.started <= time).unwrap_or(0);
        &lives[at(opened.0)..=at(opened.1)]
    }

    /// Whether a gateway runs and was neither suspended nor told to end.
    pub fn is_undisturbed(&self, gateway: usize) -> bool {
        let life = self.life(gateway);
        life.ended.is_none() && life.leave.is_none() && life.killed.is_none() && !life.is_frozen()
    }

    /// Whether the present process of a gateway has written its first log line.
    fn has_begun(&self, fleet: &Fleet, gateway: usize) -> bool {
        let lines = fleet.gateways[gateway].log_lines();
        let starts = lines.iter().filter(|line| line.contains("\"starting\""));
        starts.count() >= self.lives[gateway].len()
    }

    /// Sends a signal to a gateway if it runs; SIGHUP only once it has begun to log.
    pub fn signal(&mut self, fleet: &mut Fleet, gateway: usize, name: &str) {
        let child = &mut fleet.gateways[gateway].child;
        if self.life(gateway).ended.is_some() || child.try_wait().is_ok_and(|ended| ended.is_some()) {
            return;
        }
        if name == "HUP" && !self.has_begun(fleet, gateway) {
            return;
        }
        let before = Instant::now();
        match name {
            "KILL" => {
                self.life_mut(gateway).killed.get_or_insert(before);
            }
            "STOP" => self.life_mut(gateway).frozen.push((before, None)),
            _ => {}
        }
        fleet.gateways[gateway].signal(name);
        let after = Instant::now();
        if name == "CONT" {
            for (_, end) in &mut self.life_mut(gateway).frozen {
                end.get_or_insert(after);
            }
        }
        if matches!(name, "TERM" | "INT") && self.life(gateway).leave.is_none() {
            let grace = self.grace_range(gateway, before, after);
            let life = self.life_mut(gateway);
            life.leave = Some((before, after));
            life.grace = grace;
        }
    }

    /// Suspends a gateway for `time`.
    pub fn pause(&mut self, fleet: &mut Fleet, gateway: usize, time: Duration) {
        self.signal(fleet, gateway, "STOP");
        self.resume_at.push((gateway, Instant::now() + time));
    }

    /// Writes the settings file of a gateway.
    pub fn set_grace(&mut self, fleet: &Fleet, gateway: usize, grace: Duration) {
        let seeds: Vec<_> = fleet.gateways[..gateway]
            .iter()
            .map(|other| other.peer_address)
            .collect();
        self.graces[gateway].push((Instant::now(), grace));
        fleet.gateways[gateway].write_settings(&seeds, &format!("{}ms", grace.as_millis()));
    }

    /// Shortest and longest grace of the settings that may be in force at a time from `before` to `after`.
    fn grace_range(&self, gateway: usize, before: Instant, after: Instant) -> (Duration, Duration) {
        let life = self.life(gateway);
        let recent = before.checked_sub(APPLY_TIME).unwrap_or(life.started);
        let from = if life.was_frozen(recent, after) {
            life.started
        } else {
            recent.max(life.started)
        };
        let changes = &self.graces[gateway];
        let first = changes.iter().rposition(|(at, _)| *at <= from).unwrap_or(0);
        let possible = changes[first..].iter().filter(|(at, _)| *at <= after);
        let graces: Vec<Duration> = possible.map(|(_, grace)| *grace).collect();
        let (Some(min), Some(max)) = (graces.iter().min(), graces.iter().max()) else {
            unreachable!("the settings file exists from the start");
        };
        (*min, *max)
    }

    /// Notes which processes have ended, continues those whose suspension is over, and kills those whose grace
    /// is over.
    pub fn poll(&mut self, fleet: &mut Fleet) {
        let now = Instant::now();
        let due = self.resume_at.extract_if(.., |(_, at)| *at <= now);
        for (gateway, _) in due.collect::<Vec<_>>() {
            self.signal(fleet, gateway, "CONT");
        }
        for gateway in 0..self.lives.len() {
            if self.life(gateway).ended.is_none() {
                self.poll_gateway(fleet, gateway);
            }
        }
    }

    fn poll_gateway(&mut self, fleet: &mut Fleet, gateway: usize) {
        let ended = fleet.gateways[gateway].child.try_wait().ok().flatten();
        let now = Instant::now();
        let life = self.life_mut(gateway);
        let since_leave = life.leave.map_or(Duration::ZERO, |(before, _)| now - before);
        if let Some(status) = ended {
            life.ended = Some(now);
            let (started, leave) = (life.started, life.leave);
            let expected = leave.is_some_and(|(_, after)| {
                let is_default = matches!(status.signal(), Some(SIGINT | SIGTERM));
                status.success() || (is_default && after - started < START_TIME)
            });
            if life.killed.is_none() && !expected {
                let text = format!("ended with {status}, {since_leave:?} after the signal to shut down");
                self.violations.push((gateway, text));
            }
            return;
        }
        let Some((before, after)) = life.leave else { return };
        if life.killed.is_some() || now < after + life.grace.1 {
            return;
        }
        if !life.was_frozen(before, now) {
            let grace = life.grace.1;
            let lines = fleet.gateways[gateway].log_lines();
            let last = &lines[lines.len().saturating_sub(LAST_LINES)..];
            let threads = process::describe(fleet.gateways[gateway].child.id());
            let text = format!(
                "runs {since_leave:?} after the signal to shut down; its grace is {grace:?}; last lines {last:#?}; \
                 process {threads:#?}"
            );
            self.violations.push((gateway, text));
        }
        self.signal(fleet, gateway, "KILL");
    }

    /// Starts a gateway again that has ended.
    pub fn restart(&mut self, fleet: &mut Fleet, gateway: usize) {
        self.lives[gateway].push(Life::new());
        fleet.gateways[gateway].spawn();
    }
}
