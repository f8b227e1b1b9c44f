//! Makes this instance known to others in the store, under a lease.

use std::{rc::Rc, time::Duration};

use carob_platform::store::{self, Lease, Refusal};
use tokio::time::Instant;

use super::{
    follow::Error,
    state::{Control, INSTANCES},
};
use crate::socket;

/// Life of the lease: instances that are gone drop out of the list after it.
const LIFE: Duration = Duration::from_secs(10);

/// Renewals in one life of the lease, so that one may fail.
const RENEWALS: u32 = 3;

/// Time for a call.
const CALL: Duration = Duration::from_millis(1_500);

/// Pause after a failure.
const PAUSE: Duration = Duration::from_secs(1);

/// Keeps this instance in the list for as long as the process runs.
pub(super) async fn run(control: Rc<Control>) {
    loop {
        match register(&control).await {
            Ok(lease) => {
                log::info!(lease = lease.number; "registered in the store");
                let error = keep(&control, lease).await;
                log::warn!(error:% = error, lease = lease.number; "registration lost");
            }
            Err(error) => log::debug!(error:% = error; "not registered"),
        }
        tokio::time::sleep(PAUSE.mul_f64(0.5 + rand::random::<f64>())).await;
    }
}

async fn register(control: &Control) -> Result<Lease, Error> {
    let (status, body) = call(control, store::grant(LIFE)).await?;
    let lease = store::lease(status, &body).map_err(Error::Refused)?;
    let settings = control.settings();
    let key = format!("{INSTANCES}{}", settings.name);
    let address = settings.peer_address.to_string();
    let (status, body) = call(control, store::put(&key, address.as_bytes(), lease.number)).await?;
    store::done(status, &body).map_err(Error::Refused)?;
    Ok(lease)
}

/// Renews the lease until it has ended; says why it has.
async fn keep(control: &Control, lease: Lease) -> Error {
    let mut renewed = Instant::now();
    loop {
        tokio::time::sleep(lease.life / RENEWALS).await;
        let outcome = match call(control, store::renew(lease.number)).await {
            Ok((status, body)) => store::done(status, &body).map_err(Error::Refused),
            Err(error) => Err(error),
        };
        match outcome {
            Ok(()) => renewed = Instant::now(),
            Err(Error::Refused(Refusal::Missing)) => return Error::Refused(Refusal::Missing),
            Err(error) if renewed.elapsed() >= lease.life => return error,
            Err(error) => log::debug!(error:% = error; "lease not renewed"),
        }
    }
}

async fn call(
    control: &Control,
    request: hyper::Request<bytes::Bytes>,
) -> Result<(hyper::StatusCode, bytes::Bytes), Error> {
    metrics::counter!("carobhaven_store_calls_total", "call" => "lease").increment(1);
    Ok(socket::call(control.store(), request, Instant::now() + CALL).await?)
}
