//! Parsing of workloads, and the arrivals that are drawn from them.

use std::time::Duration;

use carob_base::Time;
use carob_load::{
    Workload,
    arrivals::{Arrival, Arrivals, Behaviour},
    workload::{ENROLMENT, Error, Kind, LengthDistribution, WHOLESALE},
};

const WORKLOAD: &str = "\
[workload]
version = 1
name = candles
rate = 50
limit = 5000
stall_ms = 150

[phase ordinary]
seconds = 20
factor = 1

[phase rush]
seconds = 20
factor = 3

[class draft]
kind = generation
model = m1
prompt = lognormal 300 0.8 4000
output = pareto 50 1.2 8000
resume_percent = 10
vanish_percent = 5

[class order]
kind = order
path = /orders
prompt = fixed 64
repeat_percent = 20
twin_percent = 10

[account oulu]
key = k-oulu
share = 3
mix = draft 1, order 1

[account tampere]
key = k-tampere
mix = order 1
";

fn workload() -> Workload {
    WORKLOAD.parse().expect("the text is valid")
}

#[test]
fn text_is_read_whole() {
    let workload = workload();
    assert_eq!(workload.duration(), Duration::from_secs(40));
    assert_eq!(workload.phases[1].rate_percent, 300);
    let [draft, order] = &workload.classes[..] else {
        panic!("two classes are expected");
    };
    assert_eq!(
        (draft.kind, draft.path.as_str()),
        (Kind::Generation, "/v1/responses")
    );
    let expected = LengthDistribution::Pareto {
        min: 50,
        shape: 1.2,
        max: 8_000,
    };
    assert_eq!(draft.output, expected);
    assert_eq!((order.method.as_str(), order.behaviours.duplicate), ("POST", 10));
    assert_eq!(workload.accounts[0].mix.len(), 2);
}

#[test]
fn errors_name_section_and_key() {
    for (old, new, section, key) in [
        ("version = 1", "version = 2", "workload", "version"),
        ("factor = 3", "factor = -3", "phase rush", "factor"),
        ("factor = 3", "facter = 3", "phase rush", "facter"),
        ("pareto 50 1.2 8000", "pareto 50 0 8000", "class draft", "output"),
        (
            "twin_percent = 10",
            "twin_percent = 101",
            "class order",
            "twin_percent",
        ),
        ("path = /orders", "path = orders", "class order", "path"),
        (
            "vanish_percent = 5",
            "twin_percent = 5",
            "class draft",
            "twin_percent",
        ),
        (
            "resume_percent = 10",
            "resume_percent = 99",
            "class draft",
            "resume_percent",
        ),
        ("mix = order 1", "mix = invoice 1", "account tampere", "mix"),
        ("key = k-tampere", "key =", "account tampere", "key"),
    ] {
        let error = WORKLOAD.replace(old, new).parse::<Workload>().unwrap_err();
        let Error::Key {
            section: found_section,
            key: found_key,
            ..
        } = &error
        else {
            panic!("{new}: {error}");
        };
        assert_eq!(
            (found_section.as_str(), found_key.as_str()),
            (section, key),
            "{error}"
        );
    }
}

#[test]
fn unknown_and_missing_sections_are_refused() {
    for text in [
        WORKLOAD.replace("[class order]", "[clas order]"),
        WORKLOAD.replace("[phase rush]", "[phase ordinary]"),
        WORKLOAD.replace("[workload]", "[phase zero]"),
        format!("stray = 1\n{WORKLOAD}"),
        String::new(),
    ] {
        let error = text.parse::<Workload>().unwrap_err();
        assert!(matches!(error, Error::Section { .. }), "{error}");
    }
    let error = "[workload".parse::<Workload>().unwrap_err();
    assert!(matches!(error, Error::Syntax { line: 1, .. }), "{error}");
}

#[test]
fn arrivals_depend_on_the_seed_alone() {
    let workload = workload();
    let arrivals = |seed| Arrivals::new(&workload, seed).collect::<Vec<Arrival>>();
    assert_eq!(arrivals(7), arrivals(7));
    assert_ne!(arrivals(7), arrivals(8));
}

#[test]
fn arrivals_follow_the_rate_and_the_limit() {
    let mut workload = workload();
    let is_rush = |arrival: &Arrival| arrival.at >= Time::from_millis(20_000);
    let (rush, ordinary): (Vec<_>, Vec<_>) = Arrivals::new(&workload, 1).partition(is_rush);
    assert!((900..1_100).contains(&ordinary.len()), "{}", ordinary.len());
    assert!((2_800..3_200).contains(&rush.len()), "{}", rush.len());
    assert!(rush.iter().all(|arrival| arrival.phase.0 == 1));
    workload.max_arrivals = 10;
    assert_eq!(Arrivals::new(&workload, 1).count(), 10);
}

#[test]
fn lengths_are_heavy_tailed_and_bounded() {
    let workload = workload();
    let drafts = Arrivals::new(&workload, 3).filter(|arrival| arrival.class.0 == 0);
    let mut outputs = drafts.map(|arrival| arrival.output).collect::<Vec<_>>();
    outputs.sort_unstable();
    let median = outputs[outputs.len() / 2];
    let p99 = outputs[outputs.len() * 99 / 100];
    assert!(outputs[0] >= 50 && *outputs.last().expect("there are drafts") <= 8_000);
    assert!(p99 > 10 * median, "p50 {median}, p99 {p99}");
}

#[test]
fn habits_come_in_their_shares() {
    let workload = workload();
    let orders = Arrivals::new(&workload, 5).filter(|arrival| arrival.class.0 == 1);
    let orders = orders.collect::<Vec<_>>();
    let share = |behaviour| orders.iter().filter(|a| a.behaviour == behaviour).count() * 100 / orders.len();
    assert!(
        (17..23).contains(&share(Behaviour::Repeat)),
        "{}",
        share(Behaviour::Repeat)
    );
    assert!(
        (8..13).contains(&share(Behaviour::Duplicate)),
        "{}",
        share(Behaviour::Duplicate)
    );
}

#[test]
fn examples_are_valid_and_bounded() {
    for text in [WHOLESALE, ENROLMENT] {
        let workload: Workload = text.parse().expect("the example is valid");
        let arrivals = Arrivals::new(&workload, 1).count();
        assert!(arrivals < workload.max_arrivals as usize, "{arrivals}");
        assert!(workload.duration() <= Duration::from_mins(1));
    }
}
