//! Stand-in for the key-value store: a subset of the etcd v3 API, served as etcd's JSON gateway does.
//!
//! It serves `/v3/kv/range`, `put`, `txn` and `deleterange`, `/v3/lease/grant`, `keepalive`, `revoke` and
//! `timetolive`, and `/v3/watch`. As with the gateway, keys and values are encoded in base64 and 64-bit
//! integers as strings, and fields with their default value are omitted.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::Duration,
};

use serde_json::json;
use tiny_http::Request;

use crate::{
    Error, LOOPBACK,
    host::{self, HttpServer},
    lock,
};

mod data;
mod gateway;
mod watch;

use data::Data;

carob_base::value! {
    /// Settings of the store.
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

/// State shared by the store's threads.
struct Shared {
    state: Mutex<State>,
    /// Notified after every call, when leases expire, when an outage starts or ends, and when the store is
    /// closed.
    changed: Condvar,
}

#[derive(Default)]
struct State {
    data: Data,
    call_counts: BTreeMap<&'static str, u64>,
    delay: Duration,
    /// Number of upcoming changes that are carried out without a reply.
    pending_drops: u32,
    outage: bool,
    closed: bool,
    /// Number of times that the open watches were stalled; a watch compares it with the value at its start.
    stall_count: u64,
}

/// Running store. Dropping it without [`close`](Self::close) leaves its threads running.
pub struct Store {
    server: HttpServer,
    shared: Arc<Shared>,
}

impl Store {
    /// Starts with an empty store at revision 1.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the address cannot be listened on.
    pub fn start(options: &Options) -> Result<Self, Error> {
        let state = State {
            delay: options.delay,
            ..State::default()
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let handler_shared = Arc::clone(&shared);
        let server = HttpServer::start(options.address, move |request| handle(&handler_shared, request))?;
        Ok(Self { server, shared })
    }

    /// Returns the address that the store listens on.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the number of calls so far by the last segment of their path. Each watch that was opened
    /// counts as one `watch`.
    pub fn call_counts(&self) -> BTreeMap<&'static str, u64> {
        lock(&self.shared.state).call_counts.clone()
    }

    /// Starts or ends an outage, in which calls get status 503 and open watches are ended.
    pub fn set_outage(&self, outage: bool) {
        lock(&self.shared.state).outage = outage;
        self.shared.changed.notify_all();
    }

    /// Stalls the watches that are open now: they get no more events, but their connections stay open.
    pub fn stall_watches(&self) {
        lock(&self.shared.state).stall_count += 1;
    }

    /// Makes the store carry out the next `count` changes, but close their connections without a reply.
    ///
    /// Only calls that advance the revision or grant a lease count.
    pub fn drop_replies(&self, count: u32) {
        lock(&self.shared.state).pending_drops = count;
    }

    /// Sets the delay before each call is handled.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.shared.state).delay = delay;
    }

    /// Expires every lease immediately, which deletes its keys.
    pub fn expire_leases(&self) {
        lock(&self.shared.state).data.expire_all();
        self.shared.changed.notify_all();
    }

    /// Returns every key with its value, in the order of the keys.
    pub fn entries(&self) -> Vec<(Vec<u8>, Vec<u8>)> {
        lock(&self.shared.state).data.entries()
    }

    /// Ends all watches and stops listening.
    pub fn close(self) {
        lock(&self.shared.state).closed = true;
        self.shared.changed.notify_all();
        self.server.close();
    }
}

impl std::fmt::Debug for Store {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Store")
            .field("address", &self.address())
            .finish_non_exhaustive()
    }
}

fn handle(shared: &Shared, mut request: Request) {
    let body = host::body(&mut request);
    let Some(call) = gateway::call_for_path(request.url()) else {
        return host::respond_json(request, 404, &json!({ "error": "not found", "code": 5 }));
    };
    let delay = {
        let mut state = lock(&shared.state);
        *state.call_counts.entry(call.name()).or_default() += 1;
        state.delay
    };
    thread::sleep(delay);
    if lock(&shared.state).outage {
        let error =
            json!({ "error": "etcdserver: no leader", "message": "etcdserver: no leader", "code": 14 });
        return host::respond_json(request, 503, &error);
    }
    let Ok(body) = serde_json::from_slice(&body) else {
        return host::respond_json(request, 400, &json!({ "error": "not JSON", "code": 3 }));
    };
    if call == gateway::Call::Watch {
        return watch::serve(shared, request, &body);
    }
    let (result, drops_reply) = {
        let mut state = lock(&shared.state);
        let before = state.data.revision();
        let result = gateway::execute(&mut state.data, call, &body);
        let drops_reply =
            state.pending_drops > 0 && (state.data.revision() > before || call == gateway::Call::Grant);
        state.pending_drops -= u32::from(drops_reply);
        (result, drops_reply)
    };
    shared.changed.notify_all();
    if drops_reply {
        return host::drop_reply(request);
    }
    match result {
        Ok(reply) => host::respond_json(request, 200, &reply),
        Err(error) => host::respond_json(request, error.status, &error.to_json()),
    }
}
