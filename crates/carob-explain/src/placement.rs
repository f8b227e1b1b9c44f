//! What stood in the way of a request: scarce engines, and upstreams that it was not permitted to go to.

use crate::Record;

/// Explains why a request waited or was not sent to an upstream that it was placed on; empty if neither happened.
pub(crate) fn explain(request: &[&Record]) -> String {
    let sentences = request.iter().filter_map(|record| match record.message.as_str() {
        "patient request waits for an engine" => Some(format!(
            " It waited for an engine, at most {} ms, with {} requests of its service in the queue and {} other instances \
             waiting; urgent requests kept a prompt of {} tokens and {} ms of prefill free.",
            record.text("longest_ms"),
            record.text("queued"),
            record.text("waiting_instances"),
            record.text("urgent_prompt"),
            record.text("headroom_ms")
        )),
        "request refused: engines are scarce" => Some(format!(
            " Requests of priority {} had to wait {} ms, behind {} others; it might wait {} ms, and was told to come back \
             after {} ms.",
            record.text("priority"),
            record.text("expected_ms"),
            record.text("ahead"),
            record.text("longest_ms"),
            record.text("retry_ms")
        )),
        "request not sent: its upstream is not permitted any more" => Some(format!(
            " It was not sent to upstream {}: {} (regions in which it may run: {}).",
            record.text("upstream"),
            exclusion(&record.text("exclusion")),
            record.text("regions")
        )),
        "request not sent: its upstream is cold, and there is no permit" => Some(format!(
            " It was not sent to upstream {}, which was cold: no permit came within {} ms.",
            record.text("upstream"),
            record.text("wait_ms")
        )),
        _ => None,
    });
    sentences.collect()
}

/// Names why a request may not go to an upstream.
fn exclusion(name: &str) -> &str {
    match name {
        "region" => "it is outside these regions",
        "evacuated" => "its failure domain was taken out of service",
        "outdated" => "the gateway's configuration might be outdated, and with it these regions",
        "leaving" => "it had left",
        other => other,
    }
}
