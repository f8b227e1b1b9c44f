//! Repeats, which are requests that an upstream gets after another one got them: the budget of each service,
//! and what logs and metrics tell about it.

use std::{cell::RefCell, collections::HashMap};

use carob_base::Time;
use carob_dispatch::budget::{Options, Reason, RetryBudget};
use metrics::{Counter, Gauge};

use super::call::Call;
use crate::Settings;

/// The fixed part of a retry budget is divided among at least this many instances.
///
/// An instance that does not know all others yet must not spend their shares.
const MIN_INSTANCES: usize = 10;

/// The budget of one service.
struct Account {
    budget: RetryBudget,
    /// Number of instances that the fixed part is divided among.
    instances: usize,
    requests: Counter,
    left: Gauge,
}

/// The budgets of all services.
#[derive(Default)]
pub(super) struct Repeats(RefCell<HashMap<Box<str>, Account>>);

impl Account {
    fn new(service: &str, settings: &Settings, peers: usize) -> Self {
        let instances = (peers + 1).max(MIN_INSTANCES);
        let budget = RetryBudget::new(Options {
            window: settings.retry_window,
            ratio: settings.retry_ratio,
            extra: settings.extra_retries / instances as f64,
        });
        Self {
            budget,
            instances,
            requests: metrics::counter!("carobhaven_service_requests_total", "service" => service.to_owned()),
            left: metrics::gauge!("carobhaven_budget_left_repeats", "service" => service.to_owned()),
        }
    }

    fn update_gauge(&mut self, now: Time) {
        self.left.set(self.budget.left(now));
    }
}

impl Repeats {
    /// Counts a client's request to `service`, whose budget is created on first use.
    pub(super) fn record_request(&self, service: &str, settings: &Settings, peers: usize, now: Time) {
        let mut accounts = self.0.borrow_mut();
        if !accounts.contains_key(service) {
            accounts.insert(service.into(), Account::new(service, settings, peers));
        }
        let Some(account) = accounts.get_mut(service) else {
            return;
        };
        account.budget.record_request(now);
        account.requests.increment(1);
        account.update_gauge(now);
    }
}

/// Withdraws a repeat from the budget of the request's service; returns whether it was permitted.
pub(super) fn may_repeat(call: &Call, reason: Reason) -> bool {
    let now = call.shared.now();
    let mut accounts = call.shared.repeats.0.borrow_mut();
    let Some(account) = accounts.get_mut(&call.service) else {
        return false;
    };
    if account.budget.try_retry(now) {
        account.update_gauge(now);
        return true;
    }
    metrics::counter!(
        "carobhaven_repeats_denied_total", "service" => call.service.clone().into_string(), "reason" => reason.name()
    )
    .increment(1);
    log::info!(
        request:% = call.id(), service:% = call.service, reason = reason.name(),
        left = hundredths(account.budget.left(now)), share = hundredths(account.budget.share()),
        instances = account.instances, requests = account.budget.requests(now);
        "no retry: the budget is spent"
    );
    false
}

/// Records that a repeat is being written to a connection.
pub(super) fn record_repeat(call: &Call, reason: Reason) {
    let now = call.shared.now();
    let mut accounts = call.shared.repeats.0.borrow_mut();
    let Some(account) = accounts.get_mut(&call.service) else {
        return;
    };
    metrics::counter!(
        "carobhaven_repeats_total", "service" => call.service.clone().into_string(), "reason" => reason.name()
    )
    .increment(1);
    log::info!(
        request:% = call.id(), service:% = call.service, reason = reason.name(),
        left = hundredths(account.budget.left(now)), share = hundredths(account.budget.share()),
        instances = account.instances, requests = account.budget.requests(now);
        "request sent again"
    );
}

/// Rounds a number of repeats for a log line.
fn hundredths(repeats: f64) -> f64 {
    (repeats * 100.0).round() / 100.0
}
