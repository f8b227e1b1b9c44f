//! Which beginnings of prompts upstreams are taken to have cached, and what that changes in placement.

use std::{collections::HashSet, time::Duration};

use carob_base::Time;
use carob_dispatch::{
    fleet::{
        DirectoryEntry, Fleet, Placement, PrefixReport, RequestSize, Requirements, Topology, UpstreamKey,
        UpstreamState,
    },
    head::PromptPart,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const CAPACITY: u64 = 26_881;
const NOW: Time = Time::from_millis(10_000);

fn size(tokens: u64, prefill: u64) -> RequestSize {
    RequestSize { tokens, prefill }
}

fn add(fleet: &mut Fleet, number: u16, started_ms: u64, domain: &str) -> UpstreamKey {
    let id = format!("engine-{number}");
    fleet.update_entry(
        DirectoryEntry {
            id: id.as_str().into(),
            started_ms,
            sequence: 0,
            service: "engines".into(),
            address: ([127, 0, 0, 1], number).into(),
            domain: domain.into(),
            slots: 24,
            state: UpstreamState::Ready,
            cold_left: Duration::ZERO,
        },
        NOW,
    );
    let mut added = fleet.upstreams();
    let found = added.find(|(_, found)| *found.entry.id == *id && found.entry.started_ms == started_ms);
    found.expect("added").0
}

/// A fleet with `count` engines in its own failure domain.
fn fleet(count: u16, seed: u64) -> (Fleet, Vec<UpstreamKey>) {
    let regions = [("a", "north"), ("c", "south")].map(|(domain, region)| (domain.into(), region.into()));
    let (domain, regions) = ("a".into(), regions.into_iter().collect());
    let mut fleet = Fleet::new(Topology { domain, regions }, seed);
    let keys = (1..=count)
        .map(|number| add(&mut fleet, number, 7, "a"))
        .collect();
    (fleet, keys)
}

/// A prompt with the shared parts `first` (210 tokens) and `second` (140 tokens).
fn prompt(first: u32, second: u32) -> Vec<PromptPart> {
    let part = |id, tokens| PromptPart { id, tokens };
    vec![part(first, 210), part(second, 140)]
}

fn requirements(prompt: &[PromptPart]) -> Requirements {
    Requirements::new("engines".into(), size(2_208, 2_200), CAPACITY).with_prompt(prompt.into())
}

fn placed(fleet: &Fleet, prompt: &[PromptPart]) -> UpstreamKey {
    match fleet.place(&requirements(prompt), NOW) {
        Placement::Upstream(key) => key,
        other => panic!("{other:?}"),
    }
}

fn saved(fleet: &Fleet, key: UpstreamKey, prompt: &[PromptPart], millis: u64) -> u64 {
    let now = NOW + Duration::from_millis(millis);
    fleet.held_prefix(key, &requirements(prompt), now).tokens
}

/// A part behind one that is not cached is prefilled, and must not be counted as saved.
#[test]
fn tokens_are_saved_from_the_first_part_on() {
    let (mut fleet, keys) = fleet(1, 1);
    fleet.record_prompt(keys[0], &prompt(1, 2), NOW);
    assert_eq!(saved(&fleet, keys[0], &prompt(1, 2), 0), 350);
    assert_eq!(saved(&fleet, keys[0], &prompt(1, 9), 0), 210);
    assert_eq!(saved(&fleet, keys[0], &prompt(9, 2), 0), 0);
    // A wrong guess must not hide more than a quarter of a prefill.
    let expected = |prompt: &[PromptPart]| fleet.expected_size(keys[0], &requirements(prompt), NOW).prefill;
    let long = vec![PromptPart { id: 1, tokens: 9_000 }];
    assert_eq!(saved(&fleet, keys[0], &long, 0), 2_200);
    let asked = [prompt(1, 2), long, vec![]];
    assert_eq!(asked.map(|asked| expected(&asked)), [1_850, 1_650, 2_200]);
}

/// A saving must not outweigh a longer wait, whatever the random part of the choice, nor cause traffic between regions.
#[test]
fn a_holder_is_chosen_unless_the_wait_there_is_longer_than_what_it_saves() {
    let cases = [(0, 0), (250, 0), (400, 1), (1_000, 1)];
    for (seed, (pending, holder)) in (0..400).zip(cases.into_iter().cycle()) {
        let (mut fleet, keys) = fleet(2, seed);
        let far = add(&mut fleet, 3, 7, "c");
        fleet.record_prompt(far, &prompt(5, 6), NOW);
        assert_ne!(placed(&fleet, &prompt(5, 6)), far, "seed {seed}");
        fleet.record_prompt(keys[0], &prompt(1, 2), NOW);
        fleet.start_request(keys[0], size(100, pending));
        fleet.start_request(keys[1], size(100, 0));
        let chosen = placed(&fleet, &prompt(1, 2));
        assert_eq!(chosen, keys[holder], "seed {seed}, {pending} pending");
        // Without the header, nothing changes.
        assert!(pending == 0 || placed(&fleet, &[]) == keys[1], "seed {seed}");
    }
}

/// Engines drop parts that are not used, all of them when they start again, and early if running requests need the memory.
#[test]
fn parts_are_forgotten_in_time_at_a_new_incarnation_and_where_memory_is_full() {
    let (mut fleet, keys) = fleet(1, 1);
    let asked = prompt(1, 2);
    fleet.record_prompt(keys[0], &asked, NOW);
    let after = |fleet: &Fleet, times: [u64; 2]| times.map(|millis| saved(fleet, keys[0], &asked, millis));
    assert_eq!(after(&fleet, [4_900, 5_000]), [350, 0]);
    fleet.start_request(keys[0], size(CAPACITY * 3 / 4, 0));
    assert_eq!(after(&fleet, [2_400, 2_600]), [350, 0], "a quarter is free");
    fleet.start_request(keys[0], size(CAPACITY / 4 + 1, 0));
    assert_eq!(after(&fleet, [0, 0]), [0, 0], "the memory is full");
    let report = PrefixReport {
        upstream_hash: fleet.upstream_hash(keys[0]),
        parts: [1, 2].into_iter().collect(),
    };
    let restarted = add(&mut fleet, 1, 8, "a");
    // Others may not know yet that it started again.
    fleet.merge_prefix_reports(&[report], NOW);
    assert_eq!(saved(&fleet, restarted, &asked, 0), 0);
    fleet.evict_stale(NOW + Duration::from_secs(5));
    assert_eq!(fleet.prefix_parts(), 0);
}

/// The memory of an instance and the bytes that others send it are bounded, whatever clients name in their prompts.
#[test]
fn parts_and_messages_are_bounded() {
    let (mut fleet, keys) = fleet(100, 1);
    let mut bytes = 0;
    for step in 0..20_000_u32 {
        let now = NOW + Duration::from_millis(u64::from(step) / 4);
        let key = keys[step as usize % 100];
        fleet.record_prompt(key, &prompt(2 * step, 2 * step + 1), now);
        let reports = fleet.take_prefix_reports(369, step % 4_000 == 0, now);
        let lengths = reports.iter().map(|report| 14 + 4 * report.parts.len());
        bytes += lengths.sum::<usize>();
    }
    assert!(fleet.prefix_parts() <= 16_384, "{} parts", fleet.prefix_parts());
    assert!(0 < bytes && bytes <= 2_048 * 5 / 369 + 64, "{bytes} bytes in 5 s");
    let (mut fleet, keys) = self::fleet(1, 1);
    for number in 0..1_000 {
        let now = NOW + Duration::from_millis(number.into());
        fleet.record_prompt(keys[0], &prompt(2 * number, 2 * number + 1), now);
    }
    // The latest are kept.
    assert_eq!(saved(&fleet, keys[0], &prompt(1_998, 1_999), 1_000), 350);
    assert!(fleet.prefix_parts() <= 256);
}

/// What others have heard of costs no bytes; a lost message is made up for by the next complete one.
#[test]
fn shared_parts_are_told_once_and_repeated_once() {
    let (mut fleet, keys) = fleet(1, 1);
    let take = |fleet: &mut Fleet, complete, millis| {
        let reports = fleet.take_prefix_reports(6, complete, NOW + Duration::from_millis(millis));
        let parts = reports.into_iter().map(|report| report.parts.into_vec());
        parts.collect::<Vec<_>>()
    };
    fleet.record_prompt(keys[0], &prompt(1, 2), NOW);
    assert_eq!(take(&mut fleet, false, 10), [[1, 2]]);
    assert!(take(&mut fleet, false, 20).is_empty());
    assert_eq!(take(&mut fleet, true, 30), [[1, 2]]);
    assert!(take(&mut fleet, true, 1_030).is_empty());
    fleet.record_prompt(keys[0], &prompt(1, 8), NOW + Duration::from_millis(1_100));
    assert_eq!(take(&mut fleet, false, 1_200), [[8]]);
}

/// Shares of the shared tokens that are cached at the upstreams which an instance chooses, with and without the prompt, if
/// it knows of `known` of the prompts that were sent to `engines` equally loaded engines in the last 5 s.
fn found_shares(rate: u32, engines: u16, known: f64) -> [f64; 2] {
    let (mut fleet, keys) = fleet(engines, 1);
    let mut random = StdRng::seed_from_u64(7);
    let mut draw = || prompt(random.random_range(0..16), random.random_range(100..4_235));
    let mut cached = HashSet::new();
    for number in 0..5 * rate {
        let (key, drawn) = (keys[number as usize % keys.len()], draw());
        cached.extend(drawn.iter().map(|part| (key, part.id)));
        if f64::from(number * 7_919 % 1_000) < known * 1_000.0 {
            fleet.record_prompt(key, &drawn, NOW);
        }
    }
    let mut found = [0, 0];
    for _ in 0..2_000 {
        let drawn = draw();
        let run = fleet.start_request(keys[0], size(0, 0));
        fleet.finish_request(run);
        for (tokens, asked) in found.iter_mut().zip([&drawn[..], &[]]) {
            let key = placed(&fleet, asked);
            let held = drawn.iter().take_while(|part| cached.contains(&(key, part.id)));
            *tokens += held.map(|part| part.tokens).sum::<u32>();
        }
    }
    found.map(|tokens| f64::from(tokens) / (350.0 * 2_000.0))
}

/// Knowledge that is late (30 ms of 5 s), lost in part or cut to the permitted bytes must still find what chance does not.
#[test]
fn shared_tokens_are_found_although_messages_are_late_and_lost() {
    for (instances, rate, engines, loss) in [
        (7, 7, 6, 0.0),
        (66, 70, 57, 0.0),
        (66, 70, 57, 0.3),
        (66, 70, 57, 1.0),
        (300, 4_135, 486, 0.3),
    ] {
        let told = (2_048.0 / (22.0 * f64::from(rate))).min(1.0) * (1.0 - loss) * (1.0 - 0.03 / 5.0);
        let known = 1.0 / f64::from(instances) + (1.0 - 1.0 / f64::from(instances)) * told;
        let [with, without] = found_shares(rate, engines, known);
        println!(
            "{instances} instances, {loss} lost, {known:.3} known: {with:.3} found, {without:.3} without"
        );
        // One of 16 first parts, which is 0.6 of the shared tokens, is found unless no prompt that is known has it.
        let least = 0.6 * (1.0 - (15.0_f64 / 16.0).powf(known * 5.0 * f64::from(rate)));
        assert!(with >= 0.9 * least && with >= without, "{with}, {least} expected");
    }
}
