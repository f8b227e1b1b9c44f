//! Stand-in for the key-value store: a part of etcd v3 by its JSON gateway.
//!
//! Served are `/v3/kv/range`, `put`, `txn` and `deleterange`, `/v3/lease/grant`, `keepalive`, `revoke` and
//! `timetolive`, and `/v3/watch`. As at the gateway, keys and values travel in base64, 64-bit numbers as strings,
//! and fields at their default are left out.

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
    host::{self, Host},
    lock,
};

mod data;
mod gateway;
mod watch;

use data::Data;

carob_base::value! {
    /// How the store behaves.
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

/// What the threads of the store share.
struct Shared {
    state: Mutex<State>,
    /// Told of every change and of the store's end.
    changed: Condvar,
}

#[derive(Default)]
struct State {
    data: Data,
    counts: BTreeMap<&'static str, u64>,
    delay: Duration,
    /// Changes that are still to be carried out without a reply.
    lost: u32,
    outage: bool,
    closed: bool,
    /// How often the open watches were silenced.
    silenced: u64,
}

/// The running store.
pub struct Store {
    host: Host,
    shared: Arc<Shared>,
}

impl Store {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if no port can be listened on.
    pub fn start(options: &Options) -> Result<Self, Error> {
        let state = State {
            delay: options.delay,
            ..State::default()
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let served = Arc::clone(&shared);
        let host = Host::start(options.address, move |request| answer(&served, request))?;
        Ok(Self { host, shared })
    }

    /// Where the store answers.
    pub const fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Calls so far, by the last part of their path. Each open watch counts as one `watch`.
    pub fn call_counts(&self) -> BTreeMap<&'static str, u64> {
        lock(&self.shared.state).counts.clone()
    }

    /// Refuses calls with status 503 and ends watches, or serves again.
    pub fn set_outage(&self, outage: bool) {
        lock(&self.shared.state).outage = outage;
        self.shared.changed.notify_all();
    }

    /// Silences the watches that are open now for good, while their connections stay.
    pub fn stall_watches(&self) {
        lock(&self.shared.state).silenced += 1;
    }

    /// Carries out the next `count` changes and drops their connections without a reply.
    pub fn drop_replies(&self, count: u32) {
        lock(&self.shared.state).lost = count;
    }

    /// Sets the time that every call takes.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.shared.state).delay = delay;
    }

    /// Ends every lease at once, with its keys.
    pub fn expire_leases(&self) {
        lock(&self.shared.state).data.expire_all();
        self.shared.changed.notify_all();
    }

    /// Every key with its value.
    pub fn entries(&self) -> Vec<(Vec<u8>, Vec<u8>)> {
        lock(&self.shared.state).data.entries()
    }

    /// Stops the store.
    pub fn close(self) {
        lock(&self.shared.state).closed = true;
        self.shared.changed.notify_all();
        self.host.close();
    }
}

impl std::fmt::Debug for Store {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Store")
            .field("address", &self.address())
            .finish_non_exhaustive()
    }
}

fn answer(shared: &Shared, mut request: Request) {
    let body = host::body(&mut request);
    let Some(call) = gateway::call_of(request.url()) else {
        return host::respond_json(request, 404, &json!({ "error": "not found", "code": 5 }));
    };
    let delay = {
        let mut state = lock(&shared.state);
        *state.counts.entry(call.name()).or_default() += 1;
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
    let (result, lost) = {
        let mut state = lock(&shared.state);
        let before = state.data.revision();
        let result = gateway::run(&mut state.data, call, &body);
        let lost = state.lost > 0 && (state.data.revision() > before || call == gateway::Call::Grant);
        state.lost -= u32::from(lost);
        (result, lost)
    };
    shared.changed.notify_all();
    if lost {
        return host::drop_reply(request);
    }
    match result {
        Ok(reply) => host::respond_json(request, 200, &reply),
        Err(refusal) => host::respond_json(request, refusal.status, &refusal.to_json()),
    }
}
