//! What operators are told of a placement is what is done.

use std::{collections::HashMap, time::Duration};

use carob_base::Time;
use carob_dispatch::{
    fleet::{
        Candidate, Cause, Decision, DirectoryEntry, Exclusion, Explanation, Fleet, MessageStamp, PeerLoad,
        Placement, QueuedRequest, RequestSize, Requirements, Stay, Topology, UpstreamKey, UpstreamState,
    },
    head::PromptPart,
    limits::ColdRate,
    regions::Regions,
};

const NOW: Time = Time::from_millis(10_000);
const SIZE: RequestSize = RequestSize {
    tokens: 4_000,
    prefill: 3_000,
};
const STAY: Stay = Stay {
    priority: 1,
    longest: Duration::from_millis(900),
    left: Duration::from_millis(900),
    is_repeat: false,
    is_forecast: false,
};

fn add(fleet: &mut Fleet, id: &str, service: &str, domain: &str) -> UpstreamKey {
    let number = fleet.upstreams().count() as u8 + 1;
    let entry = DirectoryEntry {
        id: id.into(),
        started_ms: 1,
        sequence: 1,
        service: service.into(),
        address: ([10, 0, 0, number], 80).into(),
        domain: domain.into(),
        slots: 24,
        state: UpstreamState::Ready,
        cold_left: Duration::ZERO,
    };
    fleet.update_entry(entry, NOW);
    let found = fleet.upstreams().find(|(_, upstream)| *upstream.entry.id == *id);
    found.unwrap().0
}

/// A fleet at an instance in `a1`, with `count` engines in turn in `a1`, `a2` (region `a`) and `b1` (region `b`).
fn fleet(count: usize) -> (Fleet, Vec<UpstreamKey>) {
    let regions = [("a1", "a"), ("a2", "a"), ("b1", "b")];
    let topology = Topology {
        domain: "a1".into(),
        regions: regions
            .map(|(domain, region)| (domain.into(), region.into()))
            .into(),
    };
    let mut fleet = Fleet::new(topology, 7);
    let engines = (0..count).map(|number| {
        add(
            &mut fleet,
            &format!("e{number}"),
            "engines",
            regions[number % 3].0,
        )
    });
    let engines = engines.collect();
    (fleet, engines)
}

fn requirements() -> Requirements {
    let prompt = PromptPart { id: 5, tokens: 2_000 };
    Requirements::new("engines".into(), SIZE, 34_000).with_prompt([prompt].into_iter().collect())
}

fn explain(fleet: &Fleet, requirements: &Requirements) -> Explanation {
    fleet.explain(requirements, &STAY, || 1, NOW)
}

fn find(explanation: &Explanation, key: UpstreamKey) -> &Candidate {
    let mut candidates = explanation.candidates.iter();
    candidates.find(|candidate| candidate.key == key).unwrap()
}

/// The explanation must name the upstream that the next request goes to, whatever the load, the paces and the caches, and
/// the request after the question must go where it went without the question.
#[test]
fn the_explanation_agrees_with_the_placements_made() {
    let (mut asked, engines) = fleet(9);
    let (mut other, _) = fleet(9);
    let mut chosen = HashMap::new();
    for round in 0..200 {
        let explanation = explain(&asked, &requirements());
        let placement = asked.place(&requirements(), NOW);
        assert_eq!(placement, other.place(&requirements(), NOW));
        let Placement::Upstream(key) = placement else {
            assert!(matches!(explanation.decision, Decision::Wait(Cause::Full)));
            assert!(
                explanation
                    .candidates
                    .iter()
                    .all(|found| found.evaluation == Err(Exclusion::Full))
            );
            assert!(round > 50, "there is room for 9 generations at each engine");
            return;
        };
        assert!(matches!(explanation.decision, Decision::Send(found) if found == key));
        assert_eq!(explanation.candidates[0].key, key);
        let totals = explanation
            .candidates
            .iter()
            .filter_map(|found| found.evaluation.ok());
        assert!(totals.map(|score| score.total()).is_sorted());
        *chosen.entry(key).or_insert(0) += 1;
        for fleet in [&mut asked, &mut other] {
            fleet.record_gap(key, Duration::from_millis(10 + chosen[&key]), NOW);
            let run = fleet.start_request(key, SIZE);
            fleet.record_prompt(key, &requirements().prompt, NOW);
            if round % 3 == 0 {
                fleet.resize(run, RequestSize { prefill: 0, ..SIZE });
            }
        }
        assert!(chosen.len() <= engines.len());
    }
    panic!("the engines never were full");
}

/// Operators must see what a score is made of, and how old that is.
#[test]
fn the_terms_and_their_ages_are_told() {
    let (mut fleet, engines) = fleet(3);
    let load = PeerLoad {
        upstream_hash: fleet.upstream_hash(engines[2]),
        requests: 1,
        tokens: 3_400,
        prefill: 0,
    };
    let stamp = MessageStamp {
        boot_id: 1,
        number: 1,
    };
    let heard = Time::from_millis(9_600);
    fleet.apply_peer_loads(([10, 1, 0, 1], 7000).into(), stamp, vec![load], true, heard);
    fleet.record_prompt(engines[1], &requirements().prompt, Time::from_millis(9_000));
    let explanation = explain(&fleet, &requirements());
    let (near, far) = (find(&explanation, engines[0]), find(&explanation, engines[2]));
    let score = far.evaluation.unwrap();
    assert_eq!((score.load, score.distance), (0.1, 0.08));
    assert_eq!(far.load_age, Some(Duration::from_millis(400)));
    assert!(near.evaluation.unwrap().distance < score.distance);
    assert_eq!(near.load_age, None);
    let saved = find(&explanation, engines[1]);
    assert_eq!(
        (saved.held.tokens, saved.held.age),
        (2_000, Duration::from_secs(1))
    );
    assert!(saved.evaluation.unwrap().saved > 0.0);
}

/// Each upstream that a request does not go to must have its reason.
#[test]
fn each_exclusion_shows() {
    let (mut fleet, engines) = fleet(8);
    add(&mut fleet, "other", "plain", "a1");
    let [leaving, evacuated, region, paused, _, far, cold, limited] = engines[..] else {
        panic!("eight engines");
    };
    let tried = add(&mut fleet, "tried", "engines", "a1");
    let full = add(&mut fleet, "full", "engines", "a1");
    fleet.mark_leaving(leaving, NOW);
    fleet.set_evacuated(["a2".into()].into());
    fleet.pause(paused, Time::from_millis(12_000));
    fleet.set_cold_rates([("engines".into(), ColdRate::new(26.0))].into());
    let hash = fleet.upstream_hash(cold);
    fleet
        .cold_mut()
        .record_entry((hash, "engines"), 2, Duration::from_secs(2), NOW);
    // The last one is in a failure domain that is in service.
    let limited_near = add(&mut fleet, "limited", "engines", "a1");
    let hash = fleet.upstream_hash(limited_near);
    fleet.limits_mut().record_answer(hash, Some(1.0), NOW, NOW);
    for _ in 0..24 {
        fleet.start_request(full, SIZE);
    }
    let required = requirements()
        .with_regions(Regions::listed(vec!["a".into()]))
        .with_excluded([tried].into_iter().collect());
    let explanation = explain(&fleet, &required);
    let expected = [
        (leaving, Exclusion::Leaving),
        (tried, Exclusion::Tried),
        (region, Exclusion::Region),
        (far, Exclusion::Region),
        (evacuated, Exclusion::Evacuated),
        (limited, Exclusion::Evacuated),
        (cold, Exclusion::Cold),
        (paused, Exclusion::Paused),
        (limited_near, Exclusion::NoPermit),
        (full, Exclusion::Full),
    ];
    for (key, exclusion) in expected {
        assert_eq!(find(&explanation, key).evaluation, Err(exclusion));
    }
    assert_eq!(find(&explanation, paused).pause, Duration::from_secs(2));
    assert_eq!(explanation.other_services, 1);
    assert_eq!(explanation.candidates.len(), 11);
    let Decision::Wait(cause) = explanation.decision else {
        panic!("found {:?}", explanation.decision);
    };
    assert_eq!(cause.name(), "full");
}

/// A request that is not sent at once must have its reason as well.
#[test]
fn each_reason_to_wait_or_refuse_shows() {
    let cause = |fleet: &Fleet, requirements: &Requirements, stay: &Stay| match fleet
        .explain(requirements, stay, || 1, NOW)
        .decision
    {
        Decision::Send(_) => "send",
        Decision::Wait(cause) | Decision::Refuse(cause) => cause.name(),
    };
    let (mut fleet, engines) = fleet(1);
    let nowhere = requirements().with_regions(Regions::listed(vec!["c".into()]));
    assert_eq!(cause(&fleet, &nowhere, &STAY), "no-upstream");
    assert_eq!(cause(&fleet, &requirements(), &STAY), "send");
    fleet.enqueue(QueuedRequest {
        requirements: requirements(),
        priority: 1,
        queued_at: NOW,
        share: None,
    });
    assert_eq!(cause(&fleet, &requirements(), &STAY), "queue");
    let repeat = Stay {
        is_repeat: true,
        ..STAY
    };
    assert_eq!(cause(&fleet, &requirements(), &repeat), "send");
    let late = Stay {
        left: Duration::ZERO,
        ..STAY
    };
    let explanation = fleet.explain(&requirements(), &late, || 1, NOW);
    assert!(matches!(explanation.decision, Decision::Refuse(Cause::Full)));
    fleet.pause(engines[0], Time::from_millis(60_000));
    let explanation = explain(&fleet, &requirements());
    assert!(matches!(explanation.decision, Decision::Refuse(Cause::Held(_))));
}
