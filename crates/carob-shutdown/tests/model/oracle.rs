//! What callers and operators may rely on in a shutdown, stated in terms of the signal, the notice and the
//! grace alone.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Mutex,
    time::Duration,
};

use carob_base::Time;
use carob_dispatch::outcome::AttemptResult;
use carob_shutdown::{Bounds, Shutdown};

use crate::instance::{Answer, End, Instance, Phase, Request};

/// A request need not be accepted if it would end less than this before requests may be cut off.
const SPARE: Duration = Duration::from_millis(100);

/// Counts of what happened in all cases.
static COUNTS: Mutex<BTreeMap<&str, u64>> = Mutex::new(BTreeMap::new());

#[derive(Clone, Debug, Default)]
pub struct Oracle {
    checks: u64,
    /// When the listener closes and when the process exits, as stated at the first signal.
    times: Option<(Time, Time)>,
    /// Indices of requests that would have been refused at some time.
    refused: BTreeSet<usize>,
}

/// The times that a shutdown has to keep.
#[derive(Clone, Copy)]
struct Terms {
    notice_ends: Time,
    /// Requests may be cut off only from here on.
    last_sixth: Time,
    /// When the process is killed.
    killed: Time,
}

impl Oracle {
    pub fn check(&mut self, instance: &Instance) {
        self.checks += 1;
        for request in &instance.requests {
            check_answer(request);
        }
        let (Some(shutdown), Some((signal, limits))) = (instance.shutdown, instance.signalled) else {
            return;
        };
        let killed = limits.grace.map_or(Time::NEVER, |grace| signal + grace);
        let terms = Terms {
            notice_ends: (signal + limits.notice).min(killed),
            last_sixth: limits.grace.map_or(Time::NEVER, |grace| signal + grace * 5 / 6),
            killed,
        };
        let times = (shutdown.closes(), shutdown.exit());
        assert_eq!(
            *self.times.get_or_insert(times),
            times,
            "the times of the shutdown moved"
        );
        assert!(
            shutdown.exit() <= killed,
            "it exits after it is killed: {shutdown:?}"
        );
        let closes = shutdown.closes();
        assert!(
            closes <= terms.notice_ends.min(shutdown.exit()),
            "it takes connections for too long"
        );
        assert!(
            closes >= terms.notice_ends.min(terms.last_sixth),
            "it takes no connections too early"
        );
        self.check_consistency(instance, shutdown);
        for request in &instance.requests {
            check_decisions(request, terms, signal);
        }
        match instance.exited {
            Some(exited) => check_exit(instance, exited, terms),
            None => assert!(instance.now < killed, "it is killed"),
        }
    }

    /// A request refused for lack of time stays refused, and none is accepted when open ones are cut off.
    fn check_consistency(&mut self, instance: &Instance, shutdown: Shutdown) {
        let now = instance.now;
        for (index, request) in instance.requests.iter().enumerate() {
            let later =
                [1, 1_000, 100_000, 1_000_000, 30_000_000].map(|micros| now + Duration::from_micros(micros));
            let times = [now]
                .into_iter()
                .chain(later)
                .chain([shutdown.closes(), shutdown.exit()]);
            let mut times: Vec<Time> = times.filter(|time| *time >= now && *time < Time::NEVER).collect();
            times.sort();
            let mut refused = self.refused.contains(&index);
            for time in times {
                let admitted = shutdown.admits(time, request.bounds(time));
                assert!(
                    !(refused && admitted),
                    "refused, and accepted at {time}: {request:?}"
                );
                refused |= !admitted;
                if time == now && refused {
                    self.refused.insert(index);
                }
            }
        }
        let none = Bounds {
            deadline: Duration::ZERO,
            longest: Duration::ZERO,
        };
        if shutdown.may_exit(now, 1) {
            assert!(
                !shutdown.admits(now, none),
                "a request is accepted that may be cut off at once"
            );
        }
    }

    /// Adds the case to the counts, once the instance must have exited.
    pub fn count(&self, instance: &Instance) {
        assert!(instance.exited.is_some(), "it does not exit: {instance:?}");
        let mut counts = COUNTS.lock().expect("no thread panics while it holds the lock");
        let mut add = |name, count| *counts.entry(name).or_default() += count;
        let decisions = || instance.requests.iter().flat_map(|request| &request.decisions);
        let answers = |kind| {
            let answers = instance.requests.iter().filter_map(|request| request.answer);
            answers.filter(|(answer, _)| *answer == kind).count() as u64
        };
        add("cases", 1);
        add("checks", self.checks);
        add("requests", instance.requests.len() as u64);
        add(
            "accepted",
            decisions().filter(|decision| decision.admitted).count() as u64,
        );
        add(
            "refused",
            decisions().filter(|decision| !decision.admitted).count() as u64,
        );
        let in_drain = |at: Time| instance.shutdown.is_some_and(|shutdown| at >= shutdown.closes());
        let drained = decisions().filter(|decision| decision.admitted && in_drain(decision.at));
        add("accepted after the notice", drained.count() as u64);
        add("complete", answers(Answer::Complete));
        add("late", answers(Answer::Late));
        add("unclear", answers(Answer::Unclear));
        add(
            "cut off",
            instance.requests.iter().filter(|request| request.cut).count() as u64,
        );
    }
}

/// Nothing is sent after the answer, and "not run" is true.
fn check_answer(request: &Request) {
    let Some((answer, at)) = request.answer else {
        return;
    };
    assert!(
        request.sent.iter().all(|sent| *sent <= at),
        "sent after its answer: {request:?}"
    );
    let last = request.plan.attempts.len() - 1;
    let not_run = (0..request.sent.len()).all(|sent| {
        let (_, end) = request.plan.attempts[sent.min(last)];
        matches!(
            end,
            End::NoAnswer(AttemptResult::Unsent | AttemptResult::Rejected)
        )
    });
    if matches!(answer, Answer::Refused | Answer::NotRun | Answer::Incomplete) {
        assert!(not_run, "answered that it has not run: {request:?}");
    }
}

/// Every send in a shutdown follows a decision, and none is refused that has its answer before the last sixth.
fn check_decisions(request: &Request, terms: Terms, signal: Time) {
    for sent in request.sent.iter().filter(|sent| **sent > signal) {
        let admitted = request
            .decisions
            .iter()
            .any(|decision| decision.admitted && decision.at == *sent);
        assert!(admitted, "sent without a decision: {request:?}");
    }
    for decision in request.decisions.iter().filter(|decision| !decision.admitted) {
        let notice =
            decision.at < terms.notice_ends && decision.at + request.plan.longest + SPARE < terms.last_sixth;
        let fits = request.deadline + SPARE < terms.last_sixth || notice;
        assert!(!fits, "refused with enough time: {request:?}");
    }
}

fn check_exit(instance: &Instance, exited: Time, terms: Terms) {
    assert!(exited <= terms.killed, "it is killed before it exits");
    assert!(
        exited >= terms.notice_ends.min(terms.last_sixth),
        "it exits during the notice"
    );
    let cut: Vec<&Request> = instance.requests.iter().filter(|request| request.cut).collect();
    if exited < terms.last_sixth {
        assert!(
            cut.is_empty(),
            "cut off before the last sixth of the grace: {cut:?}"
        );
    }
    if cut.is_empty() {
        let ends = instance
            .requests
            .iter()
            .filter_map(|request| request.answer.map(|(_, at)| at + request.plan.flush));
        let busy = ends.max().unwrap_or(Time::ZERO);
        assert!(
            exited <= busy.max(terms.notice_ends),
            "it waits without a request"
        );
    }
    for request in cut.into_iter().filter(|request| request.answer.is_none()) {
        let late = |at: Time| at >= terms.notice_ends;
        let admitted = request
            .decisions
            .iter()
            .any(|decision| decision.admitted && late(decision.at));
        assert!(!admitted, "accepted after the notice and cut off: {request:?}");
        let unsent = matches!(request.phase, Phase::Queue { .. });
        assert!(
            !(unsent && instance.limits.answers_queued),
            "cut off in the queue: {request:?}"
        );
    }
}

pub fn print_counts() {
    let counts = COUNTS.lock().expect("no thread panics while it holds the lock");
    println!("{counts:?}");
}
