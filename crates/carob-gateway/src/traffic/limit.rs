//! Reads the limits that upstreams name in their answers.

use std::time::Duration;

use carob_dispatch::fleet::UpstreamKey;
use carob_platform::answer::{self, AnswerKind};
use hyper::{HeaderMap, StatusCode};

use super::{call::Call, exchange::upstream_name};

/// Minimum time between two log lines about limits that cannot be read.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the limit in the head of an answer, and logs it if it has changed.
pub(super) fn record_answer(call: &Call, upstream: UpstreamKey, status: StatusCode, headers: &HeaderMap) {
    // Another upstream has the address now, or the answer is not the upstream's.
    if status == StatusCode::MISDIRECTED_REQUEST
        || answer::classify(status, headers, &call.head.id) == AnswerKind::Foreign
    {
        return;
    }
    let shared = &call.shared;
    match answer::named_limit(headers) {
        Ok(rate) => {
            let before = shared.note_limit(upstream, rate);
            if before != rate {
                log::info!(
                    request:% = call.id(), upstream:% = upstream_name(call, upstream),
                    limit:% = rate_text(rate), before:% = rate_text(before); "upstream changed its limit"
                );
            }
        }
        Err(error) => {
            metrics::counter!("carobhaven_limit_malformed_total").increment(1);
            if shared.may_log_limit(LOG_INTERVAL) {
                log::warn!(
                    request:% = call.id(), upstream:% = upstream_name(call, upstream), error:% = error;
                    "limit of an upstream cannot be read"
                );
            }
        }
    }
}

fn rate_text(rate: Option<f64>) -> String {
    rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string())
}
