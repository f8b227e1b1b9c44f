//! A lease under which its holder stops acting before the lease can end.
//!
//! The store counts the lease's time from when it receives the request. The holder counts from when it sent
//! the request, on its monotonic clock, and stops acting a safety margin earlier. A holder that was paused or
//! whose replies were late therefore considers its lease lapsed before another one can have acquired it.

use std::time::Duration;

use carob_base::Time;

use crate::{
    backoff::Backoff,
    call::{Call, Failure, Lease, Reply},
};

/// Duration and safety margin of a lease.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time for which the lease lasts without renewal, in whole seconds. Default: 10 s.
    pub ttl: Duration,
    /// Time before the lease's end at which the holder stops acting. It must exceed the maximum duration of
    /// an action under the lease plus the drift between two clocks over `ttl`. Default: 2 s.
    pub margin: Duration,
    /// Seed of the jitter of the delays between attempts; must differ between instances.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(10),
            margin: Duration::from_secs(2),
            seed: 0,
        }
    }
}

/// Acquires and renews one lease, as a state machine without I/O.
#[derive(Clone, Debug)]
pub struct LeaseRenewer {
    options: Options,
    backoff: Backoff,
    lease: Option<Lease>,
    /// The holder must not act at or after this time.
    valid_until: Time,
    /// When the call in progress was sent; `None` if there is none.
    sent_at: Option<Time>,
    /// Earliest time of the next call.
    next_call: Time,
}

impl LeaseRenewer {
    /// Creates the state of a holder that has no lease yet.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            backoff: Backoff::new(options.seed),
            lease: None,
            valid_until: Time::ZERO,
            sent_at: None,
            next_call: Time::ZERO,
        }
    }

    /// Returns the lease if an action that starts now and takes less than the margin certainly ends before
    /// the lease.
    pub fn valid_lease(&self, now: Time) -> Option<Lease> {
        self.lease.filter(|_| now < self.valid_until)
    }

    /// Time from which on the holder must not act any more; [`Time::ZERO`] without a lease.
    pub fn valid_until(&self) -> Time {
        self.valid_until
    }

    /// Returns the next call to the store, if one is due. This method is to be called about once a second,
    /// and the call's result to be passed to [`on_reply`](Self::on_reply).
    pub fn poll(&mut self, now: Time) -> Option<Call> {
        if self.sent_at.is_some() || now < self.next_call {
            return None;
        }
        if self.lease.is_some() && now >= self.valid_until {
            self.clear_lease();
        }
        self.sent_at = Some(now);
        Some(match self.lease {
            Some(lease) => Call::Renew { lease },
            None => Call::Grant {
                ttl: self.options.ttl,
            },
        })
    }

    /// Handles the result of the call that [`poll`](Self::poll) returned.
    pub fn on_reply(&mut self, result: &Result<Reply, Failure>, now: Time) {
        let Some(sent_at) = self.sent_at.take() else {
            return;
        };
        match result {
            Ok(Reply::Leased { lease, ttl }) => self.on_renewed(*lease, *ttl, sent_at),
            Err(Failure::LeaseLapsed) => {
                self.clear_lease();
                self.next_call = now;
            }
            _ => self.next_call = now + self.backoff.next_delay(),
        }
    }

    /// Gives up the lease. Returns the call that revokes it, if there is one.
    pub fn close(self) -> Option<Call> {
        self.lease.map(|lease| Call::Revoke { lease })
    }

    fn on_renewed(&mut self, lease: Lease, ttl: Duration, sent_at: Time) {
        self.backoff.reset();
        self.lease = Some(lease);
        self.valid_until = sent_at + ttl.saturating_sub(self.options.margin);
        self.next_call = sent_at + ttl / 3;
    }

    fn clear_lease(&mut self) {
        self.lease = None;
        self.valid_until = Time::ZERO;
    }
}
