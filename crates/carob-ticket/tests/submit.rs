//! Submitting tickets: concurrent submissions, lost replies, store outages, and snapshots.

mod common;

use carob_config::Revision;
use carob_ticket::{
    Ledger, Refusal, Submission, Ticket,
    head::{HEAD_KEY, Head, SNAPSHOT_KEY},
    submit::{Outcome, Step},
};
use common::{Fault, Store, service, submit};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

fn recorded(outcome: &Outcome) -> u64 {
    let Outcome::Recorded(accepted) = outcome else {
        panic!("not recorded: {outcome:?}");
    };
    accepted.revision.0
}

fn head(store: &Store) -> Head {
    Head::from_bytes(&store.entries[HEAD_KEY].value).expect("readable")
}

/// The ledger that a newly started instance reads from the store.
fn stored(store: &Store) -> Ledger {
    let mut ledger = Ledger::new();
    if head(store).apply_to(&mut ledger).is_err() {
        ledger = Ledger::from_bytes(&store.entries[SNAPSHOT_KEY].value).expect("readable");
        head(store)
            .apply_to(&mut ledger)
            .expect("the tail follows the snapshot");
    }
    ledger
}

#[test]
fn a_lost_reply_is_settled_by_reading_again() {
    let mut store = Store {
        fault: Some(Fault::ReplyLost),
        ..Store::default()
    };
    assert_eq!(
        recorded(&submit(&mut store, service(1, "a", 1), Ledger::new())),
        1
    );
    assert_eq!(head(&store).tail.len(), 1);
}

#[test]
fn a_repeated_submission_has_the_first_answer() {
    let mut store = Store::default();
    submit(&mut store, service(1, "a", 1), Ledger::new());
    submit(&mut store, service(2, "a", 2), Ledger::new());
    assert_eq!(
        recorded(&submit(&mut store, service(1, "a", 1), Ledger::new())),
        1
    );
    assert_eq!(head(&store).revision(), Revision(2));
}

#[test]
fn an_outage_is_said_to_have_changed_nothing_only_if_it_is_certain() {
    let mut store = Store {
        fault: Some(Fault::Down),
        ..Store::default()
    };
    let outcome = submit(&mut store, service(1, "a", 1), Ledger::new());
    assert_eq!(outcome, Outcome::Unavailable { unknown: false });

    let mut store = Store::default();
    let mut submission = Submission::new(service(1, "a", 1), Ledger::new(), 3);
    let Step::Call(read) = submission.start() else {
        panic!("the head is read first");
    };
    let Step::Call(write) = submission.on_reply(store.call(&read)) else {
        panic!("the head is written next");
    };
    store.call(&write).expect("carried out");
    let mut step = submission.on_reply(Err(carob_store::Failure::Unknown));
    loop {
        step = match step {
            Step::Call(_) => submission.on_reply(Err(carob_store::Failure::NotSent)),
            Step::Wait(_) => submission.start(),
            Step::Finished(outcome) => {
                assert_eq!(outcome, Outcome::Unavailable { unknown: true });
                return;
            }
        };
    }
}

#[test]
fn a_store_that_lost_tickets_is_not_written_over() {
    let mut ledger = Ledger::new();
    ledger.apply(&service(1, "a", 1)).expect("accepted");
    let outcome = submit(&mut Store::default(), service(2, "a", 1), ledger);
    assert!(matches!(outcome, Outcome::Refused(Refusal::StoreBehind { .. })));
}

#[test]
fn the_head_stays_small_and_the_snapshot_fills_the_gap() {
    let mut store = Store::default();
    for number in 1..=200 {
        let ticket = service(number, &format!("s{}", number % 50), number);
        assert_eq!(recorded(&submit(&mut store, ticket, Ledger::new())), number);
        let size = store.entries[HEAD_KEY].value.len();
        assert!(size < 16 * 1024, "the head has {size} bytes");
    }
    let ledger = stored(&store);
    assert_eq!(ledger.revision(), Revision(200));
    assert_eq!(ledger.config().services.len(), 50);
}

/// Interleaves the steps of one submission per ticket at random, with some replies lost. Returns the final
/// store and the outcomes in the order in which the submissions ended.
fn race(seed: u64, tickets: Vec<Ticket>) -> (Store, Vec<(Ticket, Outcome)>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut store = Store::default();
    let mut open: Vec<_> = tickets
        .into_iter()
        .map(|ticket| {
            let mut submission = Submission::new(ticket.clone(), Ledger::new(), seed);
            let step = submission.start();
            (ticket, submission, step)
        })
        .collect();
    let mut finished = Vec::new();
    while !open.is_empty() {
        let index = rng.random_range(0..open.len());
        if rng.random_range(0..10) == 0 {
            store.fault = Some(Fault::ReplyLost);
        }
        let (_, submission, step) = &mut open[index];
        *step = match step {
            Step::Call(call) => submission.on_reply(store.call(call)),
            Step::Wait(_) => submission.start(),
            Step::Finished(outcome) => {
                let outcome = outcome.clone();
                finished.push((open.swap_remove(index).0, outcome));
                continue;
            }
        };
    }
    (store, finished)
}

#[test]
fn racing_operators_agree_on_one_order() {
    for seed in 0..100 {
        // Numbers 1 to 8, and number 4 a second time with different content.
        let mut tickets: Vec<_> = (1..=8).map(|n| service(n, &format!("s{}", n % 3), n)).collect();
        tickets.push(service(4, "s1", 99));
        let (store, finished) = race(seed, tickets);
        let ledger = stored(&store);
        let mut revisions = Vec::new();
        for (ticket, outcome) in &finished {
            match outcome {
                Outcome::Recorded(accepted) => {
                    assert_eq!(ledger.accepted(ticket.number), Some(*accepted), "seed {seed}");
                    revisions.push(accepted.revision.0);
                }
                Outcome::Refused(_) => {
                    let accepted = ledger.accepted(ticket.number);
                    assert!(
                        accepted.is_none_or(|a| a.digest != ticket.digest()),
                        "seed {seed}"
                    );
                }
                other => panic!("seed {seed}: {other:?}"),
            }
        }
        revisions.sort_unstable();
        let expected: Vec<_> = (1..=ledger.revision().0).collect();
        assert_eq!(revisions, expected, "seed {seed}");
        // Each object ends with its highest ticket number: 6 for s0, 7 for s1, 8 for s2.
        for (name, patience) in [("s0", 6), ("s1", 7), ("s2", 8)] {
            let service = &ledger.config().services[name];
            assert_eq!(service.response_timeout.as_secs(), patience, "seed {seed}");
        }
    }
}
