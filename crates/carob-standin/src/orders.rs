//! Stand-in for a plain ordering service.
//!
//! `POST /orders` books an order each time it is called, so that a repeated call shows as a second booking;
//! `GET /stock` is idempotent. Any other call is answered with status 404.

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
    host::{self, Host},
    lock,
};

carob_base::value! {
    /// One booked order.
    pub struct Booking {
        /// Position among the bookings, counted from 1.
        pub number: usize,
        /// The call's `Idempotency-Key`.
        pub idempotency_key: Option<String>,
        /// The call's body.
        pub body: Vec<u8>,
    }

    /// How the service behaves.
    pub struct Options {
        /// Address to listen on; any free port of the loopback interface by default.
        pub address: SocketAddr,
        /// Time that every call takes; none by default.
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
    /// Calls that are still to be carried out without a reply.
    lost: u32,
    /// Whether calls are refused with status 503.
    refusing: bool,
    /// Calls of `/stock` so far.
    looked: usize,
}

/// The running service.
pub struct Orders {
    address: SocketAddr,
    host: Mutex<Option<Host>>,
    shared: Arc<Shared>,
}

impl Orders {
    /// Starts a service without bookings.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if no port can be listened on.
    pub fn start(options: &Options) -> Result<Self, Error> {
        let shared = Arc::new(Shared::default());
        lock(&shared.faults).delay = options.delay;
        let host = serve(options.address, &shared)?;
        Ok(Self {
            address: host.address(),
            host: Mutex::new(Some(host)),
            shared,
        })
    }

    /// Where the service answers.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Everything that was booked, in order.
    pub fn bookings(&self) -> Vec<Booking> {
        lock(&self.shared.bookings).clone()
    }

    /// How often the stock was looked up.
    pub fn lookups(&self) -> usize {
        lock(&self.shared.faults).looked
    }

    /// Sets the time that every call takes.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.shared.faults).delay = delay;
    }

    /// Carries the next `count` calls out and drops their connections without a reply.
    pub fn drop_replies(&self, count: u32) {
        lock(&self.shared.faults).lost = count;
    }

    /// Refuses calls with status 503, or takes them again.
    pub fn set_refusing(&self, refusing: bool) {
        lock(&self.shared.faults).refusing = refusing;
    }

    /// Refuses connections.
    pub fn stop(&self) {
        let host = lock(&self.host).take();
        if let Some(host) = host {
            host.close();
        }
    }

    /// Takes connections again, under the same address.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the port has been taken by something else.
    pub fn restart(&self) -> Result<(), Error> {
        self.stop();
        *lock(&self.host) = Some(serve(self.address, &self.shared)?);
        Ok(())
    }

    /// Stops the service.
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

fn serve(address: SocketAddr, shared: &Arc<Shared>) -> Result<Host, Error> {
    let shared = Arc::clone(shared);
    Host::start(address, move |request| answer(&shared, request))
}

fn answer(shared: &Shared, mut request: Request) {
    let delay = lock(&shared.faults).delay;
    thread::sleep(delay);
    if lock(&shared.faults).refusing {
        return host::respond_json(request, 503, &json!({ "error": "refusing" }));
    }
    let path = request.url().split('?').next().unwrap_or_default().to_owned();
    let (status, reply) = match (request.method(), path.as_str()) {
        (Method::Post, "/orders") => (201, book(shared, &mut request)),
        (Method::Get, "/stock") => {
            lock(&shared.faults).looked += 1;
            (200, json!({ "item": "beeswax taper", "available": 1200 }))
        }
        _ => (404, json!({ "error": "not found" })),
    };
    if take_lost(shared) {
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

fn take_lost(shared: &Shared) -> bool {
    let mut faults = lock(&shared.faults);
    let lost = faults.lost > 0;
    faults.lost = faults.lost.saturating_sub(1);
    lost
}
