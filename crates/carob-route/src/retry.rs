//! Other placements for requests whose upstream has failed.

use carob_base::{RequestKey, Time};

use crate::{
    denial::Denial,
    finish::End,
    router::Router,
    submit::{Cause, Outcome},
};

impl Router {
    /// Gives the request another placement after its upstream has failed with `end`, within the service's retry budget
    /// and the caller's patience. On a refusal nothing of the request is kept.
    ///
    /// Whether it may run again is for the caller to know: it did not start, or it is idempotent.
    pub fn retry(&mut self, id: u64, end: End, now: Time) -> Outcome {
        let Some(&key) = self.ids.get(&id) else {
            return Outcome::Refused(Denial::new(Cause::BadId).into_refusal(id));
        };
        let failed = self.leave_upstream(key, end, now);
        let open = &mut self.open[key];
        open.excluded.extend(failed);
        open.produced = 0;
        self.place_again(key, now).unwrap_or_else(|denial| {
            self.close_request(key);
            Outcome::Refused(denial.into_refusal(id))
        })
    }

    fn place_again(&mut self, key: RequestKey, now: Time) -> Result<Outcome, Denial> {
        let open = &self.open[key];
        let service = &mut self.services[open.service];
        if now.since(open.submitted) >= service.patience {
            return Err(Denial::new(Cause::Expired));
        }
        if !service.budget.try_withdraw() {
            return Err(Denial::new(Cause::RetryBudget));
        }
        self.place_or_queue(key, true, now)
    }
}
