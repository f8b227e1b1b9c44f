//! The lease for sending orders, and its fencing number.
//!
//! The fencing number is the store revision at which the holder created its key, so every later holder has a
//! higher one.

use bytes::Bytes;
use carob_base::Time;
use carob_store::{Call, Expect, Failure, Lease, Reply};

use crate::Options;

/// Store key that the holder creates under its lease.
pub const KEY: &str = "carob/order/holder";

carob_base::plain! {
    /// A fencing number: the store revision at which the lease's holder created [`KEY`].
    pub struct FencingNumber(pub u64);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Idle,
    Granting,
    Acquiring(Lease),
    Held(Lease, FencingNumber),
}

/// Acquires and renews the lease for one instance.
#[derive(Debug)]
pub struct LeaseHolder {
    instance: Bytes,
    state: State,
    /// When the lease expires, counted from the time before the call that granted or renewed it was sent.
    expires_at: Time,
    sent_at: Time,
    in_flight: bool,
    next_call: Time,
}

impl LeaseHolder {
    /// Creates the state of an instance that does not hold the lease. `instance` is its name, which operators
    /// can read in the store.
    pub const fn new(instance: Bytes) -> Self {
        Self {
            instance,
            state: State::Idle,
            expires_at: Time::ZERO,
            sent_at: Time::ZERO,
            in_flight: false,
            next_call: Time::ZERO,
        }
    }

    /// Returns the fencing number if the lease is held and will be for longer than `left`.
    pub fn fencing_number(&self, left: std::time::Duration, now: Time) -> Option<FencingNumber> {
        match self.state {
            State::Held(_, fence) if now + left < self.expires_at => Some(fence),
            _ => None,
        }
    }

    /// Returns the next store call, if one is due and none is in flight.
    pub fn poll(&mut self, options: &Options, now: Time) -> Option<Call> {
        if now >= self.expires_at && matches!(self.state, State::Acquiring(_) | State::Held(..)) {
            self.state = State::Idle;
        }
        if self.in_flight || now < self.next_call {
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
            State::Acquiring(lease) => self.acquire(lease),
            State::Held(lease, _) => Call::Renew { lease },
        };
        self.in_flight = true;
        self.sent_at = now;
        Some(call)
    }

    /// Handles the result of the call in flight.
    pub fn on_reply(&mut self, result: Result<Reply, Failure>, options: &Options, now: Time) {
        self.in_flight = false;
        self.next_call = now + options.retry_delay;
        match (self.state, result) {
            (State::Granting, Ok(Reply::Leased { lease, ttl })) => {
                self.expires_at = self.sent_at + ttl;
                self.state = State::Acquiring(lease);
                self.next_call = now;
            }
            (State::Granting, _) | (_, Err(Failure::LeaseLapsed)) => self.state = State::Idle,
            (State::Acquiring(lease), Ok(Reply::Applied { revision })) => {
                self.on_acquired(lease, revision, options, now);
            }
            (State::Acquiring(lease), Ok(Reply::Conflict { current: Some(entry) }))
                if entry.value == self.value(lease) =>
            {
                // An earlier swap succeeded, but its reply was lost.
                self.on_acquired(lease, entry.revision, options, now);
            }
            (State::Acquiring(_), Ok(Reply::Conflict { .. })) => {
                self.next_call = now + options.renew_interval;
            }
            (State::Held(..), Ok(Reply::Leased { ttl, .. })) => {
                self.expires_at = self.sent_at + ttl;
                self.next_call = now + options.renew_interval;
            }
            // A call with an unknown result is repeated, and the lease does not count as renewed.
            _ => {}
        }
    }

    /// Latest time of the next call of [`poll`](Self::poll); [`Time::NEVER`] while a call is in flight.
    pub fn deadline(&self) -> Time {
        if self.in_flight {
            Time::NEVER
        } else {
            self.next_call
        }
    }

    fn on_acquired(&mut self, lease: Lease, revision: u64, options: &Options, now: Time) {
        self.state = State::Held(lease, FencingNumber(revision));
        self.next_call = now + options.renew_interval;
        log::info!("order: lease acquired; orders are sent under fencing number {revision}");
    }

    fn acquire(&self, lease: Lease) -> Call {
        Call::Swap {
            key: Bytes::from_static(KEY.as_bytes()),
            expect: Expect::Absent,
            value: self.value(lease),
            lease: Some(lease),
        }
    }

    /// Value of [`KEY`]. It contains the lease, by which the instance recognizes its own swap.
    fn value(&self, lease: Lease) -> Bytes {
        let mut value = self.instance.to_vec();
        value.extend_from_slice(format!(" {}", lease.0).as_bytes());
        Bytes::from(value)
    }
}
