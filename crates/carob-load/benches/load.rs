//! Three instances before four engines, compared with direct round robin to the same engines.
//!
//! Prints one comparison for each level of load, over several seeds. With `CAROB_PLOTS` set to a directory, the
//! distributions at the middle level are written there as an image.

use std::{env, fs, path::Path, sync::Arc, time::Duration};

use carob_load::{Report, Target, Workload, experiment::Experiment, plot};
use carob_standin::{Engine, engine::Options};
use fleet::Fleet;

#[path = "../tests/common/fleet.rs"]
mod fleet;
#[path = "../tests/common/record.rs"]
mod record;

/// Seeds of the arrivals.
const SEEDS: [u64; 2] = [1, 2];
/// Instances and engines.
const INSTANCES: usize = 3;
const ENGINES: u64 = 4;
/// Load in percent of the tokens that the engines can generate.
const LEVELS: [u64; 2] = [50, 80];
/// The level that is plotted.
const PLOTTED: u64 = 80;
/// Directory for images.
const PLOTS: &str = "CAROB_PLOTS";

/// At this rate the engines' slots are all in use on average.
const TEXT: &str = "\
[workload]
version = 1
name = drafts-and-answers
rate = 57
limit = 2000
open = 1000
stall_ms = 100
[phase steady]
seconds = 8
factor = 1
[class draft]
kind = generation
prompt = lognormal 200 0.6 1000
output = lognormal 120 0.8 600
refusal_ms = 22000
[class answer]
kind = generation
prompt = lognormal 60 0.5 300
output = lognormal 16 0.6 120
refusal_ms = 22000
[account wholesale]
key = key-wholesale
share = 3
mix = draft 1, answer 3
[account parishes]
key = key-parishes
mix = draft 1, answer 3
";

/// Memory of an engine, in tokens.
const MEMORY: u32 = 16 * 1024;
/// Memory of an engine that holds a few answers only, in tokens.
const TIGHT_MEMORY: u32 = 2_000;
/// Load of such engines, in percent.
const TIGHT_LEVEL: u64 = 50;

fn main() {
    let base: Workload = TEXT.parse().expect("the workload is valid");
    for level in LEVELS {
        let (direct, product) = compare(&format!("load {level}%"), &base, level, MEMORY);
        if level == PLOTTED {
            plots(&direct, &product);
        }
    }
    let text = TEXT.replace("0.8 600", "0.8 1200");
    let long: Workload = text.parse().expect("the workload is valid");
    let title = format!("memory for {TIGHT_MEMORY} tokens, answers of up to 1200, load {TIGHT_LEVEL}%");
    compare(&title, &long, TIGHT_LEVEL, TIGHT_MEMORY);
}

/// Runs both variants and prints the comparison; returns the reports of the first seed.
fn compare(title: &str, workload: &Workload, level: u64, memory: u32) -> (Report, Report) {
    let workload = workload.clone().with_rate_percent(level);
    let direct = SEEDS.map(|seed| direct(&workload, memory, seed));
    let product = SEEDS.map(|seed| product(&workload, memory, seed));
    let firsts = (direct[0].clone(), product[0].clone());
    let experiment = Experiment::new()
        .with_variant("direct", direct.to_vec())
        .with_variant("product", product.to_vec());
    println!("{title}, {INSTANCES} instances, {ENGINES} engines, seeds {SEEDS:?}");
    println!("{}", experiment.to_text());
    firsts
}

fn engines(memory: u32) -> Vec<Options> {
    let options = |seed| Options {
        seed,
        memory_tokens: memory,
        slots: 8,
        step_time: Duration::from_millis(10),
        prefill_time: Duration::from_micros(50),
        ..Options::default()
    };
    (1..=ENGINES).map(options).collect()
}

/// A run without the product: each request goes to the next engine.
fn direct(workload: &Workload, memory: u32, seed: u64) -> Report {
    let start = |options| Arc::new(Engine::start(options).expect("a port is free"));
    let engines = engines(memory).into_iter().map(start).collect::<Vec<_>>();
    let addresses = engines.iter().map(|engine| engine.address()).collect();
    let target = Target::new(addresses).with_record(move || record::upstream_record(&engines, None));
    carob_load::run(workload, &target, seed).expect("threads can be started")
}

/// A run in which each request goes to the next instance.
fn product(workload: &Workload, memory: u32, seed: u64) -> Report {
    let fleet = Fleet::start(INSTANCES, engines(memory), workload);
    let report = carob_load::run(workload, &fleet.target(fleet.callers()), seed);
    fleet.close();
    report.expect("threads can be started")
}

fn plots(direct: &Report, product: &Report) {
    let Some(directory) = env::var_os(PLOTS) else {
        return;
    };
    let directory = Path::new(&directory);
    let images = [
        (
            "load-compared.svg",
            plot::compare_svg(&[("direct", direct), ("product", product)]),
        ),
        ("load-product.svg", plot::svg(product)),
    ];
    for (name, image) in images {
        fs::write(directory.join(name), image).expect("the directory can be written to");
    }
}
