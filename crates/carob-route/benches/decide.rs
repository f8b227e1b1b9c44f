//! Time per routing decision with 10, 60 and 600 upstreams and 300 client accounts.
//!
//! `cargo bench --bench decide` prints the mean time of `submit`, `progress`, `finish` and `apply_report` for
//! each number of upstreams. The memory of the router is not measured here; the capacity page covers it.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use carob_base::{Name, Time};
use carob_config::{Account, Config, Fencing, Service, ServiceKind, Upstream, Weights};
use carob_route::{End, Options, Outcome, Request, Router};
use carob_wire::load::Report;
use smallvec::SmallVec;

/// Number of client accounts.
const ACCOUNTS: usize = 300;
/// Open requests of the instance per upstream.
const OPEN_PER_UPSTREAM: usize = 4;
/// Measured calls of each method.
const ITERATIONS: u64 = 20_000;
/// Virtual time between two requests.
const INTERVAL: Duration = Duration::from_millis(3);

fn main() {
    println!("| upstreams | submit µs | progress µs | finish µs | report µs |");
    println!("|---:|---:|---:|---:|---:|");
    for upstreams in [10, 60, 600] {
        let times = measure(upstreams);
        let micros = times.map(|time| time.as_secs_f64() * 1e6 / ITERATIONS as f64);
        println!(
            "| {upstreams} | {:.2} | {:.2} | {:.2} | {:.2} |",
            micros[0], micros[1], micros[2], micros[3]
        );
    }
}

/// Total times of `submit`, `progress`, `finish` and `apply_report`.
fn measure(upstreams: usize) -> [Duration; 4] {
    let mut router = Router::new(Options::new(name("d0"), name("r0")));
    let config = config(upstreams);
    router.apply_config(&config, Time::ZERO);
    let names: Vec<Name> = config.upstreams.keys().cloned().collect();
    let mut now = Time::ZERO;
    let mut id = 0;
    for _ in 0..upstreams * OPEN_PER_UPSTREAM {
        submit(&mut router, id, now);
        id += 1;
    }
    let oldest = |id: u64| id - (upstreams * OPEN_PER_UPSTREAM) as u64;
    let mut times = [Duration::ZERO; 4];
    for round in 0..ITERATIONS {
        now = now + INTERVAL;
        times[0] += elapsed(|| submit(&mut router, id, now));
        times[1] += elapsed(|| router.progress(id, 8, now));
        id += 1;
        let tokens = 20 + (round * 37 % 900) as u32;
        times[2] += elapsed(|| router.finish(oldest(id), End::Complete { tokens }, now));
        let upstream = &names[round as usize % names.len()];
        let report = report();
        times[3] += elapsed(|| router.apply_report(upstream, report, now, now));
    }
    times
}

fn elapsed(work: impl FnOnce()) -> Duration {
    let start = Instant::now();
    work();
    start.elapsed()
}

fn submit(router: &mut Router, id: u64, now: Time) {
    let account = name(&format!("account-{}", id as usize % ACCOUNTS));
    let prompt = 100 + (id * 131 % 3_000) as u32;
    let prefix = SmallVec::from_slice(&[id % 50, 1_000 + id % 900]);
    let request = Request::new(id, name("draft"), account)
        .with_tokens(prompt, None)
        .with_prefix(prefix);
    let outcome = black_box(router.submit(request, now));
    assert!(matches!(outcome, Outcome::Placed(_)), "{outcome:?}");
}

fn report() -> Report {
    Report {
        incarnation: 1,
        running: 20,
        waiting: 0,
        used_tokens: 40_000,
        memory_tokens: 200_000,
        preemptions: 0,
        leaving: false,
    }
}

fn config(upstreams: usize) -> Config {
    let mut config = Config::default();
    let service = Service {
        name: name("draft"),
        kind: ServiceKind::Generation,
        model: Some(name("model")),
        weights: Weights::default(),
        response_timeout: Duration::from_secs(30),
        max_tokens: 30_000,
        retry_percent: 10,
    };
    for index in 0..upstreams {
        let upstream = Upstream {
            name: name(&format!("u{index}")),
            service: service.name.clone(),
            address: ([127, 0, 0, 1], index as u16).into(),
            domain: name(&format!("d{}", index % 6)),
            region: name(&format!("r{}", index % 2)),
            fencing: Fencing::Checks,
            memory: 200_000,
            slots: 256,
        };
        config.upstreams.insert(upstream.name.clone(), upstream);
    }
    for index in 0..ACCOUNTS {
        let account = Account {
            name: name(&format!("account-{index}")),
            key_hash: [0; 32],
            weight: 1,
            max_requests: 10_000,
            services: SmallVec::new(),
        };
        config.accounts.insert(account.name.clone(), account);
    }
    config.services.insert(service.name.clone(), service);
    config
}

fn name(text: &str) -> Name {
    Name::new(text).expect("benchmark names are valid")
}
