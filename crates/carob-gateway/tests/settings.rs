//! Settings are checked completely: valid ones are read, and every error is reported, not only the first.

use carob_gateway::Settings;

const GOOD: &str = "[instance]\nname = n\ndomain = a\nregions = a:north,b:south\n[callers]\n\
    address = 10.0.0.1:1\nready = 10.0.0.1:2\nconnections = 5\nbodies = 9000\n[admin]\naddress = 10.0.0.1:3\n[peers]\n\
    address = 10.0.0.1:4\nseeds = 10.0.0.2:9, 10.0.0.3:9\n[store]\naddress = 10.0.0.9:5\n[leaving]\n\
    upstream = 2500ms\ngrace = 8s\n[retries]\nratio = 0.2\nextra = 54\nwindow = 10s\n";

#[test]
fn good_settings_are_read() {
    let settings = Settings::parse(GOOD, "file").expect("they are valid");
    // `drain` is the key `upstream` of the section `leaving`.
    assert_eq!(settings.drain.as_millis(), 2_500);
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.regions.get("b").map(|region| &**region), Some("south"));
}

/// The README starts a gateway with this file.
#[test]
fn the_example_is_read() {
    let example = include_str!("../../../examples/gateway.ini");
    let settings = Settings::parse(example, "examples/gateway.ini").expect("it is valid");
    assert!(settings.seeds.is_empty());
}

/// Files of older versions state only the limit for bodies, new ones the memory.
#[test]
fn memory_or_the_limit_for_bodies_is_required() {
    let parse = |text: &str| Settings::parse(text, "file");
    let old = parse(GOOD).expect("it is valid");
    assert_eq!((old.body_memory, old.memory), (9_000, 36_000));
    let with_memory = GOOD.replace("name = n\n", "name = n\nmemory = 88MB\n");
    let both = parse(&with_memory).expect("it is valid");
    assert_eq!((both.body_memory, both.memory), (9_000, 88_000_000));
    let new = parse(&with_memory.replace("bodies = 9000\n", "")).expect("it is valid");
    assert_eq!((new.body_memory, new.memory), (22_000_000, 88_000_000));
    for (wrong, key) in [
        (GOOD.replace("bodies = 9000\n", ""), "[callers] bodies"),
        (with_memory.replace("88MB", "88"), "[instance] memory"),
        (with_memory.replace("88MB", "0MB"), "[instance] memory"),
        (with_memory.replace("9000", "many"), "[callers] bodies"),
    ] {
        let errors = parse(&wrong).expect_err("it is wrong").to_string();
        assert!(errors.contains(key), "{key} in {errors}");
    }
}

#[test]
fn no_seeds_are_valid() {
    let text = GOOD.replace("seeds = 10.0.0.2:9, 10.0.0.3:9", "seeds =");
    assert!(
        Settings::parse(&text, "file")
            .expect("they are valid")
            .seeds
            .is_empty()
    );
}

/// A template whose values are absent leaves an empty section, or none.
#[test]
fn bounds_of_cold_upstreams_may_be_absent() {
    let read = |more: &str| {
        Settings::parse(&format!("{GOOD}{more}"), "file")
            .expect("they are valid")
            .cold
    };
    let absent = read("");
    assert_eq!((absent.overage, absent.slack), (1.5, 5.0));
    assert_eq!(read("[cold]\n\n\n"), absent);
    let named = read("[cold]\noverage = 1.25\nslack = 3\n");
    assert_eq!((named.overage, named.slack), (1.25, 3.0));
    let error = Settings::parse(&format!("{GOOD}[cold]\noverage = 1\n"), "file")
        .expect_err("permits would expire at once");
    assert!(error.to_string().contains("[cold] overage"), "{error}");
}

#[test]
fn every_error_is_told_with_its_line() {
    let text = GOOD
        .replace("grace = 8s", "grace = 8")
        .replace("ratio = 0.2", "ratio = 2")
        .replace("connections = 5", "conections = 5");
    let errors = Settings::parse(&text, "file")
        .expect_err("they are wrong")
        .to_string();
    for part in [
        "[leaving] grace",
        "[retries] ratio",
        "[callers] connections",
        "[callers] conections",
    ] {
        assert!(errors.contains(part), "{part} in {errors}");
    }
}
