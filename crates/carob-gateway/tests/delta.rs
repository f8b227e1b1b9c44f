//! Differences of large values are short where values are alike, and damaged ones change nothing.

use carob_gateway::delta::{Error, apply, apply_patch, difference, hash, patch, patch_signed, signature};
use rand::{RngExt as _, SeedableRng, rngs::StdRng};

const SEED: u64 = 44;
const CASES: usize = 20_000;

/// What a datagram to each of hundreds of instances may hold of a change, in bytes: a link of 10 Mbit/s takes that often.
const SHORT: usize = 600;

fn configuration(routes: usize, changed: usize) -> Vec<u8> {
    let rows = (0..routes).map(|route| {
        let id = (route as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let timeout = if route == changed { 1_234 } else { 6_000 };
        format!(
            "{{\"Name\":\"r-{id:x}\",\"Host\":\"{id:x}.example\",\"Timeout\":{timeout},\"Service\":\"s{}\"}}",
            route % 7
        )
    });
    let rows: Vec<String> = rows.collect();
    format!("{{\"Version\":{},\"Routes\":[{}]}}", 10 + changed, rows.join(",")).into_bytes()
}

#[test]
fn one_changed_route_takes_a_whole_configuration() {
    for routes in [50, 150, 400] {
        let (before, after) = (configuration(routes, 1), configuration(routes, routes / 2));
        let delta = difference(&after, &before).expect("it is large");
        assert!(
            delta.len() <= SHORT,
            "{routes} routes: {} of {} bytes",
            delta.len(),
            after.len()
        );
        assert_eq!(apply(&delta, hash(&before), &before).expect("it is whole"), after);
        let other = apply(&delta, hash(&before), &after);
        assert!(matches!(other, Err(Error::OtherValue { .. })), "{other:?}");
    }
}

#[test]
fn small_values_have_no_difference() {
    assert_eq!(difference(&[1; 1_000], &[1; 1_000]), None);
    assert_eq!(difference(&vec![1; 300 << 10], &[]), None, "too large");
}

#[test]
fn a_value_without_one_before_comes_whole() {
    let value = configuration(100, 3);
    let delta = difference(&value, &[]).expect("it is large");
    assert_eq!(apply(&delta, hash(&[]), &[]).expect("it is whole"), value);
}

#[test]
fn damaged_differences_end_the_process() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let (before, after) = (configuration(60, 1), configuration(60, 9));
    let whole = difference(&after, &before).expect("it is large");
    for case in 0..CASES {
        let mut delta = whole.clone();
        if rng.random_bool(0.3) {
            delta.truncate(rng.random_range(0..delta.len()));
        }
        for _ in 0..rng.random_range(0..4) {
            if !delta.is_empty() {
                let at = rng.random_range(0..delta.len());
                delta[at] = rng.random();
            }
        }
        // Some damage leaves a value, which is then no configuration; none is larger than it may be.
        match apply(&delta, hash(&before), &before) {
            Ok(value) => assert!(value.len() <= 256 << 10, "case {case}"),
            Err(Error::OtherValue { .. }) => panic!("case {case}: the value before is the same"),
            Err(_) => {}
        }
    }
    let huge = [u32::MAX.to_le_bytes().as_slice(), &whole].concat();
    assert!(matches!(
        apply(&huge, hash(&before), &before),
        Err(Error::TooLong(_))
    ));
}

/// A configuration whose routes are alike for the most part.
fn alike(routes: usize, changed: usize) -> Vec<u8> {
    let row = |route: usize| {
        let timeout = if route == changed { 1_234 } else { 6_000 };
        format!(
            "{{\"Name\":\"r-{route}\",\"Host\":\"h{route}.example\",\"Prefix\":\"/\",\"Kind\":\"safe\",\"Timeout\":{timeout},\
             \"TargetLatency\":150,\"Priority\":2,\"Service\":\"plain\",\"MaxAttempts\":2,\"AllowAnonymous\":false,\
             \"Resumable\":false,\"AllowedRegions\":[]}}"
        )
    };
    let rows: Vec<String> = (0..routes).map(row).collect();
    format!("{{\"Version\":{},\"Routes\":[{}]}}", 10 + changed, rows.join(",")).into_bytes()
}

type Make = fn(usize, usize) -> Vec<u8>;

/// Sizes of configurations in routes; the largest has a megabyte.
const LARGE: [usize; 4] = [600, 1_200, 2_000, 4_400];

#[test]
fn one_changed_route_takes_bytes_for_all_of_them() {
    for (routes, make) in LARGE
        .into_iter()
        .flat_map(|routes| [(routes, configuration as Make), (routes, alike)])
    {
        let (before, after) = (make(routes, 1), make(routes, routes / 2));
        let made = patch(&after, &before).expect("it is large");
        assert!(
            made.len() <= SHORT,
            "{routes} routes: {} of {} bytes",
            made.len(),
            after.len()
        );
        let hashes = (hash(&before), hash(&after));
        assert_eq!(apply_patch(&made, hashes, &before).expect("it is whole"), after);
        let other = apply_patch(&made, hashes, &after);
        assert!(matches!(other, Err(Error::OtherValue { .. })), "{other:?}");
        let other = apply_patch(&made, (hash(&before), hash(&before)), &before);
        assert!(matches!(other, Err(Error::Mismatch { .. })), "{other:?}");
    }
}

#[test]
fn a_value_that_an_instance_lacks_is_sent_whole() {
    for routes in LARGE {
        let (before, after) = (configuration(routes, 1), configuration(routes + 10, routes / 2));
        let signed = signature(&before);
        let made = patch_signed(&after, &signed).expect("it is a signature");
        assert!(
            made.len() + signed.len() <= after.len() / 8,
            "{routes} routes: {} and {} of {} bytes",
            made.len(),
            signed.len(),
            after.len()
        );
        let hashes = (hash(&before), hash(&after));
        assert_eq!(apply_patch(&made, hashes, &before).expect("it is whole"), after);
    }
}

#[test]
fn damaged_patches_and_signatures_end_the_process() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let (before, after) = (configuration(700, 1), configuration(705, 9));
    let hashes = (hash(&before), hash(&after));
    let (whole, signed) = (patch(&after, &before).expect("it is large"), signature(&before));
    let mut damage = |bytes: &[u8]| {
        let mut bytes = bytes.to_vec();
        if rng.random_bool(0.3) {
            bytes.truncate(rng.random_range(0..bytes.len()));
        }
        for _ in 0..rng.random_range(0..4) {
            if !bytes.is_empty() {
                let at = rng.random_range(0..bytes.len());
                bytes[at] = rng.random();
            }
        }
        bytes
    };
    for case in 0..CASES / 10 {
        if let Ok(value) = apply_patch(&damage(&whole), hashes, &before) {
            assert_eq!(value, after, "case {case}");
        }
        if let Ok(made) = patch_signed(&after, &damage(&signed))
            && let Ok(value) = apply_patch(&made, hashes, &before)
        {
            assert_eq!(value, after, "case {case}");
        }
    }
}
