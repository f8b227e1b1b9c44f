//! The `explain` subcommand: finds what happened to a request, an upstream or an instance in log files.

use std::{fs, path::Path};

use carob_explain::{ParsedLog, Record};

use crate::{
    args::Explain,
    exit::{Exit, failure},
};

/// Prints the matching log lines of all files in one order, and for a request also a one-sentence conclusion.
///
/// For an upstream or an instance, lines about single requests are left out. A line without the name of its
/// instance is attributed to the instance that its file is named after. Without a matching line the exit code
/// is [`Exit::Refused`].
pub fn run(args: &Explain) -> eyre::Result<Exit> {
    let mut merged = ParsedLog::default();
    let files: Vec<&str> = args.files.iter().map(String::as_str).collect();
    let (request, files) = match (&args.upstream, &args.instance, files.split_first()) {
        (None, None, Some((request, files))) => (Some(*request), files),
        (None, None, None) => return Err(failure(Exit::Usage, "expected a request's id and log files")),
        _ => (None, &files[..]),
    };
    for file in files {
        let bytes = fs::read(file).map_err(|error| failure(Exit::Usage, format!("{file}: {error}")))?;
        let name = Path::new(file).file_stem().unwrap_or_default().to_string_lossy();
        let parsed = carob_explain::parse(&String::from_utf8_lossy(&bytes), &name);
        merged.records.extend(parsed.records);
        merged.skipped += parsed.skipped;
    }
    carob_explain::align(&mut merged.records);
    let matches = |record: &&Record| match (request, &args.upstream, &args.instance) {
        (Some(id), _, _) => record.field_is("request", id),
        (None, Some(id), _) => record.concerns_upstream(id) && !record.fields.contains_key("request"),
        (None, None, Some(name)) => record.instance == *name && !record.fields.contains_key("request"),
        (None, None, None) => false,
    };
    let lines: Vec<&Record> = merged.records.iter().filter(matches).collect();
    let start = lines.first().map_or(0, |record| record.time_ms);
    for record in &lines {
        println!(
            "{:>8} ms  {:<24} {record}",
            record.time_ms - start,
            record.instance
        );
    }
    if request.is_some() {
        println!("{}", carob_explain::conclude(&lines, &merged.records));
    }
    println!(
        "{} lines of {} records; {} other lines skipped",
        lines.len(),
        merged.records.len(),
        merged.skipped
    );
    Ok(if lines.is_empty() {
        Exit::Refused
    } else {
        Exit::Done
    })
}
