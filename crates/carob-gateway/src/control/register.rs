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
use crate::socket;

/// Duration of the lease, after which the registration of an instance that has gone is removed.
const LEASE_TTL: Duration = Duration::from_secs(10);

/// Renewals within the duration of the lease, so that a single one may fail.
const RENEWALS_PER_TTL: u32 = 3;

/// Time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Mean pause before a new registration; multiplied by a random factor between 0.5 and 1.5.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Keeps this instance registered for as long as the process runs.
pub(super) async fn run(control: Rc<Control>) {
    loop {
        match register(&control).await {
            Ok(lease) => {
                log::info!(lease = lease.id; "registered in the store");
                let error = renew_until_lost(&control, lease).await;
                log::warn!(error:% = error, lease = lease.id; "registration lost");
            }
            Err(error) => log::debug!(error:% = error; "not registered"),
        }
        tokio::time::sleep(RETRY_PAUSE.mul_f64(0.5 + rand::random::<f64>())).await;
    }
}

/// Obtains a lease and writes this instance's address under it.
async fn register(control: &Control) -> Result<Lease, Error> {
    let response = call(control, store::grant(LEASE_TTL)).await?;
    let lease = store::decode_lease(response.status(), response.body()).map_err(Error::Refused)?;
    let settings = control.settings();
    let key = format!("{INSTANCE_PREFIX}{}", settings.name);
    let address = settings.peer_address.to_string();
    let response = call(control, store::put(&key, address.as_bytes(), lease.id)).await?;
    store::check_success(response.status(), response.body()).map_err(Error::Refused)?;
    Ok(lease)
}

/// Renews the lease until it is lost; returns the reason.
async fn renew_until_lost(control: &Control, lease: Lease) -> Error {
    let mut renewed = Instant::now();
    loop {
        tokio::time::sleep(lease.ttl / RENEWALS_PER_TTL).await;
        let outcome = match call(control, store::renew(lease.id)).await {
            Ok(response) => store::check_success(response.status(), response.body()).map_err(Error::Refused),
            Err(error) => Err(error),
        };
        match outcome {
            Ok(()) => renewed = Instant::now(),
            Err(Error::Refused(Refusal::Missing)) => return Error::Refused(Refusal::Missing),
            Err(error) if renewed.elapsed() >= lease.ttl => return error,
            Err(error) => log::debug!(error:% = error; "lease not renewed"),
        }
    }
}

async fn call(control: &Control, request: Request<Bytes>) -> Result<Response<Bytes>, Error> {
    metrics::counter!("carobhaven_store_calls_total", "call" => "lease").increment(1);
    let response = socket::call(control.store_address(), request, Instant::now() + CALL_TIMEOUT).await?;
    control.judge_answer(response.headers(), "lease");
    Ok(response)
}
