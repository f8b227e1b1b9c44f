//! Registers this instance's address in the store under a lease, where the other instances find it.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use carob_platform::store::{self, Lease, Refusal};
use hyper::{Request, Response};
use tokio::time::Instant;

use super::{
    follow::Error,
    state::{Control, INSTANCE_PREFIX},
};
use crate::{
    era::AnswerEra,
    socket::{self, MAX_CONTROL_BYTES},
};

/// Duration of the lease, after which the registration of an instance that has gone is removed.
pub(super) const LEASE_TTL: Duration = Duration::from_secs(10);

/// Renewals within the duration of the lease, so that a single one may fail.
const RENEWALS_PER_TTL: u32 = 3;

/// Time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How often it is checked whether a store that is away answers an instance again, and for how long before this one asks it
/// itself.
const AWAY_INTERVAL: Duration = Duration::from_millis(200);
const MAX_AWAY: Duration = LEASE_TTL;

/// Mean pause before a new registration; multiplied by a random factor between 0.5 and 1.5.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Mean time between the registrations of two instances after the store has come back from a copy. Each makes two writes,
/// and a store takes 400 a second from all instances.
const ERA_INTERVAL: Duration = Duration::from_millis(5);

/// A lease, and the era of the store that it belongs to.
#[derive(Clone, Copy)]
struct EraLease {
    lease: Lease,
    era: u64,
}

/// Keeps this instance registered for as long as the process runs.
pub(super) async fn run(control: Rc<Control>) {
    loop {
        let mut pause = RETRY_PAUSE.mul_f64(0.5 + rand::random::<f64>());
        match register(&control).await {
            Ok(held) => {
                log::info!(lease = held.lease.id, era = held.era; "registered in the store");
                let error = renew_until_lost(&control, held).await;
                log::warn!(error:% = error, lease = held.lease.id, era = held.era; "registration lost");
                if matches!(error, Error::OtherEra { .. }) {
                    pause = (ERA_INTERVAL * control.instance_count()).mul_f64(rand::random::<f64>());
                }
            }
            Err(error) => log::debug!(error:% = error; "not registered"),
        }
        tokio::time::sleep(pause).await;
        await_store(&control).await;
    }
}

/// Waits while the store answers neither this instance nor one that watches it. Those that waited go on one after the other.
async fn await_store(control: &Control) {
    let until = Instant::now() + MAX_AWAY;
    let mut has_waited = false;
    while control.is_uninformed() && Instant::now() < until {
        has_waited = true;
        tokio::time::sleep(AWAY_INTERVAL).await;
    }
    if has_waited {
        let spread = ERA_INTERVAL * control.instance_count();
        tokio::time::sleep(spread.mul_f64(rand::random())).await;
    }
}

/// Obtains a lease and writes this instance's address under it.
async fn register(control: &Control) -> Result<EraLease, Error> {
    let (response, expected) = call(control, store::grant(LEASE_TTL)).await?;
    let lease = store::decode_lease(response.status(), response.body()).map_err(Error::Refused)?;
    let settings = control.settings();
    let key = format!("{INSTANCE_PREFIX}{}", settings.name);
    let address = settings.peer_address.to_string();
    let (response, found) = call(control, store::put(&key, address.as_bytes(), lease.id)).await?;
    store::check_success(response.status(), response.body()).map_err(Error::Refused)?;
    if found != expected {
        return Err(Error::OtherEra { expected, found });
    }
    Ok(EraLease { lease, era: found })
}

/// Renews the lease until it is lost; returns the reason. In a later era it is lost, although another instance may have
/// been given one with its number, which is renewed.
async fn renew_until_lost(control: &Control, EraLease { lease, era }: EraLease) -> Error {
    let mut renewed = Instant::now();
    let mut due = renewed + lease.ttl / RENEWALS_PER_TTL;
    loop {
        let is_due = tokio::time::timeout_at(due, control.era_followed.notified())
            .await
            .is_err();
        let found = control.followed_era();
        if found > era {
            return Error::OtherEra { expected: era, found };
        }
        if !is_due {
            continue;
        }
        due += lease.ttl / RENEWALS_PER_TTL;
        let outcome = match call(control, store::renew(lease.id)).await {
            Ok((_, found)) if found != era => Err(Error::OtherEra { expected: era, found }),
            Ok((response, _)) => {
                store::check_success(response.status(), response.body()).map_err(Error::Refused)
            }
            Err(error) => Err(error),
        };
        match outcome {
            Ok(()) => renewed = Instant::now(),
            Err(Error::OtherEra { expected, found }) if found > expected => {
                return Error::OtherEra { expected, found };
            }
            Err(Error::Refused(Refusal::Missing)) => return Error::Refused(Refusal::Missing),
            Err(error) if renewed.elapsed() >= lease.ttl => return error,
            Err(error) => {
                log::debug!(error:% = error; "lease not renewed");
                await_store(control).await;
                due = due.min(Instant::now() + RETRY_PAUSE.mul_f64(rand::random()));
            }
        }
    }
}

/// Makes a call; returns the answer and its era.
async fn call(control: &Control, request: Request<Bytes>) -> Result<(Response<Bytes>, u64), Error> {
    metrics::counter!("carobhaven_store_calls_total", "call" => "lease").increment(1);
    let followed = control.followed_era();
    let deadline = Instant::now() + CALL_TIMEOUT;
    let response = socket::call(control.store_address(), request, MAX_CONTROL_BYTES, deadline).await?;
    let era = match control.judge_answer(response.headers(), "lease") {
        AnswerEra::Followed => control.followed_era(),
        AnswerEra::Unnamed => followed,
        AnswerEra::Later(era) | AnswerEra::Earlier(era) => era,
    };
    Ok((response, era))
}
