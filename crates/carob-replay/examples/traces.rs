//! Writes the recorded traces of the tests anew: `cargo run -p carob-replay --example traces -- DIRECTORY`.

use std::{fs, io, path::Path, time::Duration};

use carob_base::{Name, Time};
use carob_replay::{
    format,
    generate::{Deployment, Scenario, Spec},
    trace::{Fault, FaultKind, Trace},
};

/// Runners of the recorded traces, fewer than the deployments', to keep the files small.
const UPSTREAMS: usize = 3;
/// Runners of the bursts, where requests have to be refused.
const BURST_UPSTREAMS: usize = 2;
/// Time in which requests come.
const SPAN: Duration = Duration::from_mins(1);
/// Time in which requests of a burst come.
const BURST_SPAN: Duration = Duration::from_mins(3);
/// When a fault begins.
const FAULT_AT: Time = Time::from_millis(20_000);
/// How long it lasts.
const AWAY: Duration = Duration::from_secs(20);

fn main() -> io::Result<()> {
    let Some(directory) = std::env::args().nth(1) else {
        eprintln!("usage: traces DIRECTORY");
        return Ok(());
    };
    let directory = Path::new(&directory);
    for (deployment, scenario) in situations() {
        let (span, upstreams) = match scenario {
            Scenario::Burst => (BURST_SPAN, BURST_UPSTREAMS),
            _ => (SPAN, UPSTREAMS),
        };
        let spec = Spec::new(deployment, scenario, 1)
            .with_span(span)
            .with_upstreams(upstreams);
        let trace = spec.trace();
        let file = format!("{deployment:?}-{scenario:?}").to_lowercase();
        write(directory, &file, &trace)?;
    }
    let faults = [
        (
            "saarela-failing",
            FaultKind::Fail {
                upstream: name("runner-1"),
                duration: AWAY,
            },
        ),
        (
            "saarela-restart",
            FaultKind::Restart {
                instance: name("entry-0"),
            },
        ),
    ];
    for (file, kind) in faults {
        let spec = Spec::new(Deployment::Saarela, Scenario::Day, 2)
            .with_span(SPAN)
            .with_upstreams(UPSTREAMS);
        let mut trace = spec.trace();
        file.clone_into(&mut trace.title);
        trace.faults.push(Fault { at: FAULT_AT, kind });
        write(directory, file, &trace)?;
    }
    Ok(())
}

fn situations() -> [(Deployment, Scenario); 11] {
    [
        (Deployment::Saarela, Scenario::Day),
        (Deployment::Saarela, Scenario::Busy),
        (Deployment::Saarela, Scenario::Rush),
        (Deployment::Saarela, Scenario::Burst),
        (Deployment::Saarela, Scenario::HeavyTail),
        (Deployment::Saarela, Scenario::Shift),
        (Deployment::Saarela, Scenario::Lost),
        (Deployment::Saarela, Scenario::Stale),
        (Deployment::Tandyr, Scenario::Day),
        (Deployment::Tandyr, Scenario::Busy),
        (Deployment::Tandyr, Scenario::Burst),
    ]
}

/// Writes a trace; the expectations of a file that is there already stay.
fn write(directory: &Path, file: &str, trace: &Trace) -> io::Result<()> {
    let path = directory.join(format!("{file}.trace"));
    let old = fs::read_to_string(&path).unwrap_or_default();
    let mut text = format::write(trace);
    for line in old.lines().filter(|line| line.starts_with("expect ")) {
        text.push_str(line);
        text.push('\n');
    }
    fs::write(path, text)
}

fn name(text: &str) -> Name {
    Name::new(text).expect("names of traces are valid")
}
