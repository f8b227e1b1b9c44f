//! Memory per open stream, of the instance's process.

use std::{fs, thread, time::Duration};

use carob_standin::Engine;

use crate::process::{Process, open};

/// Streams that are open at the same time.
const STREAMS: usize = 512;
/// Tokens of each answer: more than come during the measurement.
const TOKENS: u32 = 2_000;
/// Time in which every stream has passed tokens on.
const SETTLE: Duration = Duration::from_secs(3);

/// Measures the growth of the resident memory.
pub fn run(process: &Process, engine: &Engine) {
    let before = resident(process.child.id());
    let streams: Vec<_> = (0..STREAMS)
        .map(|at| {
            let body =
                format!(r#"{{"input":"quote {at}","stream":true,"metadata":{{"tokens":"{TOKENS}"}}}}"#);
            open(process.caller_address, &body)
        })
        .collect();
    thread::sleep(SETTLE);
    let after = resident(process.child.id());
    println!(
        "\nresident memory: {before} KiB before, {after} KiB with {STREAMS} open streams: {:.1} KiB per stream; \
         {} requests at the engine",
        (after as f64 - before as f64) / STREAMS as f64,
        engine.open_count()
    );
    drop(streams);
}

/// Resident memory of a process, in KiB.
fn resident(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).expect("Linux tells");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).expect("a number")
}
