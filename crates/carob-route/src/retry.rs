//! Retries of requests whose upstream has failed.

use carob_base::{RequestKey, Time};

use crate::{
    denial::Denial,
    finish::End,
    router::Router,
    submit::{Cause, Outcome},
};

impl Router {
    /// Places the request on another upstream after its current one has failed with `end`, as far as the
    /// service's retry budget and queue timeout allow. If it is refused, its state is removed.
    ///
    /// The caller has to make sure that it may run again: either it did not start, or it is idempotent.
    pub fn retry(&mut self, id: u64, end: End, now: Time) -> Outcome {
        let Some(&key) = self.ids.get(&id) else {
            return Outcome::Refused(Denial::new(Cause::BadId).into_refusal(id));
        };
        let failed = self.detach_from_upstream(key, end, now);
        let request = &mut self.requests[key];
        request.excluded.extend(failed);
        request.produced = 0;
        self.place_again(key, now).unwrap_or_else(|denial| {
            self.close_request(key);
            Outcome::Refused(denial.into_refusal(id))
        })
    }

    fn place_again(&mut self, key: RequestKey, now: Time) -> Result<Outcome, Denial> {
        let request = &self.requests[key];
        let service = &mut self.services[request.service];
        if now.since(request.submitted) >= service.queue_timeout {
            return Err(Denial::new(Cause::Expired));
        }
        if !service.budget.try_withdraw() {
            return Err(Denial::new(Cause::RetryBudget));
        }
        self.place_or_queue(key, true, now)
    }
}
