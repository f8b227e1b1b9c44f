//! The `explain` subcommand: finds what happened to a request, an upstream, an instance or a service in log
//! files.

use std::{fs, path::Path};

use carob_explain::{ParsedLog, Record};

use crate::{
    args::Explain,
    exit::{Exit, failure},
};

/// Number of windows that are shown of a service.
const MAX_WINDOWS: usize = 3;

/// Prints the matching log lines of all files in one order, and for a request also a one-sentence conclusion.
/// For a service, prints the windows with the most repeats instead.
///
/// For an upstream or an instance, lines about single requests are left out. A line without the name of its
/// instance is attributed to the instance that its file is named after. Without a matching line the exit code
/// is [`Exit::Refused`].
pub fn run(args: &Explain) -> eyre::Result<Exit> {
    let mut merged = ParsedLog::default();
    let files: Vec<&str> = args.files.iter().map(String::as_str).collect();
    let is_request = args.upstream.is_none() && args.instance.is_none() && args.service.is_none();
    let (request, files) = match files.split_first() {
        Some((request, files)) if is_request => (Some(*request), files),
        None if is_request => return Err(failure(Exit::Usage, "expected a request's id and log files")),
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
    if let Some(service) = &args.service {
        return Ok(print_windows(&merged, service, args.window.get()));
    }
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

/// Prints the windows of `length_s` seconds with the most repeats for `service`.
fn print_windows(merged: &ParsedLog, service: &str, length_s: u32) -> Exit {
    let records = &merged.records;
    let start = records.first().map_or(0, |record| record.time_ms);
    let length_ms = i64::from(length_s) * 1_000;
    let windows = carob_explain::windows(records, service, length_ms, MAX_WINDOWS);
    for window in &windows {
        println!("{:>8} ms  {length_s} s: {window}", window.start_ms - start);
    }
    let dropped = carob_explain::dropped_lines(records);
    println!(
        "{} windows from {} records; {} other lines skipped; {dropped} lines were dropped by the instances and are \
         not counted",
        windows.len(),
        records.len(),
        merged.skipped
    );
    if windows.is_empty() {
        Exit::Refused
    } else {
        Exit::Done
    }
}
