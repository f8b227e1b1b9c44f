//! The lease and the fencing number that comes with it.
//!
//! The fencing number is the store's revision at which the holder's key was created, so that every later holder
//! has a higher one.

use bytes::Bytes;
use carob_base::Time;
use carob_store::{Call, Expect, Failure, Lease, Reply};

use crate::Options;

/// The store's key that the holder creates under its lease.
pub const KEY: &str = "carob/order/holder";

carob_base::plain! {
    /// A fencing number.
    pub struct FencingNumber(pub u64);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Idle,
    Granting,
    Taking(Lease),
    Holding(Lease, FencingNumber),
}

/// One instance's attempt to hold the lease.
#[derive(Debug)]
pub struct LeaseHolder {
    me: Bytes,
    state: State,
    /// When the lease ends, counted from before the call that granted or renewed it was sent.
    until: Time,
    sent: Time,
    busy: bool,
    next_at: Time,
}

impl LeaseHolder {
    /// An instance that does not hold the lease; `me` is its name, for operators who read the store.
    pub const fn new(me: Bytes) -> Self {
        Self {
            me,
            state: State::Idle,
            until: Time::ZERO,
            sent: Time::ZERO,
            busy: false,
            next_at: Time::ZERO,
        }
    }

    /// The fencing number, if the lease lasts for `left` from now on.
    pub fn fencing_number(&self, left: std::time::Duration, now: Time) -> Option<FencingNumber> {
        match self.state {
            State::Holding(_, fence) if now + left < self.until => Some(fence),
            _ => None,
        }
    }

    /// The next store call, if one is due.
    pub fn poll(&mut self, options: &Options, now: Time) -> Option<Call> {
        if now >= self.until && matches!(self.state, State::Taking(_) | State::Holding(..)) {
            self.state = State::Idle;
        }
        if self.busy || now < self.next_at {
            return None;
        }
        let call = match self.state {
            State::Idle => {
                self.state = State::Granting;
                Call::Grant {
                    ttl: options.lease_ttl,
                }
            }
            State::Granting => return None,
            State::Taking(lease) => self.take(lease),
            State::Holding(lease, _) => Call::Renew { lease },
        };
        self.busy = true;
        self.sent = now;
        Some(call)
    }

    /// Takes in the result of the call under way.
    pub fn on_reply(&mut self, result: Result<Reply, Failure>, options: &Options, now: Time) {
        self.busy = false;
        self.next_at = now + options.retry_delay;
        match (self.state, result) {
            (State::Granting, Ok(Reply::Leased { lease, ttl })) => {
                self.until = self.sent + ttl;
                self.state = State::Taking(lease);
                self.next_at = now;
            }
            (State::Granting, _) | (_, Err(Failure::LeaseLapsed)) => self.state = State::Idle,
            (State::Taking(lease), Ok(Reply::Done { revision })) => {
                self.hold(lease, revision, options, now);
            }
            (State::Taking(lease), Ok(Reply::Conflict { current: Some(entry) }))
                if entry.value == self.value(lease) =>
            {
                // An earlier swap whose reply was lost did take effect.
                self.hold(lease, entry.revision, options, now);
            }
            (State::Taking(_), Ok(Reply::Conflict { .. })) => self.next_at = now + options.renew_interval,
            (State::Holding(..), Ok(Reply::Leased { ttl, .. })) => {
                self.until = self.sent + ttl;
                self.next_at = now + options.renew_interval;
            }
            // A call whose fate is not known is repeated; the lease is not counted as renewed.
            _ => {}
        }
    }

    /// When [`poll`](Self::poll) has to be called at the latest.
    pub fn deadline(&self) -> Time {
        if self.busy { Time::NEVER } else { self.next_at }
    }

    fn hold(&mut self, lease: Lease, revision: u64, options: &Options, now: Time) {
        self.state = State::Holding(lease, FencingNumber(revision));
        self.next_at = now + options.renew_interval;
        log::info!("order: this instance gives the orders under fencing number {revision}");
    }

    fn take(&self, lease: Lease) -> Call {
        Call::Swap {
            key: Bytes::from_static(KEY.as_bytes()),
            expect: Expect::Absent,
            value: self.value(lease),
            lease: Some(lease),
        }
    }

    /// The value names the lease, by which the instance knows its own swap again.
    fn value(&self, lease: Lease) -> Bytes {
        let mut value = self.me.to_vec();
        value.extend_from_slice(format!(" {}", lease.0).as_bytes());
        Bytes::from(value)
    }
}
