//! Explanation of a request's outcome and of the decision that led to it.

use crate::{Record, placement};

/// Explains the outcome of a request from its records, `request`, in their order. `all` are the records of
/// all instances, from which follows what they knew about the upstream.
pub fn conclude(request: &[&Record], all: &[Record]) -> String {
    let Some(last) = final_record(request) else {
        return "No line speaks of this request: it did not reach an instance whose logs are here."
            .to_owned();
    };
    let version = request
        .iter()
        .rev()
        .map(|record| record.text("version"))
        .find(|text| !text.is_empty());
    let configuration = version.map_or_else(String::new, |version| {
        format!(" Configuration {version} decided.")
    });
    let sentence = match last.message.as_str() {
        "answered by the gateway" => {
            let crashes = explain_crashes(last, request, all);
            let limit = explain_limit(last, request, all);
            format!("{}{crashes}{limit}", explain_local_answer(last, request))
        }
        "answer passed on" => format!(
            "The answer of upstream {} (status {}) was passed on after {} ms.",
            last.text("upstream"),
            last.text("status"),
            last.text("age_ms")
        ),
        "stream ended" if last.field_is("outcome", "complete") => format!(
            "The stream ended whole at upstream {} after {} events and {} moves.",
            last.text("upstream"),
            last.text("events"),
            last.text("moves")
        ),
        "stream ended" => explain_cut(last, request, all),
        other => format!(
            "The last line is \"{other}\", {} ms after the start of its process: the process ended, or the logs end \
             there.",
            last.uptime_ms
        ),
    };
    let placement = placement::explain(request);
    format!("{sentence}{placement}{configuration}")
}

/// Messages that end a request.
const FINAL_MESSAGES: [&str; 3] = ["answered by the gateway", "answer passed on", "stream ended"];

/// Returns the last record. Urgent and ordinary lines are written apart, so that among those of the same millisecond
/// one that ends the request may stand before others.
fn final_record<'a>(request: &[&'a Record]) -> Option<&'a Record> {
    let last = *request.last()?;
    let found = request
        .iter()
        .rev()
        .take_while(|record| record.time_ms == last.time_ms)
        .find(|record| FINAL_MESSAGES.contains(&record.message.as_str()));
    Some(found.copied().unwrap_or(last))
}

fn explain_local_answer(last: &Record, request: &[&Record]) -> String {
    let sent = request
        .iter()
        .filter(|record| record.message == "sent to an upstream")
        .count();
    let attempts: Vec<String> = request
        .iter()
        .filter(|record| record.message == "attempt without an answer")
        .map(|record| {
            format!(
                "{} at {}: {}",
                record.text("attempt"),
                record.text("upstream"),
                record.text("reason")
            )
        })
        .collect();
    let attempts = if attempts.is_empty() {
        String::new()
    } else {
        format!(" Attempts: {}.", attempts.join("; "))
    };
    format!(
        "The gateway answered {} after {} ms and {sent} sends, because {}.{attempts}",
        last.text("own"),
        last.text("age_ms"),
        last.text("reason")
    )
}

/// Names the upstreams that ended under the part for which the request was refused, if it was; empty otherwise.
fn explain_crashes(last: &Record, request: &[&Record], all: &[Record]) -> String {
    let refusal = request
        .iter()
        .find(|record| record.message == "request refused: upstreams crash under a part of it");
    let Some(refusal) = refusal else {
        return String::new();
    };
    let part = refusal.text("fragment");
    let mut ends: Vec<(String, i64, String)> = Vec::new();
    for record in all {
        let is_end = record.message == "upstream ended under requests"
            && record.time_ms <= last.time_ms
            && record.text("fragments").split(' ').any(|other| other == part);
        let upstream = record.text("upstream");
        // Each instance with a request there has a line.
        if is_end && ends.iter().all(|(known, ..)| *known != upstream) {
            ends.push((upstream, last.time_ms - record.time_ms, record.text("suspects")));
        }
    }
    let ends: Vec<String> = ends
        .iter()
        .map(|(upstream, ahead, suspects)| format!("{upstream} {ahead} ms before ({suspects})"))
        .collect();
    format!(
        " Part {part} of it was among the requests under which {} upstreams ended: {}.",
        ends.len(),
        ends.join(", ")
    )
}

/// Explains a refusal because upstreams limit their requests: which limit was known, and from which answer.
fn explain_limit(last: &Record, request: &[&Record], all: &[Record]) -> String {
    let refusal = request
        .iter()
        .find(|record| record.message == "request refused: upstreams limit their requests");
    let Some(refusal) = refusal else {
        return String::new();
    };
    let incarnation = refusal.text("incarnation");
    let named = all.iter().rfind(|record| {
        record.message == "upstream changed its limit"
            && record.time_ms <= last.time_ms
            && record.field_is("incarnation", &incarnation)
    });
    let answer = named.map_or_else(
        || "an answer whose line is not here".to_owned(),
        |named| {
            let ahead = last.time_ms - named.time_ms;
            format!("the answer to {} {ahead} ms before", named.text("request"))
        },
    );
    format!(
        " Upstream {} took {} requests a second, according to {answer} (last confirmed {} ms before, source {}); a permit \
         was expected after {} ms.",
        refusal.text("upstream"),
        refusal.text("limit"),
        refusal.text("limit_ms"),
        refusal.text("source"),
        refusal.text("wait_ms")
    )
}

/// Explains why a stream was cut: whether an instance knew that the upstream would leave, and what was done
/// to migrate the generation.
fn explain_cut(last: &Record, request: &[&Record], all: &[Record]) -> String {
    let upstream = last.text("upstream");
    let notice = all
        .iter()
        .filter(|record| record.field_is("upstream", &upstream) && record.time_ms <= last.time_ms)
        .find(|record| {
            (record.message == "directory entry" && record.field_is("state", "Leaving"))
                || record.message == "directory entry removed"
                || record.message == "upstream says itself that it leaves"
        });
    let known = notice.map_or_else(
        || "No instance knew before that the upstream would leave".to_owned(),
        |notice| {
            let ahead = last.time_ms - notice.time_ms;
            format!(
                "Instance {} knew {ahead} ms before that the upstream would leave",
                notice.instance
            )
        },
    );
    let steps: Vec<String> = request
        .iter()
        .filter(|record| {
            matches!(
                record.message.as_str(),
                "memory copied ahead of a move"
                    | "generation not moved"
                    | "generation could not continue elsewhere"
                    | "copy call failed"
            )
        })
        .map(ToString::to_string)
        .collect();
    let steps = if steps.is_empty() {
        "no copy of its memory was finished".to_owned()
    } else {
        format!("these steps were taken: {}", steps.join("; "))
    };
    format!(
        "The stream was cut after {} events ({}; {}) at upstream {upstream}. {known}; {steps}.",
        last.text("events"),
        last.text("outcome"),
        last.text("reason")
    )
}
