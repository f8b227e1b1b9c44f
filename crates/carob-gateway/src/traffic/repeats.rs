//! Repeats, which are requests that an upstream gets after another one got them: the budget of each service,
//! and what logs and metrics tell about it.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};

use carob_base::Time;
use carob_dispatch::{
    budget::{Divisor, Options, Reason, RetryBudget},
    fleet::{Fleet, UpstreamKey},
};
use metrics::{Counter, Gauge};
use slotmap::SecondaryMap;

use super::{call::Call, shared::Shared};
use crate::Settings;

/// Why a request is not sent again, in log lines.
pub(super) const BUDGET_SPENT: &str = "the retry budget is spent";

/// Largest share of an instance that is not registered yet, and so cannot know how many others there are.
const UNREGISTERED_SHARE: f64 = 1.0;

/// The budget of one service.
struct Account {
    budget: RetryBudget,
    /// Repeats that are held, by the upstream at which a send was given up.
    held: SecondaryMap<UpstreamKey, u32>,
    requests: Counter,
    left: Gauge,
}

/// The budgets of all services.
#[derive(Default)]
pub(super) struct Repeats {
    accounts: RefCell<HashMap<Box<str>, Account>>,
    divisor: Cell<Divisor>,
    /// When this instance was first seen to be registered in the store.
    registered: Cell<Option<Time>>,
}

/// A repeat that the budget permits. It is given back when this is dropped before the repeat is sent.
pub(super) struct Repeat {
    shared: Rc<Shared>,
    service: Box<str>,
    reason: Reason,
    silent: Option<UpstreamKey>,
    sent: bool,
}

impl Account {
    fn new(service: &str, options: Options, start: Time) -> Self {
        Self {
            budget: RetryBudget::new(options, start),
            held: SecondaryMap::new(),
            requests: metrics::counter!("carobhaven_service_requests_total", "service" => service.to_owned()),
            left: metrics::gauge!("carobhaven_budget_left_repeats", "service" => service.to_owned()),
        }
    }

    fn hold(&mut self, upstream: UpstreamKey) {
        if let Some(entry) = self.held.entry(upstream) {
            *entry.or_default() += 1;
            self.budget.hold();
        }
    }

    /// Settles what is held for upstreams that have been evicted.
    fn settle_evicted(&mut self, fleet: &Fleet, now: Time) {
        let budget = &mut self.budget;
        self.held.retain(|upstream, held| {
            let is_known = fleet.upstream(upstream).is_some();
            if !is_known {
                budget.settle(*held, now);
            }
            is_known
        });
    }

    fn update_gauge(&mut self, now: Time) {
        self.left.set(self.budget.left(now));
    }
}

impl Repeats {
    /// Counts a client's request to `service`, whose budget is created on first use.
    pub(super) fn record_request(&self, service: &str, settings: &Settings, now: Time) {
        let mut accounts = self.accounts.borrow_mut();
        if !accounts.contains_key(service) {
            let start = self.registered.get().unwrap_or(Time::NEVER);
            accounts.insert(
                service.into(),
                Account::new(service, self.options(settings), start),
            );
        }
        let Some(account) = accounts.get_mut(service) else {
            return;
        };
        account.budget.record_request();
        account.requests.increment(1);
        account.update_gauge(now);
    }

    /// Takes note of `known` instances, this one included, and of whether this one is `registered` as they are.
    pub(super) fn observe_instances(&self, known: usize, registered: bool, settings: &Settings, now: Time) {
        let mut divisor = self.divisor.get();
        let grows = divisor.observe(known);
        self.divisor.set(divisor);
        let begins = registered && self.registered.get().is_none();
        if begins {
            self.registered.set(Some(now));
            for account in self.accounts.borrow_mut().values_mut() {
                account.budget.restart(now);
            }
        }
        if grows || begins {
            self.apply_settings(settings, now);
        }
    }

    /// Applies the limits of `settings` to all budgets.
    pub(super) fn apply_settings(&self, settings: &Settings, now: Time) {
        let options = self.options(settings);
        for account in self.accounts.borrow_mut().values_mut() {
            account.budget.set_options(options, now);
            account.update_gauge(now);
        }
    }

    fn options(&self, settings: &Settings) -> Options {
        let share = self.divisor.get().share(settings.extra_retries);
        Options {
            window: settings.retry_window,
            ratio: settings.retry_ratio,
            extra: match self.registered.get() {
                Some(_) => share,
                None => share.min(UNREGISTERED_SHARE),
            },
        }
    }

    /// Logs `message` about a repeat, with what its service's budget rests on.
    fn log(&self, call: &Call, account: &mut Account, reason: Reason, message: &str) {
        log::info!(
            request:% = call.id(), service:% = call.service, reason = reason.name(),
            left = hundredths(account.budget.left(call.shared.now())), share = hundredths(account.budget.share()),
            instances = self.divisor.get().known(), requests = account.budget.requests();
            "{message}"
        );
    }
}

/// Why a request is sent again.
#[derive(Clone, Copy)]
pub(super) struct Cause {
    pub(super) reason: Reason,
    /// Upstream at which the last send was given up without a sign of life, so that it may still arrive.
    pub(super) silent: Option<UpstreamKey>,
}

/// Records that `upstream` has answered: what it was sent before has arrived.
pub(super) fn record_answer(call: &Call, upstream: UpstreamKey) {
    let mut accounts = call.shared.repeats.accounts.borrow_mut();
    let Some(account) = accounts.get_mut(&call.service) else {
        return;
    };
    if let Some(held) = account.held.remove(upstream) {
        account.budget.settle(held, call.shared.now());
    }
}

/// Records that a repeat was given up at `upstream` without a sign of life.
pub(super) fn record_silence(call: &Call, upstream: UpstreamKey) {
    let mut accounts = call.shared.repeats.accounts.borrow_mut();
    if let Some(account) = accounts.get_mut(&call.service) {
        account.hold(upstream);
    }
}

/// Whether the budget of the request's service permits to send it again; logs a denial.
pub(super) fn is_permitted(call: &Call, cause: Cause) -> bool {
    let Cause { reason, silent } = cause;
    let repeats = &call.shared.repeats;
    let mut accounts = repeats.accounts.borrow_mut();
    let Some(account) = accounts.get_mut(&call.service) else {
        return false;
    };
    account.settle_evicted(&call.shared.fleet(), call.shared.now());
    let may_hold = silent.is_none() || account.budget.permits_hold();
    if !reason.is_limited() || (may_hold && account.budget.permits(call.shared.now())) {
        return true;
    }
    metrics::counter!(
        "carobhaven_repeats_denied_total", "service" => call.service.clone().into_string(), "reason" => reason.name()
    )
    .increment(1);
    repeats.log(call, account, reason, "no retry: the budget is spent");
    false
}

impl Repeat {
    /// Reserves a repeat of the request in the budget of its service, for a send that follows at once. Returns
    /// `None` and logs it if the budget does not permit one.
    pub(super) fn reserve(call: &Call, cause: Cause) -> Option<Self> {
        if !is_permitted(call, cause) {
            return None;
        }
        let Cause { reason, silent } = cause;
        let shared = &call.shared;
        if reason.is_limited() {
            let mut accounts = shared.repeats.accounts.borrow_mut();
            let account = accounts.get_mut(&call.service)?;
            if !account.budget.reserve(shared.now()) {
                return None;
            }
        }
        Some(Self {
            shared: Rc::clone(shared),
            service: call.service.clone(),
            reason,
            silent,
            sent: false,
        })
    }

    /// Records that the request is being written to a connection. From now on it may arrive, so the repeat is
    /// not given back.
    pub(super) fn commit(mut self, call: &Call) {
        self.sent = true;
        let now = self.shared.now();
        let repeats = &self.shared.repeats;
        let mut accounts = repeats.accounts.borrow_mut();
        let Some(account) = accounts.get_mut(&self.service) else {
            return;
        };
        if self.reason.is_limited() {
            match self.silent {
                None => account.budget.commit(now),
                Some(upstream) => {
                    account.budget.release();
                    account.hold(upstream);
                }
            }
            account.update_gauge(now);
        }
        metrics::counter!(
            "carobhaven_repeats_total", "service" => self.service.clone().into_string(), "reason" => self.reason.name()
        )
        .increment(1);
        repeats.log(call, account, self.reason, "request sent again");
    }
}

impl Drop for Repeat {
    fn drop(&mut self) {
        if self.sent || !self.reason.is_limited() {
            return;
        }
        let mut accounts = self.shared.repeats.accounts.borrow_mut();
        if let Some(account) = accounts.get_mut(&self.service) {
            account.budget.release();
        }
    }
}

/// Rounds a number of repeats for a log line.
fn hundredths(repeats: f64) -> f64 {
    (repeats * 100.0).round() / 100.0
}
