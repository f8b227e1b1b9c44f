//! The `load` subcommand: sends a workload and checks every outcome.

use std::{fs, path::Path};

use carob_load::{Report, Target, Workload, plot};

use crate::{
    args::Load,
    exit::{Exit, failure},
};

/// Sends the workload, prints the report and writes the requested output files.
pub fn run(args: &Load) -> eyre::Result<Exit> {
    if args.target.is_empty() {
        return Err(failure(Exit::Usage, "expected at least one --target"));
    }
    let workload = read(&args.workload)?.with_rate_percent(args.rate_percent);
    let report = carob_load::run(&workload, &Target::new(args.target.clone()), args.seed)
        .map_err(|error| failure(Exit::Unreachable, error.to_string()))?;
    print!("{}", report.to_text());
    write_files(args, &report)?;
    Ok(if report.violation_count() == 0 {
        Exit::Done
    } else {
        Exit::Refused
    })
}

fn write_files(args: &Load, report: &Report) -> eyre::Result<()> {
    if let Some(path) = &args.csv {
        write(path, &report.to_csv())?;
    }
    if let Some(path) = &args.plot {
        write(path, &plot::svg(report))?;
    }
    Ok(())
}

fn read(path: &Path) -> eyre::Result<Workload> {
    let text = fs::read_to_string(path)
        .map_err(|error| failure(Exit::Usage, format!("{}: {error}", path.display())))?;
    text.parse()
        .map_err(|error| failure(Exit::Usage, format!("{}: {error}", path.display())))
}

fn write(path: &Path, text: &str) -> eyre::Result<()> {
    fs::write(path, text).map_err(|error| failure(Exit::Usage, format!("{}: {error}", path.display())))
}
