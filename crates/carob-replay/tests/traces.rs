//! Every recorded trace reaches its stated outcomes.

use std::path::Path;

use carob_replay::replay_file;

fn reaches_its_outcomes(path: &Path) -> datatest_stable::Result<()> {
    let report = replay_file(path)?;
    if report.checks.is_empty() {
        return Err("the trace states no outcome".into());
    }
    if !report.expectations_met() {
        return Err(report.to_string().into());
    }
    Ok(())
}

datatest_stable::harness! {
    { test = reaches_its_outcomes, root = "traces", pattern = r"^.*\.trace$" },
}
