//! The `where` subcommand: asks a gateway where a request would go.

use carob_platform::request::Description;
use serde_json::Value;

use super::{admin, ticket};
use crate::{
    args::Where,
    exit::{Exit, failure},
};

/// Path of the question; the method, the host and the path of the request follow.
const PATH: &str = "/where/";

/// Timeout of the call, in seconds: the gateway answers within 4 s.
const TIMEOUT_SECONDS: u64 = 6;

/// Headers that describe the connection or the body, which a question does not have.
const UNUSABLE: [&str; 7] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// Prints where the request would go.
pub fn run(args: &Where) -> eyre::Result<Exit> {
    let target = target(&args.method, &args.target)?;
    let answer = admin::get_with(args.admin, &target, headers(args)?, TIMEOUT_SECONDS)
        .map_err(|report| failure(Exit::Unreachable, format!("{} gave {report}", args.admin)))?;
    let text = answer.body.trim_end();
    let value: Option<Value> = serde_json::from_str(text).ok();
    let error = value.as_ref().and_then(|value| value["error"].as_str());
    let (exit, error) = match (answer.status, error) {
        (200, None) if args.json => {
            println!("{text}");
            return Ok(Exit::Done);
        }
        (200, None) => {
            let Some(value) = value else {
                return Err(failure(Exit::Unreachable, "the answer is not JSON"));
            };
            print_answer(&value);
            return Ok(Exit::Done);
        }
        (422, Some(error)) => {
            let status = value
                .as_ref()
                .map_or(&Value::Null, |value| &value["caller_status"]);
            (
                Exit::Refused,
                format!("the request would be answered {status}: {error}"),
            )
        }
        (400, Some(error)) => (Exit::Usage, error.to_owned()),
        (431, _) => (
            Exit::Usage,
            "the description of the request is too long: expected at most 16 KiB".to_owned(),
        ),
        (404, _) => (
            Exit::Unreachable,
            format!(
                "{} does not know this question: it is of an earlier build, or no gateway's admin address",
                args.admin
            ),
        ),
        (status, error) => (
            Exit::Unreachable,
            format!(
                "{} gave no answer: status {status} {}",
                args.admin,
                error.unwrap_or(text)
            ),
        ),
    };
    if args.json && value.is_some() {
        println!("{text}");
    }
    Err(failure(exit, error))
}

/// Path of the question about a request with this `method` to `target`, which is a host and a path.
fn target(method: &str, target: &str) -> eyre::Result<String> {
    let bare = target.strip_prefix("http://").unwrap_or(target);
    let is_method = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
    if !is_method {
        let text = format!("expected a method such as POST, found `{method}`");
        return Err(failure(Exit::Usage, text));
    }
    let has_host = bare.split_once('/').is_some_and(|(host, _)| !host.is_empty());
    let is_plain = bare.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'#');
    if !has_host || !is_plain {
        let text = format!("expected a host and a path such as shop.example/draft/x, found `{target}`");
        return Err(failure(Exit::Usage, text));
    }
    Ok(format!("{PATH}{method}/{bare}"))
}

/// Headers of the described request.
fn headers(args: &Where) -> eyre::Result<Vec<(String, String)>> {
    let key = ticket::read_key(args.key.as_ref())?;
    let usage = match (args.prompt, args.output) {
        (Some(prompt), Some(output)) => Some((prompt, output)),
        (None, None) => None,
        _ => {
            return Err(failure(
                Exit::Usage,
                "--prompt and --output have to be given together",
            ));
        }
    };
    let description = Description {
        key: key.as_deref(),
        usage,
        length_hint: args.hint,
        parts: args.parts.as_deref(),
    };
    let mut headers: Vec<(String, String)> = description
        .headers()
        .into_iter()
        .map(|(name, value)| (name.to_string(), value))
        .collect();
    for header in &args.header {
        let Some((name, value)) = header.split_once(':') else {
            let text = format!("--header: expected NAME: VALUE, found `{header}`");
            return Err(failure(Exit::Usage, text));
        };
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
    for (index, (name, value)) in headers.iter().enumerate() {
        if headers[..index]
            .iter()
            .any(|(other, _)| other.eq_ignore_ascii_case(name))
        {
            return Err(failure(
                Exit::Usage,
                format!("the header `{name}` is given twice"),
            ));
        }
        let is_token = !name.is_empty()
            && name
                .bytes()
                .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
        let is_usable = !UNUSABLE.contains(&name.to_ascii_lowercase().as_str());
        if !is_token || !is_usable || value.chars().any(char::is_control) {
            let text = format!("the header `{name}` cannot be part of the description, or is malformed");
            return Err(failure(Exit::Usage, text));
        }
    }
    Ok(headers)
}

/// Prints an answer in words.
fn print_answer(answer: &Value) {
    println!(
        "gateway {}, configuration {}{}, route {}, account {}, priority {}, regions {}",
        text(&answer["instance"]),
        answer["configuration_version"],
        if answer["configuration_current"] == true {
            ""
        } else {
            " (may be old)"
        },
        text(&answer["route"]),
        text(&answer["account"]),
        answer["priority"],
        text(&answer["regions"]),
    );
    if answer["directory_current"] != true {
        println!("No news of upstreams arrives, neither from the store nor from other gateways.");
    }
    for service in list(&answer["services"]) {
        print_service(service);
    }
}

fn print_service(service: &Value) {
    let detail = text(&service["detail"]);
    print!(
        "\nservice {} (weight {}): ",
        text(&service["service"]),
        service["weight"]
    );
    match text(&service["decision"]).as_str() {
        "send" => println!("the request would go to {}: {detail}", text(&service["upstream"])),
        "wait" => println!(
            "the request would wait for up to {} ms: {detail}",
            service["longest_wait_ms"]
        ),
        _ => println!("the request would be refused: {detail}"),
    }
    if let Some(wait) = service["expected_wait_ms"].as_u64() {
        println!("expected wait: {wait} ms");
    }
    if service["asks_load_first"] == true {
        println!(
            "Most other gateways are silent: before it decides, it would ask up to three of these for their load."
        );
    }
    println!(
        "waiting: {} requests here; other gateways with waiting requests: {}",
        service["queued_requests"], service["waiting_instances"]
    );
    let mut rows = vec![
        [
            "upstream", "domain", "score", "load", "pace", "distance", "saved", "other", "random",
            "requests", "prefill", "load age", "pace age",
        ]
        .map(str::to_owned)
        .to_vec(),
    ];
    rows.extend(list(&service["candidates"]).iter().map(candidate_row));
    print_table(&rows);
    let mut rows = vec![["excluded", "domain", "reason", ""].map(str::to_owned).to_vec()];
    rows.extend(list(&service["excluded"]).iter().map(|found| {
        let left = found["pause_left_ms"].as_u64().filter(|left| *left > 0);
        let left = left.map_or_else(String::new, |left| format!(" (for {left} ms)"));
        vec![
            text(&found["upstream"]),
            text(&found["domain"]),
            text(&found["reason"]),
            text(&found["detail"]) + &left,
        ]
    }));
    print_table(&rows);
    if service["omitted_upstreams"] != 0 {
        println!("{} more are not shown", service["omitted_upstreams"]);
    }
    println!(
        "upstreams of other services: {}",
        service["other_service_upstreams"]
    );
}

fn candidate_row(found: &Value) -> Vec<String> {
    let share = |name: &str| found[name].as_f64().unwrap_or_default();
    let other = [
        "failures_share",
        "unreachable_share",
        "relay_share",
        "permit_share",
    ];
    let age = |name: &str| {
        found[name]
            .as_u64()
            .map_or_else(|| "-".to_owned(), |age| format!("{age} ms"))
    };
    let mut row = vec![text(&found["upstream"]), text(&found["domain"])];
    row.extend(
        [
            share("score_share"),
            share("load_share"),
            share("pace_share"),
            share("distance_share"),
            share("saved_share"),
            other.map(share).iter().sum(),
            share("random_share"),
        ]
        // Terms that are subtracted are -0 if there is nothing to subtract.
        .map(|term| format!("{:.3}", term + 0.0)),
    );
    row.push(format!("{}/{}", found["requests"], found["slots"]));
    row.push(found["pending_prefill_tokens"].to_string());
    row.extend(["peer_load_age_ms", "pace_age_ms"].map(age));
    row
}

/// Prints rows with aligned columns, of which the first one is a heading; nothing if there are no others.
fn print_table(rows: &[Vec<String>]) {
    if rows.len() < 2 {
        return;
    }
    let columns = rows[0].len();
    let widths: Vec<usize> = (0..columns)
        .map(|column| rows.iter().map(|row| row[column].len()).max().unwrap_or_default())
        .collect();
    println!();
    for row in rows {
        let cells = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"));
        println!("{}", cells.collect::<Vec<_>>().join("  ").trim_end());
    }
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or("none").to_owned()
}
