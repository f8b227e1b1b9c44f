//! A lease whose holder never acts past it.
//!
//! The store counts a lease's time from the moment the request reaches it, the holder from the moment it sent
//! the request, on its monotonic clock, and it stops a margin earlier: a holder that was paused or whose replies
//! were late finds its lease gone before anyone else can have been granted it.

use std::time::Duration;

use carob_base::Time;

use crate::{
    backoff::Backoff,
    call::{Call, Failure, Lease, Reply},
};

/// How a lease is kept.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// How long the lease lasts without renewal, in whole seconds. Default: 10 s.
    pub ttl: Duration,
    /// How long before the end the holder stops to act; must exceed the longest time that an act under the
    /// lease takes, and the drift of two clocks over `ttl`. Default: 2 s.
    pub margin: Duration,
    /// Seed of the jitter between attempts.
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

/// The holder's view of one lease, as a pure state machine.
#[derive(Clone, Debug)]
pub struct LeaseRenewer {
    options: Options,
    backoff: Backoff,
    lease: Option<Lease>,
    /// The holder must not act at or after this point.
    valid_until: Time,
    /// When the call in progress was sent.
    sent: Option<Time>,
    /// Earliest time of the next attempt.
    next_try: Time,
}

impl LeaseRenewer {
    /// A holder that has no lease yet.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            backoff: Backoff::new(options.seed),
            lease: None,
            valid_until: Time::ZERO,
            sent: None,
            next_try: Time::ZERO,
        }
    }

    /// The lease, if an act that starts now and takes less than the margin is certain to end before the lease does.
    pub fn valid_lease(&self, now: Time) -> Option<Lease> {
        self.lease.filter(|_| now < self.valid_until)
    }

    /// The point from which the holder must not act any more.
    pub fn valid_until(&self) -> Time {
        self.valid_until
    }

    /// The next call to the store, if one is due. Call it about once a second, and feed the reply to
    /// [`replied`](Self::replied).
    pub fn poll(&mut self, now: Time) -> Option<Call> {
        if self.sent.is_some() || now < self.next_try {
            return None;
        }
        if self.lease.is_some() && now >= self.valid_until {
            self.lapse();
        }
        self.sent = Some(now);
        Some(match self.lease {
            Some(lease) => Call::Renew { lease },
            None => Call::Grant {
                ttl: self.options.ttl,
            },
        })
    }

    /// Takes in the reply to the call that [`poll`](Self::poll) returned.
    pub fn on_reply(&mut self, result: &Result<Reply, Failure>, now: Time) {
        let Some(sent) = self.sent.take() else {
            return;
        };
        match result {
            Ok(Reply::Leased { lease, ttl }) => self.renewed(*lease, *ttl, sent),
            Err(Failure::LeaseLapsed) => {
                self.lapse();
                self.next_try = now;
            }
            _ => self.next_try = now + self.backoff.next_delay(),
        }
    }

    /// Gives the lease up; the call revokes it.
    pub fn close(self) -> Option<Call> {
        self.lease.map(|lease| Call::Revoke { lease })
    }

    fn renewed(&mut self, lease: Lease, ttl: Duration, sent: Time) {
        self.backoff.reset();
        self.lease = Some(lease);
        self.valid_until = sent + ttl.saturating_sub(self.options.margin);
        self.next_try = sent + ttl / 3;
    }

    fn lapse(&mut self) {
        self.lease = None;
        self.valid_until = Time::ZERO;
    }
}
