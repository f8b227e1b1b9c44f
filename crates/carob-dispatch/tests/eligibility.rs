//! Where requests may run: every choice of an upstream keeps to the same conditions.

use std::collections::HashMap;

use carob_base::Time;
use carob_dispatch::{
    fleet::{
        DirectoryEntry, Exclusion, Fleet, MessageStamp, Placement, RelayOffer, RequestSize, Requirements,
        Topology, UpstreamKey, UpstreamState,
    },
    regions::Regions,
};

const NOW: Time = Time::from_millis(1_000);
const SIZE: RequestSize = RequestSize {
    tokens: 4_000,
    prefill: 3_000,
};

/// A fleet at an instance in `a1`, with two engines in each of the failure domains `a1`, `a2` (region `a`), `b1`
/// (region `b`) and `c1`, whose region is unknown.
fn fleet() -> Fleet {
    let regions = [("a1", "a"), ("a2", "a"), ("b1", "b")];
    let topology = Topology {
        domain: "a1".into(),
        regions: regions
            .map(|(domain, region)| (domain.into(), region.into()))
            .into(),
    };
    let mut fleet = Fleet::new(topology, 7);
    for (number, domain) in ["a1", "a1", "a2", "a2", "b1", "b1", "c1", "c1"]
        .into_iter()
        .enumerate()
    {
        fleet.update_entry(
            DirectoryEntry {
                id: format!("e{number}").into(),
                started_ms: 1,
                sequence: 1,
                service: "engines".into(),
                address: ([10, 0, 0, number as u8 + 1], 80).into(),
                domain: domain.into(),
                slots: 24,
                state: UpstreamState::Ready,
                cold_left: std::time::Duration::ZERO,
            },
            NOW,
        );
    }
    fleet
}

fn requirements(regions: &[&str]) -> Requirements {
    let regions = regions.iter().map(|name| Box::from(*name)).collect();
    Requirements::new("engines".into(), SIZE, 34_000).with_regions(Regions::listed(regions))
}

fn domain(fleet: &Fleet, key: UpstreamKey) -> &str {
    &fleet.upstream(key).unwrap().entry.domain
}

/// Failure domains that placements, load queries and migrations from each upstream choose, until all are full.
fn chosen(fleet: &mut Fleet, requirements: &Requirements) -> HashMap<String, u32> {
    let mut domains = HashMap::new();
    let mut count = |domain: &str| *domains.entry(domain.to_owned()).or_default() += 1;
    let keys: Vec<_> = fleet.upstreams().map(|(key, _)| key).collect();
    for draw in 0..50 {
        for key in fleet.sample(requirements, 8, draw, NOW) {
            count(domain(fleet, key));
        }
        for from in &keys {
            if let Some(target) = fleet.migration_target(*from, requirements, draw, NOW) {
                count(domain(fleet, target));
            }
        }
    }
    while let Placement::Upstream(key) = fleet.place(requirements, NOW) {
        count(domain(fleet, key));
        fleet.start_request(key, SIZE);
    }
    domains
}

/// A request whose homes are full or have nothing must not be sent abroad, however much room is there.
#[test]
fn restricted_requests_stay_in_their_regions() {
    let domains = chosen(&mut fleet(), &requirements(&["b"]));
    assert_eq!(domains.keys().collect::<Vec<_>>(), ["b1"]);
    let placement = fleet().place(&requirements(&["d"]), NOW);
    assert_eq!(placement, Placement::NoUpstream);
    let all = chosen(&mut fleet(), &requirements(&[]));
    assert_eq!(all.len(), 4, "{all:?}");
}

/// An evacuated failure domain must get nothing, and everything again once it is taken back.
#[test]
fn evacuated_domains_get_nothing_until_they_are_taken_back() {
    let mut fleet = fleet();
    assert!(fleet.set_evacuated(["a1".into()].into()));
    assert!(!fleet.set_evacuated(["a1".into()].into()));
    let domains = chosen(&mut fleet, &requirements(&["a"]));
    assert_eq!(domains.keys().collect::<Vec<_>>(), ["a2"]);
    assert!(fleet.set_evacuated([].into()));
    assert!(
        matches!(fleet.place(&requirements(&["a"]), NOW), Placement::Upstream(key) if domain(&fleet, key) == "a1")
    );
}

/// What is true when an upstream is chosen may have changed when the request is sent.
#[test]
fn destinations_are_checked_against_the_state_in_force() {
    let mut fleet = fleet();
    let Placement::Upstream(key) = fleet.place(&requirements(&["a"]), NOW) else {
        panic!("an upstream is free");
    };
    let regions = |name: &str| Regions::listed(vec![name.into()]);
    assert_eq!(fleet.check_destination(key, &regions("a")), Ok(()));
    assert_eq!(
        fleet.check_destination(key, &regions("b")),
        Err(Exclusion::Region)
    );
    let place = domain(&fleet, key).into();
    fleet.set_evacuated([place].into());
    assert_eq!(
        fleet.check_destination(key, &regions("a")),
        Err(Exclusion::Evacuated)
    );
}

/// Operators are told why each upstream is not chosen.
#[test]
fn exclusions_are_named() {
    let mut fleet = fleet();
    fleet.set_evacuated(["a2".into()].into());
    let key = |id: &str| {
        let found = fleet.upstreams().find(|(_, upstream)| *upstream.entry.id == *id);
        found.unwrap().0
    };
    let (near, evacuated, far) = (key("e0"), key("e2"), key("e4"));
    fleet.pause(near, Time::from_millis(5_000));
    let home = requirements(&["a"]);
    assert_eq!(fleet.exclusion(near, &home, NOW), Some(Exclusion::Paused));
    assert_eq!(fleet.exclusion(evacuated, &home, NOW), Some(Exclusion::Evacuated));
    assert_eq!(fleet.exclusion(far, &home, NOW), Some(Exclusion::Region));
    assert_eq!(fleet.exclusion(far, &requirements(&["b"]), NOW), None);
    let tried = requirements(&[]).with_excluded([near].into_iter().collect());
    assert_eq!(fleet.exclusion(near, &tried, NOW), Some(Exclusion::Tried));
}

/// The entry of the upstream `id`, which started at `started_ms`, at an address that others have too.
fn shared_address(id: &str, started_ms: u64, sequence: u64) -> DirectoryEntry {
    DirectoryEntry {
        id: id.into(),
        started_ms,
        sequence,
        service: if id == "later" { "others" } else { "engines" }.into(),
        address: ([10, 0, 1, 1], 80).into(),
        domain: if id == "later" { "b1" } else { "a1" }.into(),
        slots: 24,
        state: UpstreamState::Ready,
        cold_left: std::time::Duration::ZERO,
    }
}

/// A request to an upstream that crashed was written to the one that had got its address, in another region.
#[test]
fn a_former_upstream_gets_nothing_while_a_later_one_has_its_address() {
    let former = |sequence| shared_address("former", 5, sequence);
    let later = |sequence| shared_address("later", 9, sequence);
    let unknown = |sequence| shared_address("later", 0, sequence);
    // Entries in the order of their arrival, and whether the former upstream is usable after them.
    let cases = [
        (vec![former(1)], true),
        (vec![former(1), later(1)], false),
        (vec![later(1), former(1)], false),
        (vec![former(1), later(1), former(2), later(2), former(3)], false),
        (vec![former(1), unknown(1)], true),
        (vec![unknown(1), former(1), unknown(2)], true),
        (vec![shared_address("former", 0, 1), later(1)], true),
        (vec![former(1), shared_address("later", 5, 1)], true),
    ];
    for (entries, is_usable) in cases {
        let mut fleet = fleet();
        for entry in entries.clone() {
            fleet.update_entry(entry, NOW);
        }
        check_former(&fleet, is_usable, &entries);
    }
}

/// An upstream whose address was lost for a time never got requests again.
#[test]
fn a_former_upstream_is_usable_once_it_writes_after_the_later_one_is_gone() {
    let mut fleet = fleet();
    let mut apply = |entry: Option<DirectoryEntry>, is_usable| {
        match entry {
            Some(entry) => fleet.update_entry(entry, NOW),
            None => fleet.remove_entry("later", NOW),
        };
        check_former(&fleet, is_usable, &[]);
    };
    apply(Some(shared_address("former", 5, 1)), true);
    apply(Some(shared_address("later", 9, 1)), false);
    apply(None, false);
    apply(Some(shared_address("former", 5, 1)), false);
    apply(Some(shared_address("former", 5, 2)), true);
    apply(Some(shared_address("later", 9, 2)), false);
    apply(Some(shared_address("former", 5, 3)), false);
}

fn check_former(fleet: &Fleet, is_usable: bool, entries: &[DirectoryEntry]) {
    let mut upstreams = fleet.upstreams();
    let found = upstreams.find(|(_, upstream)| *upstream.entry.id == *"former");
    let key = found.expect("its entry was applied").0;
    let expected = (!is_usable).then_some(Exclusion::Leaving);
    let any = Regions::default();
    assert_eq!(fleet.check_destination(key, &any).err(), expected, "{entries:?}");
    assert_eq!(
        fleet.exclusion(key, &requirements(&[]), NOW),
        expected,
        "{entries:?}"
    );
    assert_eq!(fleet.has_ended(key), !is_usable, "{entries:?}");
}

/// Guards against bodies that pass through an instance in another region, or in one that is not known any more.
#[test]
fn an_instance_relays_only_where_the_request_may_be() {
    let mut fleet = fleet();
    let peers = [Some("a2"), Some("b1"), Some("c1"), None];
    let addresses = [1, 2, 3, 4].map(|number| ([10, 0, 1, number], 80).into());
    let stamp = MessageStamp {
        boot_id: 1,
        number: 1,
    };
    for (peer, domain) in addresses.into_iter().zip(peers) {
        fleet.apply_peer_loads(peer, stamp, Vec::new(), true, NOW);
        let offer = domain.map(|domain| RelayOffer {
            domain: domain.into(),
            cut: smallvec::SmallVec::new(),
        });
        fleet.set_relay_offer(peer, offer);
    }
    let permitted = |fleet: &Fleet, names: &[&str]| {
        let regions = requirements(names).regions;
        addresses.map(|peer| fleet.check_relay(peer, &regions).is_ok())
    };
    assert_eq!(permitted(&fleet, &["a"]), [true, false, false, false]);
    assert_eq!(permitted(&fleet, &["b"]), [false, true, false, false]);
    assert_eq!(permitted(&fleet, &[]), [true; 4]);
    fleet.set_relay_offer(addresses[0], None);
    assert_eq!(permitted(&fleet, &["a"]), [false; 4]);
}

/// Guards against a connection that is relayed to an upstream, or through an instance, in another region.
#[test]
fn an_instance_relays_only_to_and_from_where_the_request_may_be() {
    let fleet = fleet();
    let keys: Vec<_> = fleet.upstreams().map(|(key, _)| key).collect();
    let permitted = |names: &[&str]| {
        let regions = requirements(names).regions;
        let permitted = keys
            .iter()
            .filter(|key| fleet.check_passage(**key, &regions).is_ok());
        let mut domains: Vec<_> = permitted.map(|key| domain(&fleet, *key)).collect();
        domains.sort_unstable();
        domains.dedup();
        domains
    };
    assert_eq!(permitted(&[]), ["a1", "a2", "b1", "c1"]);
    assert_eq!(permitted(&["a"]), ["a1", "a2"]);
    assert_eq!(permitted(&["a", "b"]), ["a1", "a2", "b1"]);
    // This instance is in `a`.
    assert!(permitted(&["b"]).is_empty());
}

/// Guards against memory that is copied abroad by a call which passes through another instance, and against runs that cannot
/// be stopped where they are.
#[test]
fn a_call_that_is_relayed_copies_memory_only_to_where_the_generation_may_run() {
    let fleet = fleet();
    let hashes: Vec<_> = fleet.upstreams().map(|(_, upstream)| upstream.hash()).collect();
    let permitted = |names: &[&str], from: u64, to: u64| {
        let regions = requirements(names).regions;
        fleet.check_copy((from, to), &regions).is_ok()
    };
    let from = hashes[4];
    let targets = |names: &[&str]| -> Vec<bool> {
        let targets = [0, 2, 4, 5, 6].map(|index| hashes[index]).into_iter().chain([1]);
        targets.map(|to| permitted(names, from, to)).collect()
    };
    // In a1, a2, where it runs, b1, c1, and one that is not known.
    assert_eq!(targets(&["a"]), [true, true, true, false, false, false]);
    assert_eq!(targets(&["b"]), [false, false, true, true, false, false]);
    assert_eq!(targets(&[]), [true; 6]);
}
