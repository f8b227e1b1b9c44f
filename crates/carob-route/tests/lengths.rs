//! Answer length model: per-account medians, fallback to the service, interrupted answers, and shifts of the
//! distribution in both directions.

use carob_base::{AccountKey, ServiceKey};
use carob_route::length::{GroupKey, LengthModel};
use slotmap::SlotMap;

/// The model records observations.
const LEARNING: bool = true;

/// Keys of a service and of two accounts.
fn keys() -> (ServiceKey, AccountKey, AccountKey) {
    let mut services: SlotMap<ServiceKey, ()> = SlotMap::with_key();
    let mut accounts: SlotMap<AccountKey, ()> = SlotMap::with_key();
    (services.insert(()), accounts.insert(()), accounts.insert(()))
}

/// Records an answer of `length` tokens, from its first token to its end.
fn record_answer(lengths: &mut LengthModel, group: GroupKey, length: u32) {
    lengths.record_growth(group, 0, length);
    lengths.record_end(group, length);
}

fn median(lengths: &mut LengthModel, group: GroupKey) -> u32 {
    lengths.refresh(group);
    lengths.table(group).survival_quantile(0, 0.5)
}

#[test]
fn the_median_is_learned_by_account() {
    let (service, short, long) = keys();
    let mut lengths = LengthModel::new(LEARNING);
    let short_group = lengths.group(service, short, 100);
    let long_group = lengths.group(service, long, 100);
    for _ in 0..200 {
        record_answer(&mut lengths, short_group, 40);
        record_answer(&mut lengths, long_group, 900);
    }
    let (short_median, long_median) = (
        median(&mut lengths, short_group),
        median(&mut lengths, long_group),
    );
    assert!((30..60).contains(&short_median), "{short_median}");
    assert!((700..1_100).contains(&long_median), "{long_median}");
}

#[test]
fn a_new_account_starts_from_its_service() {
    let (service, known, new) = keys();
    let mut lengths = LengthModel::new(LEARNING);
    let known = lengths.group(service, known, 100);
    for _ in 0..300 {
        record_answer(&mut lengths, known, 60);
    }
    lengths.refresh(known);
    let new = lengths.group(service, new, 100);
    let median = median(&mut lengths, new);
    assert!((40..90).contains(&median), "{median}");
}

#[test]
fn interrupted_answers_do_not_look_short() {
    let (service, account, _) = keys();
    let mut lengths = LengthModel::new(LEARNING);
    let group = lengths.group(service, account, 100);
    for round in 0..400 {
        // Every other answer is cut off at 100 tokens; the others end at 1000. Counting a cut-off answer as
        // ended would pull the median down.
        if round % 2 == 0 {
            lengths.record_growth(group, 0, 100);
            lengths.record_censored(group, 100);
        } else {
            record_answer(&mut lengths, group, 1_000);
        }
    }
    let median = median(&mut lengths, group);
    assert!((800..1_200).contains(&median), "{median}");
}

#[test]
fn a_shift_towards_longer_answers_shows_before_they_end() {
    let (service, account, _) = keys();
    let mut lengths = LengthModel::new(LEARNING);
    let group = lengths.group(service, account, 100);
    for _ in 0..100 {
        record_answer(&mut lengths, group, 50);
    }
    for _ in 0..150 {
        lengths.record_growth(group, 0, 400);
    }
    let median = median(&mut lengths, group);
    assert!(median > 300, "{median}");
}

#[test]
fn old_answers_fade_in_both_directions() {
    for (before, after) in [(2_000, 50), (50, 2_000)] {
        let (service, account, _) = keys();
        let mut lengths = LengthModel::new(LEARNING);
        let group = lengths.group(service, account, 100);
        for _ in 0..300 {
            record_answer(&mut lengths, group, before);
        }
        for _ in 0..600 {
            record_answer(&mut lengths, group, after);
        }
        let median = median(&mut lengths, group);
        let low = f64::from(after) * 0.7;
        let high = f64::from(after) * 1.4;
        assert!(
            (low..high).contains(&f64::from(median)),
            "{before} then {after}: {median}"
        );
    }
}

#[test]
fn survival_never_grows_with_the_length() {
    let (service, account, _) = keys();
    let mut lengths = LengthModel::new(LEARNING);
    let group = lengths.group(service, account, 3_000);
    for length in 1..500 {
        record_answer(&mut lengths, group, length * 7 % 900 + 1);
    }
    lengths.refresh(group);
    let table = lengths.table(group);
    let mut last = 1.0;
    for length in (0..300_000).step_by(37) {
        let survival = table.survival(length);
        assert!(
            (0.0..=last).contains(&survival),
            "{length}: {survival} after {last}"
        );
        last = survival;
    }
}
