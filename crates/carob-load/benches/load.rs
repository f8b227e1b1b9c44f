//! Compares three instances in front of four engines with direct round robin to the same engines.
//!
//! Prints one comparison for each load level, over several seeds. If `CAROB_PLOTS` names a directory, images
//! of the first seed's runs at the higher level are written to it.

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
/// Number of instances.
const INSTANCES: usize = 3;
/// Number of engines.
const ENGINES: u64 = 4;
/// Load levels in percent of the engines' capacity.
const LOAD_LEVELS: [u64; 2] = [50, 80];
/// Load level whose runs are plotted.
const PLOTTED_LEVEL: u64 = 80;
/// Environment variable with the directory for images.
const PLOTS_VARIABLE: &str = "CAROB_PLOTS";

/// At 100 percent of this rate, all slots of the engines are in use on average.
const WORKLOAD: &str = "\
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
const MEMORY_TOKENS: u32 = 16 * 1024;
/// Memory of an engine that has room for only a few answers, in tokens.
const LOW_MEMORY_TOKENS: u32 = 2_000;
/// Load level with such engines, in percent.
const LOW_MEMORY_LEVEL: u64 = 50;

fn main() {
    let base: Workload = WORKLOAD.parse().expect("the workload is valid");
    for level in LOAD_LEVELS {
        let (direct, product) = compare(&format!("load {level}%"), &base, level, MEMORY_TOKENS);
        if level == PLOTTED_LEVEL {
            write_plots(&direct, &product);
        }
    }
    let text = WORKLOAD.replace("0.8 600", "0.8 1200");
    let long: Workload = text.parse().expect("the workload is valid");
    let title =
        format!("memory for {LOW_MEMORY_TOKENS} tokens, answers of up to 1200, load {LOW_MEMORY_LEVEL}%");
    compare(&title, &long, LOW_MEMORY_LEVEL, LOW_MEMORY_TOKENS);
}

/// Runs both variants and prints the comparison; returns the variants' reports for the first seed.
fn compare(title: &str, workload: &Workload, level: u64, memory: u32) -> (Report, Report) {
    let workload = workload.clone().with_rate_percent(level);
    let direct = SEEDS.map(|seed| run_direct(&workload, memory, seed));
    let product = SEEDS.map(|seed| run_product(&workload, memory, seed));
    let first_seed = (direct[0].clone(), product[0].clone());
    let experiment = Experiment::new()
        .with_variant("direct", direct.to_vec())
        .with_variant("product", product.to_vec());
    println!("{title}, {INSTANCES} instances, {ENGINES} engines, seeds {SEEDS:?}");
    println!("{}", experiment.to_text());
    first_seed
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

/// Runs the workload without instances: requests go to the engines in turn.
fn run_direct(workload: &Workload, memory: u32, seed: u64) -> Report {
    let start = |options| Arc::new(Engine::start(options).expect("a port is free"));
    let engines = engines(memory).into_iter().map(start).collect::<Vec<_>>();
    let addresses = engines.iter().map(|engine| engine.address()).collect();
    let target = Target::new(addresses).with_record(move || record::upstream_record(&engines, None));
    carob_load::run(workload, &target, seed).expect("threads can be started")
}

/// Runs the workload against a fleet: requests go to the instances in turn.
fn run_product(workload: &Workload, memory: u32, seed: u64) -> Report {
    let fleet = Fleet::start(INSTANCES, engines(memory), workload);
    let report = carob_load::run(workload, &fleet.target(fleet.callers()), seed);
    fleet.close();
    report.expect("threads can be started")
}

fn write_plots(direct: &Report, product: &Report) {
    let Some(directory) = env::var_os(PLOTS_VARIABLE) else {
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
