//! Resident memory of the instance's process per open stream.

use std::{fs, thread, time::Duration};

use carob_standin::Engine;

use crate::process::{Process, open};

/// Number of streams that are open at the same time.
const STREAMS: usize = 512;
/// Number of tokens of each answer; more than are generated during the measurement.
const TOKENS: u32 = 2_000;
/// Wait before the measurement, long enough that every stream has forwarded tokens.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Measures by how much the resident memory grows with [`STREAMS`] open streams.
pub fn run(process: &Process, engine: &Engine) {
    let before = resident(process.child.id());
    let streams: Vec<_> = (0..STREAMS)
        .map(|index| {
            let body =
                format!(r#"{{"input":"quote {index}","stream":true,"metadata":{{"tokens":"{TOKENS}"}}}}"#);
            open(process.caller_address, &body)
        })
        .collect();
    thread::sleep(SETTLE_TIME);
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
    let status = fs::read_to_string(format!("/proc/{process}/status")).expect("Linux has /proc");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number
        .and_then(|number| number.parse().ok())
        .expect("VmRSS is a number")
}
