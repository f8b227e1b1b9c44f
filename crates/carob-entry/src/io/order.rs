//! Calls to engines: sending orders, and reading which model an engine has loaded.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use carob_base::Name;
use carob_http::client::{self, PendingResponse};
use carob_order::{Observed, Order, Outcome, OutgoingOrder};
use carob_wire::header;
use flume::Receiver;
use serde_json::{Value, json};

use crate::{
    control::{Event, orders},
    shared::Shared,
};

/// Path at every engine for sending orders and for reading what it has loaded.
const PATH: &str = "/orders";
/// Time limit of a request for what an engine has loaded.
const OBSERVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of the response that says what an engine has loaded, in bytes.
const MAX_STATE_BYTES: usize = 64 << 10;
/// HTTP status with which an engine refuses an old fencing number.
const STALE_FENCING_STATUS: u16 = 409;

/// Work for the thread that calls engines.
#[derive(Debug)]
pub enum Job {
    /// Ask these engines what they have loaded.
    Observe(Vec<(Name, SocketAddr)>),
    /// Send an order.
    Send {
        /// The order with its fencing number.
        order: Box<OutgoingOrder>,
        /// Where the engine accepts orders.
        address: SocketAddr,
    },
}

/// Performs jobs one after another until the channel is closed.
pub fn run(shared: &Arc<Shared>, jobs: &Receiver<Job>) {
    for job in jobs {
        match job {
            Job::Observe(engines) => observe(shared, engines),
            Job::Send { order, address } => {
                let outcome = send(shared, &order, address);
                shared.send_event(Event::Order(orders::Event::Sent { order, outcome }));
            }
        }
    }
}

/// Asks all engines in parallel. One that does not answer is not observed, and therefore gets no orders.
fn observe(shared: &Shared, engines: Vec<(Name, SocketAddr)>) {
    let start = |(name, address): (Name, SocketAddr)| {
        let request = client::Request::get(address, PATH).with_deadline(OBSERVE_TIMEOUT);
        (name, client::start(&request))
    };
    let requests: Vec<(Name, PendingResponse)> = engines.into_iter().map(start).collect();
    for (upstream, pending) in requests {
        if let Some(state) = read(pending) {
            let model = state["model"].as_str().map(str::to_owned);
            let observed = Observed { upstream, model };
            shared.send_event(Event::Order(orders::Event::Observed(observed)));
        }
    }
}

fn read(pending: PendingResponse) -> Option<Value> {
    let response = pending.into_response(OBSERVE_TIMEOUT, MAX_STATE_BYTES).ok()?;
    serde_json::from_slice(&response.body)
        .ok()
        .filter(|_| response.status == 200)
}

/// Sends one order, if the control thread confirms that the lease for sending orders still lasts long enough.
fn send(shared: &Shared, order: &OutgoingOrder, address: SocketAddr) -> Outcome {
    let request = client::Request::post(address, PATH, body_of(&order.order))
        .with_header("content-type", "application/json")
        .with_header(header::FENCING, order.fencing_number.0.to_string())
        .with_deadline(carob_order::Options::new().send_timeout);
    // The event asks the control thread for permission; its answer arrives through `reply`.
    let (reply, permission) = flume::bounded(1);
    let fencing_number = order.fencing_number;
    shared.send_event(Event::Order(orders::Event::MaySend {
        fencing_number,
        reply,
    }));
    if !permission.recv().unwrap_or(false) {
        return Outcome::NotSent;
    }
    match client::call(&request) {
        Ok(response) if response.status < 300 => Outcome::Accepted,
        Ok(response) if response.status == STALE_FENCING_STATUS => Outcome::OldFence,
        Ok(response) if response.status < 500 => Outcome::Refused,
        Ok(_) | Err(client::Error::Unknown(_)) => Outcome::Unknown,
        Err(client::Error::Refused(_) | client::Error::NotSent(_)) => Outcome::NotSent,
    }
}

fn body_of(order: &Order) -> String {
    let value = match order {
        Order::LoadModel(model) => json!({ "order": "load", "model": model }),
        Order::LoadAdapter(adapter) => json!({ "order": "load", "adapter": adapter }),
        Order::ChangeRole(role) => json!({ "order": "role", "role": role }),
    };
    value.to_string()
}
