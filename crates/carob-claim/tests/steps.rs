//! Single steps of claims against a fake store that each test drives itself.

use bytes::Bytes;
use carob_base::{Name, Time};
use carob_claim::{Claims, Key, Options, Outcome, Step, Ticket, Verdict, key};
use carob_store::{Call, Entry, Expect, Failure, Lease, Reply};
use carob_wire::{Code, Execution};

/// Wall clock of every test: the time in [`KEY`].
const WALL_CLOCK_START: u64 = 0x0190_0000_0000;
const KEY: &str = "01900000-0000-7000-8000-000000000001";

fn claim_key(text: &str) -> Result<Key, key::Error> {
    let name = |text| Name::new(text).expect("a valid name");
    Key::new(&name("parish"), &name("orders"), text)
}

/// A store of one value that executes every call immediately.
#[derive(Default)]
struct Store {
    entry: Option<Entry>,
    revision: u64,
    swaps: u32,
}

impl Store {
    fn execute(&mut self, call: &Call) -> Reply {
        match call {
            Call::Get { .. } => Reply::Entries {
                entries: self.entry.iter().cloned().collect(),
                revision: self.revision,
            },
            Call::Grant { ttl } => Reply::Leased {
                lease: Lease(1),
                ttl: *ttl,
            },
            Call::Swap {
                key, expect, value, ..
            } => self.swap(key, *expect, value),
            other => panic!("claims make no such call: {other:?}"),
        }
    }

    fn swap(&mut self, key: &Bytes, expect: Expect, value: &Bytes) -> Reply {
        let matches = match (&self.entry, expect) {
            (None, Expect::Absent) => true,
            (Some(entry), Expect::At(revision)) => entry.revision == revision,
            _ => false,
        };
        if !matches {
            return Reply::Conflict {
                current: self.entry.clone(),
            };
        }
        self.swaps += 1;
        self.revision += 1;
        self.entry = Some(Entry {
            key: key.clone(),
            value: value.clone(),
            revision: self.revision,
        });
        Reply::Applied {
            revision: self.revision,
        }
    }

    /// Executes all store calls of `claims` until there are none left; returns the verdicts.
    fn serve(&mut self, claims: &mut Claims, now: Time) -> Vec<(Ticket, Verdict)> {
        let mut verdicts = Vec::new();
        loop {
            let Step {
                calls,
                verdicts: more,
            } = claims.poll(now);
            verdicts.extend(more);
            if calls.is_empty() {
                return verdicts;
            }
            for (id, call) in calls {
                let reply = self.execute(&call);
                claims.on_reply(id, Ok(reply), now);
            }
        }
    }
}

fn begin(claims: &mut Claims, now: Time) -> Ticket {
    let key = claim_key(KEY).expect("a valid key");
    claims.begin(key, 5, now, WALL_CLOCK_START)
}

#[test]
fn a_repeat_on_another_instance_gets_the_recorded_outcome() {
    let mut store = Store::default();
    let (mut first, mut second) = (Claims::new(Options::new(), 1), Claims::new(Options::new(), 2));
    let ticket = begin(&mut first, Time::ZERO);
    let verdicts = store.serve(&mut first, Time::ZERO);
    assert!(matches!(verdicts.as_slice(), [(_, Verdict::Granted { .. })]));
    assert_eq!(first.may_send(ticket, Time::ZERO, WALL_CLOCK_START), Ok(()));
    let outcome = Outcome::new(201, "text/plain", Bytes::from("booked"));
    first.finish(ticket, outcome.clone(), Time::from_millis(200));
    store.serve(&mut first, Time::from_millis(200));
    let repeat = begin(&mut second, Time::from_millis(300));
    let verdicts = store.serve(&mut second, Time::from_millis(300));
    assert_eq!(verdicts, [(repeat, Verdict::Replay(outcome))]);
}

#[test]
fn claims_of_one_round_share_a_swap() {
    let mut store = Store::default();
    let mut claims = Claims::new(
        Options {
            shards: 1,
            ..Options::new()
        },
        1,
    );
    for index in 0..50 {
        let text = format!("01900000-0000-7000-8000-0000000001{index:02}");
        claims.begin(
            claim_key(&text).expect("a valid key"),
            5,
            Time::ZERO,
            WALL_CLOCK_START,
        );
    }
    let verdicts = store.serve(&mut claims, Time::ZERO);
    assert_eq!(verdicts.len(), 50);
    assert_eq!(store.swaps, 1);
}

#[test]
fn a_claim_whose_confirmation_came_too_late_is_released() {
    let mut store = Store::default();
    let mut claims = Claims::new(Options::new(), 1);
    let ticket = begin(&mut claims, Time::ZERO);
    store.serve(&mut claims, Time::ZERO);
    let later = Time::from_millis(60_000);
    let problem = claims
        .may_send(ticket, later, WALL_CLOCK_START)
        .expect_err("the process was paused");
    assert_eq!(
        (problem.code, problem.outcome),
        (Code::StoreUnavailable, Execution::NotRun)
    );
    store.serve(&mut claims, later);
    let mut other = Claims::new(Options::new(), 2);
    let again = begin(&mut other, later);
    let verdicts = store.serve(&mut other, later);
    assert!(matches!(verdicts.as_slice(), [(ticket, Verdict::Granted { .. })] if *ticket == again));
}

#[test]
fn a_store_outage_refuses_the_call_as_not_run() {
    let mut claims = Claims::new(Options::new(), 1);
    begin(&mut claims, Time::ZERO);
    let step = claims.poll(Time::ZERO);
    for (id, _) in step.calls {
        claims.on_reply(id, Err(Failure::NotSent), Time::ZERO);
    }
    let step = claims.poll(Time::from_millis(2_000));
    let [(_, Verdict::Refused(problem))] = step.verdicts.as_slice() else {
        panic!("expected a refusal: {step:?}");
    };
    assert_eq!(
        (problem.code, problem.outcome),
        (Code::StoreUnavailable, Execution::NotRun)
    );
    assert_eq!(claims.pending(), 0);
}

#[test]
fn keys_without_a_time_or_out_of_their_time_are_rejected() {
    let random = claim_key("4f0c9d2e-0000-4000-8000-000000000001");
    assert_eq!(random, Err(key::Error::Malformed));
    assert_eq!(key::Error::Malformed.to_problem().outcome, Execution::NotRun);
    let mut claims = Claims::new(Options::new(), 1);
    let old = claim_key(KEY).expect("a valid key");
    claims.begin(old, 5, Time::ZERO, WALL_CLOCK_START + 601_000);
    let [(_, Verdict::Refused(problem))] = &claims.poll(Time::ZERO).verdicts[..] else {
        panic!("expected a refusal");
    };
    assert_eq!(
        (problem.code, problem.outcome),
        (Code::KeyRejected, Execution::Unknown)
    );
}

#[test]
fn a_process_whose_monotonic_clock_stopped_in_a_pause_sends_nothing() {
    let mut store = Store::default();
    let mut claims = Claims::new(Options::new(), 1);
    let ticket = begin(&mut claims, Time::ZERO);
    store.serve(&mut claims, Time::ZERO);
    let problem = claims
        .may_send(ticket, Time::ZERO, WALL_CLOCK_START + 3_600_000)
        .expect_err("the key is old by now");
    assert_eq!(
        (problem.code, problem.outcome),
        (Code::KeyRejected, Execution::Unknown)
    );
}

#[test]
fn a_repeat_waits_for_a_live_holder_and_not_for_one_that_has_ended() {
    let mut store = Store::default();
    let (mut first, mut second) = (Claims::new(Options::new(), 1), Claims::new(Options::new(), 2));
    begin(&mut first, Time::ZERO);
    store.serve(&mut first, Time::ZERO);
    let repeat = begin(&mut second, Time::ZERO);
    assert_eq!(store.serve(&mut second, Time::from_millis(100)), []);
    second.on_holder_ended(1);
    let verdicts = store.serve(&mut second, Time::from_millis(400));
    let [(ticket, Verdict::Refused(problem))] = verdicts.as_slice() else {
        panic!("expected a refusal: {verdicts:?}");
    };
    assert_eq!(
        (*ticket, problem.code, problem.outcome),
        (repeat, Code::OutcomeLost, Execution::Unknown)
    );
}

#[test]
fn a_repeat_that_has_waited_long_enough_is_told_so() {
    let mut store = Store::default();
    let (mut first, mut second) = (Claims::new(Options::new(), 1), Claims::new(Options::new(), 2));
    begin(&mut first, Time::ZERO);
    store.serve(&mut first, Time::ZERO);
    begin(&mut second, Time::ZERO);
    store.serve(&mut second, Time::ZERO);
    let verdicts = store.serve(&mut second, Time::from_millis(10_000));
    let [(_, Verdict::Refused(problem))] = verdicts.as_slice() else {
        panic!("expected a refusal: {verdicts:?}");
    };
    assert_eq!(
        (problem.code, problem.outcome),
        (Code::KeyInProgress, Execution::Unknown)
    );
}

#[test]
fn a_key_that_comes_again_with_another_request_is_refused() {
    let mut store = Store::default();
    let mut claims = Claims::new(Options::new(), 1);
    begin(&mut claims, Time::ZERO);
    store.serve(&mut claims, Time::ZERO);
    let key = claim_key(KEY).expect("a valid key");
    claims.begin(key, 6, Time::ZERO, WALL_CLOCK_START);
    let verdicts = store.serve(&mut claims, Time::from_millis(200));
    let [(_, Verdict::Refused(problem))] = verdicts.as_slice() else {
        panic!("expected a refusal: {verdicts:?}");
    };
    assert_eq!(
        (problem.code, problem.outcome),
        (Code::KeyReused, Execution::NotRun)
    );
}

#[test]
fn an_outcome_too_large_to_keep_is_answered_as_done() {
    let mut store = Store::default();
    let mut claims = Claims::new(Options::new(), 1);
    let ticket = begin(&mut claims, Time::ZERO);
    store.serve(&mut claims, Time::ZERO);
    claims
        .may_send(ticket, Time::ZERO, WALL_CLOCK_START)
        .expect("the claim is fresh");
    let outcome = Outcome::new(200, "text/plain", Bytes::from(vec![b'x'; 2_000]));
    claims.finish(ticket, outcome, Time::from_millis(200));
    store.serve(&mut claims, Time::from_millis(200));
    begin(&mut claims, Time::from_millis(300));
    let verdicts = store.serve(&mut claims, Time::from_millis(300));
    let [(_, Verdict::Refused(problem))] = verdicts.as_slice() else {
        panic!("expected a refusal: {verdicts:?}");
    };
    assert_eq!(
        (problem.code, problem.outcome),
        (Code::OutcomeLost, Execution::Done)
    );
}

#[test]
fn a_call_that_was_not_sent_may_be_tried_elsewhere_for_as_long_as_the_permission_lasts() {
    let mut store = Store::default();
    let mut claims = Claims::new(Options::new(), 1);
    let ticket = begin(&mut claims, Time::ZERO);
    store.serve(&mut claims, Time::ZERO);
    assert_eq!(claims.may_send(ticket, Time::ZERO, WALL_CLOCK_START), Ok(()));
    assert_eq!(
        claims.may_send(ticket, Time::from_millis(1_000), WALL_CLOCK_START),
        Ok(())
    );
    let problem = claims
        .may_send(ticket, Time::from_millis(5_000), WALL_CLOCK_START)
        .expect_err("it has ended");
    assert_eq!(problem.outcome, Execution::NotRun);
}
