//! Property test: under random calls, no upstream gets more requests than it has slots, each request is
//! placed at most once per attempt, the router's counts agree with a model, and no request stays queued
//! beyond the queue timeout.

mod common;

use std::collections::HashMap;

use carob_base::{Name, Time};
use carob_route::{End, Event, Outcome, Router};
use common::{config, name, options, request};
use proptest::prelude::*;

/// Slots of each upstream.
const SLOTS: u32 = 3;
/// Number of upstreams.
const UPSTREAMS: usize = 3;

/// A random call.
#[derive(Clone, Copy, Debug)]
enum Call {
    Submit { account: u8, prompt: u32, alone: bool },
    Progress { at: usize, tokens: u32 },
    Finish { at: usize, end: End },
    Retry { at: usize },
    Cancel { at: usize },
    Wait { millis: u64 },
    Poll,
    Down { upstream: u8 },
    Up { upstream: u8 },
}

fn call() -> impl Strategy<Value = Call> {
    let end = prop_oneof![
        (1..3_000_u32).prop_map(|tokens| End::Complete { tokens }),
        (1..3_000_u32).prop_map(|tokens| End::Interrupted { tokens }),
        Just(End::Failed),
        Just(End::UpstreamDied),
    ];
    prop_oneof![
        4 => (0..3_u8, 1..9_000_u32, prop::bool::weighted(0.1))
            .prop_map(|(account, prompt, alone)| Call::Submit { account, prompt, alone }),
        2 => (any::<usize>(), 1..4_000_u32).prop_map(|(at, tokens)| Call::Progress { at, tokens }),
        2 => (any::<usize>(), end).prop_map(|(at, end)| Call::Finish { at, end }),
        1 => any::<usize>().prop_map(|at| Call::Retry { at }),
        1 => any::<usize>().prop_map(|at| Call::Cancel { at }),
        2 => (1..3_000_u64).prop_map(|millis| Call::Wait { millis }),
        2 => Just(Call::Poll),
        1 => (0..UPSTREAMS as u8).prop_map(|upstream| Call::Down { upstream }),
        1 => (0..UPSTREAMS as u8).prop_map(|upstream| Call::Up { upstream }),
    ]
}

/// Model of the router from its caller's view.
#[derive(Default)]
struct Oracle {
    /// Upstream of each open request; `None` while it is queued.
    open: HashMap<u64, Option<Name>>,
    /// Ids of all requests, in order of submission.
    order: Vec<u64>,
    /// Id of the next request.
    next: u64,
}

impl Oracle {
    /// An open request, selected by `at` modulo their number.
    fn pick(&self, at: usize) -> Option<u64> {
        let open: Vec<u64> = self
            .order
            .iter()
            .copied()
            .filter(|id| self.open.contains_key(id))
            .collect();
        (!open.is_empty()).then(|| open[at % open.len()])
    }

    fn outcome(&mut self, id: u64, outcome: Outcome) {
        match outcome {
            Outcome::Placed(placement) => {
                assert_eq!(placement.id, id);
                self.open.insert(id, Some(placement.upstream));
            }
            Outcome::Queued => {
                self.open.insert(id, None);
            }
            Outcome::Refused(refusal) => {
                assert_eq!(refusal.id, id);
                self.open.remove(&id);
            }
        }
    }

    fn event(&mut self, event: Event) {
        let (before, rule) = match event {
            Event::Placed(placement) => {
                let before = self.open.insert(placement.id, Some(placement.upstream));
                (before, "a request is placed once")
            }
            Event::Refused(refusal) => (self.open.remove(&refusal.id), "only waiting requests are refused"),
        };
        assert_eq!(before, Some(None), "{rule}");
    }

    fn running(&self, upstream: &Name) -> usize {
        self.open
            .values()
            .filter(|placed| placed.as_ref() == Some(upstream))
            .count()
    }
}

fn step(router: &mut Router, oracle: &mut Oracle, now: &mut Time, call: Call) {
    match call {
        Call::Submit {
            account,
            prompt,
            alone,
        } => {
            let id = oracle.next;
            oracle.next += 1;
            oracle.order.push(id);
            let mut submitted = request(id).with_tokens(prompt, None).with_exclusive(alone);
            submitted.account = name(&format!("a{account}"));
            let outcome = router.submit(submitted, *now);
            oracle.outcome(id, outcome);
        }
        Call::Progress { at, tokens } => {
            if let Some(id) = oracle.pick(at) {
                router.progress(id, tokens, *now);
            }
        }
        Call::Finish { at, end } => {
            if let Some(id) = oracle.pick(at) {
                router.finish(id, end, *now);
                oracle.open.remove(&id);
            }
        }
        Call::Retry { at } => {
            if let Some(id) = oracle.pick(at).filter(|id| oracle.open[id].is_some()) {
                let outcome = router.retry(id, End::Failed, *now);
                oracle.outcome(id, outcome);
            }
        }
        Call::Cancel { at } => {
            if let Some(id) = oracle.pick(at) {
                router.cancel(id, *now);
                oracle.open.remove(&id);
            }
        }
        Call::Wait { millis } => *now = Time::from_millis(now.as_millis() + millis),
        Call::Poll => {
            for event in router.poll(*now) {
                oracle.event(event);
            }
        }
        Call::Down { upstream } => router.mark_down(&name(&format!("u{upstream}")), *now),
        Call::Up { upstream } => router.mark_up(&name(&format!("u{upstream}")), *now),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn requests_are_placed_once_within_the_slots_and_end(calls in prop::collection::vec(call(), 1..120)) {
        let mut router = Router::new(options());
        router.apply_config(&config(UPSTREAMS, 20_000, SLOTS), Time::ZERO);
        let mut oracle = Oracle::default();
        let mut now = Time::from_millis(1);
        for call in calls {
            step(&mut router, &mut oracle, &mut now, call);
            for upstream in (0..UPSTREAMS).map(|at| name(&format!("u{at}"))) {
                let running = oracle.running(&upstream);
                prop_assert!(running <= SLOTS as usize, "{running} on {upstream}");
            }
            let own: u32 = router.status(now).upstreams.iter().map(|upstream| upstream.own).sum();
            let running = oracle.open.values().flatten().count();
            prop_assert_eq!(own as usize, running);
        }
        // Every request that is still queued is placed or refused once the queue timeout has passed.
        now = now + std::time::Duration::from_millis(common::QUEUE_TIMEOUT_MS);
        for event in router.poll(now) {
            oracle.event(event);
        }
        prop_assert!(oracle.open.values().all(Option::is_some), "a request still waits");
    }
}
