//! Admission of new requests, and bookkeeping of open ones.

use carob_base::{AccountKey, RequestKey, ServiceKey, Time, UpstreamKey};
use carob_config::ServiceKind;
use smallvec::SmallVec;

use crate::{
    denial::Denial,
    router::Router,
    state::{OpenRequest, Phase},
    submit::{Cause, Outcome, Request},
};

impl Router {
    /// Places, queues or refuses a new request.
    pub fn submit(&mut self, request: Request, now: Time) -> Outcome {
        let id = request.id;
        match self.admit(request, now) {
            Ok(outcome) => outcome,
            Err(denial) => Outcome::Refused(denial.into_refusal(id)),
        }
    }

    fn admit(&mut self, request: Request, now: Time) -> Result<Outcome, Denial> {
        if self.ids.contains_key(&request.id) {
            return Err(Denial::new(Cause::BadId));
        }
        let service = self.service_names.get(&request.service).copied();
        let service = service.filter(|&key| !self.services[key].removed);
        let service = service.ok_or(Denial::new(Cause::UnknownService))?;
        let account = self.account_names.get(&request.account).copied();
        let account = account.filter(|&key| !self.accounts[key].removed);
        let account = account.ok_or(Denial::new(Cause::UnknownAccount))?;
        let hedged = self.check_limits(&request, service, account)?;
        let is_hedge = request.hedge_of.is_some();
        let key = self.open_request(request, service, account, now);
        self.requests[key].excluded.extend(hedged);
        if !is_hedge {
            let service = &mut self.services[service];
            service.budget.deposit(service.retry_percent);
        }
        let outcome = self.place_or_queue(key, !is_hedge, now);
        outcome.inspect_err(|_| {
            self.close_request(key);
        })
    }

    /// Checks the limits that do not depend on load. For a hedge, withdraws a retry from the budget and
    /// returns the upstream of the original request.
    fn check_limits(
        &mut self,
        request: &Request,
        service: ServiceKey,
        account: AccountKey,
    ) -> Result<Option<UpstreamKey>, Denial> {
        let owner = &self.accounts[account];
        if owner.open >= owner.max_open {
            return Err(Denial::new(Cause::AccountBusy));
        }
        let target = &self.services[service];
        if target.upstreams.is_empty() {
            return Err(Denial::new(Cause::NoUpstream));
        }
        let largest = request
            .prompt_tokens
            .saturating_add(request.max_tokens.unwrap_or(1));
        if target.kind == ServiceKind::Generation && largest > target.max_memory {
            return Err(Denial::new(Cause::TooLong));
        }
        let Some(id) = request.hedge_of else {
            return Ok(None);
        };
        let original = self.ids.get(&id).map(|&key| &self.requests[key]);
        let original = original.ok_or(Denial::new(Cause::BadId))?;
        let Phase::Running { upstream, .. } = original.phase else {
            return Err(Denial::new(Cause::BadId));
        };
        if !self.services[service].budget.try_withdraw() {
            return Err(Denial::new(Cause::RetryBudget));
        }
        Ok(Some(upstream))
    }

    /// Registers the request as open.
    fn open_request(
        &mut self,
        request: Request,
        service: ServiceKey,
        account: AccountKey,
        now: Time,
    ) -> RequestKey {
        let group = self.lengths.group(service, account, request.prompt_tokens);
        self.lengths.refresh(group);
        let limit = self.services[service].max_tokens;
        let max_tokens = request.max_tokens.map_or(limit, |max| max.min(limit));
        let learned = || {
            self.lengths
                .table(group)
                .survival_quantile(0, 0.5)
                .min(max_tokens)
        };
        let expected_length = request.known_tokens.unwrap_or_else(learned);
        let names = &self.upstream_names;
        let excluded = request
            .excluded
            .iter()
            .filter_map(|name| names.get(name).copied());
        let excluded: SmallVec<[UpstreamKey; 2]> = excluded.collect();
        let key = self.requests.insert_with_key(|key| OpenRequest {
            id: request.id,
            key,
            service,
            account,
            group,
            prompt: request.prompt_tokens,
            max_tokens,
            produced: 0,
            known_length: request.known_tokens,
            prefix: request.prefix,
            exclusive: request.exclusive,
            excluded,
            submitted: now,
            expected_length,
            phase: Phase::Unassigned,
        });
        self.ids.insert(request.id, key);
        self.accounts[account].open += 1;
        key
    }

    /// Removes a request that is neither queued nor running.
    pub(crate) fn close_request(&mut self, key: RequestKey) -> Option<OpenRequest> {
        let request = self.requests.remove(key)?;
        self.ids.remove(&request.id);
        let account = &mut self.accounts[request.account];
        account.open = account.open.saturating_sub(1);
        Some(request)
    }
}
