//! Steps of a test case, and how they are generated.

use std::time::Duration;

use carob_base::Time;
use carob_dispatch::{outcome::AttemptResult, table::RouteKind};
use proptest::prelude::*;

use crate::instance::{End, Instance, Limits, Plan};

/// Longer than anything of a case that ends by itself.
pub const FOREVER: Duration = Duration::from_hours(100);

/// A moment of the shutdown.
#[derive(Clone, Copy, Debug)]
pub enum Moment {
    Closes,
    Exit,
}

/// One step of a test case. Indices are taken modulo the number of candidates.
#[derive(Clone, Debug)]
pub enum Step {
    Connect,
    /// A part of a head arrives on a connection.
    HalfHead(usize),
    Send(usize, Plan),
    /// A request whose deadline is so many microseconds after a moment of the shutdown, or before it.
    SendAimed(usize, Plan, Moment, i64),
    /// Two requests at once on a connection.
    Pipeline(usize, Plan, Plan),
    Signal,
    /// The settings change; `None` is no grace.
    Reload(Option<Duration>),
    /// A stream goes on at another upstream.
    Move(usize, Option<Duration>),
    Pass(Duration),
    /// Time passes until so many microseconds after a moment of the shutdown, or before it.
    PassTo(Moment, i64),
}

impl Step {
    /// Takes the step, and calls `check` with the instance after everything that happens in it.
    pub fn apply(self, instance: &mut Instance, check: &mut dyn FnMut(&Instance)) {
        match self {
            Self::Connect => instance.connect(),
            Self::HalfHead(pick) => {
                let count = instance.connections.len();
                instance.connections[pick % count].half_head = true;
            }
            Self::Send(pick, plan) => instance.send(pick, plan),
            Self::SendAimed(pick, plan, moment, micros) => {
                let deadline = moment
                    .of(instance, micros)
                    .map_or(plan.deadline, |time| time.since(instance.now));
                instance.send(pick, Plan { deadline, ..plan });
            }
            Self::Pipeline(pick, first, second) => {
                instance.send(pick, first);
                instance.send(pick, second);
            }
            Self::Signal => instance.signal(),
            Self::Reload(grace) => instance.limits.grace = grace,
            Self::Move(pick, rest) => instance.move_stream(pick, rest),
            Self::Pass(time) => pass_until(instance, instance.now + time, check),
            Self::PassTo(moment, micros) => {
                if let Some(until) = moment.of(instance, micros) {
                    pass_until(instance, until, check);
                }
            }
        }
        instance.settle();
        check(instance);
    }
}

impl Moment {
    fn of(self, instance: &Instance, micros: i64) -> Option<Time> {
        let shutdown = instance.shutdown?;
        let time = match self {
            Self::Closes => shutdown.closes(),
            Self::Exit => shutdown.exit(),
        };
        (time < Time::NEVER).then(|| Time::from_micros(time.as_micros().saturating_add_signed(micros)))
    }
}

/// Lets time go by, and does everything that falls due meanwhile.
fn pass_until(instance: &mut Instance, until: Time, check: &mut dyn FnMut(&Instance)) {
    while instance.exited.is_none() && instance.now < until {
        instance.now = instance.next_event().clamp(instance.now, until);
        instance.settle();
        check(instance);
    }
}

/// Durations from microseconds to an hour, with round ones among them, so that times coincide.
fn duration() -> impl Strategy<Value = Duration> {
    prop_oneof![
        2 => (0_u64..100).prop_map(Duration::from_micros),
        3 => (0_u64..1_000).prop_map(Duration::from_millis),
        6 => (0_u64..100).prop_map(|tenths| Duration::from_millis(tenths * 100)),
        2 => (0_u64..120).prop_map(Duration::from_secs),
        1 => (0_u64..3_600).prop_map(Duration::from_secs),
    ]
}

fn endless(time: impl Strategy<Value = Duration>) -> impl Strategy<Value = Option<Duration>> {
    prop_oneof![6 => time.prop_map(Some), 1 => Just(None)]
}

/// A grace, in whole milliseconds as in the settings.
fn grace() -> impl Strategy<Value = Duration> {
    duration().prop_map(|time| Duration::from_millis(time.as_millis() as u64))
}

pub fn limits() -> impl Strategy<Value = Limits> {
    let notice = prop_oneof![2 => Just(Duration::from_millis(2_600)), 2 => duration()];
    let grace = prop_oneof![
        3 => Just(Some(Duration::from_secs(8))),
        5 => grace().prop_map(Some),
        1 => Just(None)
    ];
    (notice, grace, any::<bool>()).prop_map(|(notice, grace, keeps_idle)| Limits {
        notice,
        grace,
        keeps_idle,
        lag: Duration::ZERO,
        answers_queued: false,
    })
}

fn attempt() -> impl Strategy<Value = (Option<Duration>, End)> {
    let failed = prop::sample::select(vec![
        AttemptResult::Unsent,
        AttemptResult::Rejected,
        AttemptResult::Failed,
        AttemptResult::Unknown,
    ]);
    let end = prop_oneof![3 => Just(End::Complete), 2 => failed.prop_map(End::NoAnswer)];
    (endless(duration()), end)
}

fn plan() -> impl Strategy<Value = Plan> {
    let kind = prop::sample::select(vec![
        RouteKind::Safe,
        RouteKind::Unsafe,
        RouteKind::Stream,
        RouteKind::ResumableStream,
    ]);
    let wait = prop_oneof![4 => Just(Some(Duration::ZERO)), 3 => endless(duration())];
    let body = prop_oneof![6 => Just(Some(Duration::ZERO)), 2 => endless(duration())];
    let flush = prop_oneof![4 => Just(Duration::ZERO), 2 => duration()];
    let attempts = prop::collection::vec(attempt(), 1..4);
    (
        kind,
        duration(),
        duration(),
        body,
        wait,
        duration(),
        attempts,
        flush,
    )
        .prop_map(
            |(kind, deadline, longest, body, wait, patience, attempts, flush)| Plan {
                kind,
                deadline,
                longest,
                body,
                wait,
                patience,
                attempts,
                flush,
            },
        )
}

pub fn step() -> impl Strategy<Value = Step> {
    let moment = || prop::sample::select(vec![Moment::Closes, Moment::Exit]);
    prop_oneof![
        4 => Just(Step::Connect),
        2 => (0_usize..8).prop_map(Step::HalfHead),
        8 => (0_usize..8, plan()).prop_map(|(pick, plan)| Step::Send(pick, plan)),
        5 => (0_usize..8, plan(), moment(), -2_i64..3)
            .prop_map(|(pick, plan, moment, micros)| Step::SendAimed(pick, plan, moment, micros)),
        1 => (0_usize..8, plan(), plan()).prop_map(|(pick, first, second)| Step::Pipeline(pick, first, second)),
        4 => Just(Step::Signal),
        1 => endless(grace()).prop_map(Step::Reload),
        1 => (0_usize..8, endless(duration())).prop_map(|(pick, rest)| Step::Move(pick, rest)),
        5 => duration().prop_map(Step::Pass),
        3 => (moment(), -2_i64..3).prop_map(|(moment, micros)| Step::PassTo(moment, micros)),
    ]
}
