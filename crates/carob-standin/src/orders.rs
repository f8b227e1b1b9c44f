//! Stand-in for an ordering service.
//!
//! `POST /orders` is deliberately not idempotent: each call books an order, so that a call that was sent
//! twice appears as two bookings. `GET /stock` is idempotent. Any other request gets status 404.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use serde_json::json;
use tiny_http::{Method, Request};

use crate::{
    Error, LOOPBACK,
    host::{self, HttpServer},
    lock,
};

carob_base::value! {
    /// A booked order.
    pub struct Booking {
        /// Position among the bookings, starting at 1.
        pub number: usize,
        /// Value of the request's `Idempotency-Key` header, if present. The service records but does not use
        /// it.
        pub idempotency_key: Option<String>,
        /// Request body.
        pub body: Vec<u8>,
    }

    /// Settings of the service.
    pub struct Options {
        /// Address to listen on. By default, a free port of the loopback interface chosen by the system.
        pub address: SocketAddr,
        /// Delay before each call is handled. Zero by default.
        pub delay: Duration,
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            address: LOOPBACK,
            delay: Duration::ZERO,
        }
    }
}

#[derive(Default)]
struct Shared {
    bookings: Mutex<Vec<Booking>>,
    faults: Mutex<Faults>,
}

#[derive(Default)]
struct Faults {
    delay: Duration,
    /// Number of upcoming calls that are carried out without a reply.
    pending_drops: u32,
    /// Calls get status 503 and are not carried out.
    refusing: bool,
    /// Number of `/stock` calls so far.
    lookups: usize,
}

/// Running ordering service. Dropping it without [`close`](Self::close) leaves its threads running.
pub struct Orders {
    address: SocketAddr,
    server: Mutex<Option<HttpServer>>,
    shared: Arc<Shared>,
}

impl Orders {
    /// Starts the service without any bookings.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the address cannot be listened on.
    pub fn start(options: &Options) -> Result<Self, Error> {
        let shared = Arc::new(Shared::default());
        lock(&shared.faults).delay = options.delay;
        let server = serve(options.address, &shared)?;
        Ok(Self {
            address: server.address(),
            server: Mutex::new(Some(server)),
            shared,
        })
    }

    /// Returns the address that the service listens on; the same after a restart.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns all bookings in the order in which they were made.
    pub fn bookings(&self) -> Vec<Booking> {
        lock(&self.shared.bookings).clone()
    }

    /// Returns the number of `/stock` calls so far.
    pub fn lookups(&self) -> usize {
        lock(&self.shared.faults).lookups
    }

    /// Sets the delay before each call is handled.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.shared.faults).delay = delay;
    }

    /// Makes the service carry out the next `count` calls, but close their connections without a reply.
    pub fn drop_replies(&self, count: u32) {
        lock(&self.shared.faults).pending_drops = count;
    }

    /// Makes the service refuse calls with status 503 without carrying them out, or accept them again.
    pub fn set_refusing(&self, refusing: bool) {
        lock(&self.shared.faults).refusing = refusing;
    }

    /// Stops listening, so that connections are refused. Bookings are kept.
    pub fn stop(&self) {
        let server = lock(&self.server).take();
        if let Some(server) = server {
            server.close();
        }
    }

    /// Listens again on the same address.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the port is in use by another process.
    pub fn restart(&self) -> Result<(), Error> {
        self.stop();
        *lock(&self.server) = Some(serve(self.address, &self.shared)?);
        Ok(())
    }

    /// Stops listening, and discards the bookings.
    pub fn close(self) {
        self.stop();
    }
}

impl std::fmt::Debug for Orders {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Orders")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

fn serve(address: SocketAddr, shared: &Arc<Shared>) -> Result<HttpServer, Error> {
    let shared = Arc::clone(shared);
    HttpServer::start(address, move |request| handle(&shared, request))
}

fn handle(shared: &Shared, mut request: Request) {
    let delay = lock(&shared.faults).delay;
    thread::sleep(delay);
    if lock(&shared.faults).refusing {
        return host::respond_json(request, 503, &json!({ "error": "refusing" }));
    }
    let path = request.url().split('?').next().unwrap_or_default().to_owned();
    let (status, reply) = match (request.method(), path.as_str()) {
        (Method::Post, "/orders") => (201, book(shared, &mut request)),
        (Method::Get, "/stock") => {
            lock(&shared.faults).lookups += 1;
            (200, json!({ "item": "beeswax taper", "available": 1200 }))
        }
        _ => (404, json!({ "error": "not found" })),
    };
    if take_pending_drop(shared) {
        return host::drop_reply(request);
    }
    host::respond_json(request, status, &reply);
}

fn book(shared: &Shared, request: &mut Request) -> serde_json::Value {
    let body = host::body(request);
    let idempotency_key = host::header(request, carob_wire::header::IDEMPOTENCY_KEY);
    let mut bookings = lock(&shared.bookings);
    let number = bookings.len() + 1;
    bookings.push(Booking {
        number,
        idempotency_key,
        body,
    });
    json!({ "order": number })
}

/// Returns whether the reply of this call is dropped, and counts it against the pending drops.
fn take_pending_drop(shared: &Shared) -> bool {
    let mut faults = lock(&shared.faults);
    let drops_reply = faults.pending_drops > 0;
    faults.pending_drops = faults.pending_drops.saturating_sub(1);
    drops_reply
}
