//! Overhead of an instance: delay per token and per request, and memory per open stream.
//!
//! `cargo bench --bench overhead`. The instance runs as a separate process. Each figure is compared with a
//! direct call to the stand-in in the same run: the arrival of a token through the instance with the arrival
//! of the same token on a direct stream of the same answer, and a request through the instance with a direct
//! one.

#[path = "../../tests/process/mod.rs"]
mod process;

mod memory;
mod requests;
mod summary;
mod tokens;

use std::time::Duration;

use carob_standin::{Engine, Orders, Store, engine, orders, store};
use process::{Process, ticket};

/// Maximum number of requests that the engine runs at the same time.
const SLOTS: usize = 1_024;
/// Memory of the engine, in tokens.
const MEMORY: u32 = 4_000_000;
/// Interval between two tokens of a stream.
const TOKEN_INTERVAL: Duration = Duration::from_millis(10);

fn main() {
    let store = Store::start(&store::Options::default()).expect("loopback is free");
    let orders = Orders::start(&orders::Options::default()).expect("loopback is free");
    let options = engine::Options {
        memory_tokens: MEMORY,
        slots: SLOTS,
        step_time: TOKEN_INTERVAL,
        ..engine::Options::default()
    };
    let engine = Engine::start(options).expect("loopback is free");
    let process = Process::start(store.address());
    process.configure(&ticket(engine.address(), Some(orders.address()), SLOTS, MEMORY));

    println!("| measure | direct p50 | direct p99 | through p50 | through p99 | added p50 | added p99 |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    requests::plain(&process, orders.address());
    requests::first_event(&process, &engine);
    for streams in [1, 16, 64] {
        tokens::run(&process, &engine, streams);
    }
    memory::run(&process, &engine);

    assert_eq!(process.close(), Some(0));
    engine.close();
    orders.close();
    store.close();
}
