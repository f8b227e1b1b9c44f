//! Stand-in for the platform's instance list: `GET /instances`.
//!
//! The response is `{"instances": [{"name", "address", "domain", "region", "state"}]}`, where the state is
//! `live` or `leaving`. Changes become visible after a configurable lag.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use tiny_http::Request;

use crate::{
    Error, LOOPBACK,
    host::{self, HttpServer},
    lock,
};

carob_base::plain! {
    /// Lifecycle state of an instance.
    pub enum State {
        /// In service; written as `live`.
        Live,
        /// About to stop; written as `leaving`.
        Leaving,
    }
}

carob_base::value! {
    /// Entry of the list.
    pub struct Instance {
        /// Name, unique within the list.
        pub name: String,
        /// Address at which other instances reach this one.
        pub address: SocketAddr,
        /// Name of the failure domain.
        pub domain: String,
        /// Name of the region.
        pub region: String,
        /// Lifecycle state.
        pub state: State,
    }

    /// Settings of the list.
    pub struct Options {
        /// Address to listen on. By default, a free port of the loopback interface chosen by the system.
        pub address: SocketAddr,
        /// Time until a change becomes visible. Zero by default.
        pub lag: Duration,
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            address: LOOPBACK,
            lag: Duration::ZERO,
        }
    }
}

#[derive(Default)]
struct Shared {
    /// Every version of the list with the time of its change, oldest first.
    versions: Mutex<Vec<(Instant, Vec<Instance>)>>,
    lag: Mutex<Duration>,
    outage: Mutex<bool>,
}

/// Running instance list. Dropping it without [`close`](Self::close) leaves its threads running.
pub struct List {
    server: HttpServer,
    shared: Arc<Shared>,
}

impl List {
    /// Starts with an empty list.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the address cannot be listened on.
    pub fn start(options: &Options) -> Result<Self, Error> {
        let shared = Arc::new(Shared::default());
        *lock(&shared.lag) = options.lag;
        let handler_shared = Arc::clone(&shared);
        let server = HttpServer::start(options.address, move |request| handle(&handler_shared, request))?;
        Ok(Self { server, shared })
    }

    /// Returns the address that the list listens on.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Adds an instance, or replaces the one of the same name.
    pub fn upsert(&self, instance: Instance) {
        self.change(|instances| {
            instances.retain(|present| present.name != instance.name);
            instances.push(instance);
        });
    }

    /// Removes the instance `name`, if it is present.
    pub fn remove(&self, name: &str) {
        self.change(|instances| instances.retain(|present| present.name != name));
    }

    /// Sets the time until a change becomes visible; applies to past changes too.
    pub fn set_lag(&self, lag: Duration) {
        *lock(&self.shared.lag) = lag;
    }

    /// Starts or ends an outage, in which every request gets status 503.
    pub fn set_outage(&self, outage: bool) {
        *lock(&self.shared.outage) = outage;
    }

    /// Stops listening.
    pub fn close(self) {
        self.server.close();
    }

    /// Appends a version of the list in which `change` is applied to the latest one.
    fn change(&self, change: impl FnOnce(&mut Vec<Instance>)) {
        let mut versions = lock(&self.shared.versions);
        let mut instances = versions.last().map(|(_, last)| last.clone()).unwrap_or_default();
        change(&mut instances);
        instances.sort_by(|a, b| a.name.cmp(&b.name));
        versions.push((Instant::now(), instances));
    }
}

impl std::fmt::Debug for List {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("List")
            .field("address", &self.address())
            .finish_non_exhaustive()
    }
}

fn handle(shared: &Shared, request: Request) {
    if *lock(&shared.outage) {
        return host::respond_json(request, 503, &json!({ "error": "unavailable" }));
    }
    if request.url() != "/instances" {
        return host::respond_json(request, 404, &json!({ "error": "not found" }));
    }
    let lag = *lock(&shared.lag);
    let versions = lock(&shared.versions);
    let visible = versions
        .iter()
        .rev()
        .find(|(changed, _)| changed.elapsed() >= lag);
    let instances: Vec<Value> = visible
        .map_or(&[][..], |(_, list)| list)
        .iter()
        .map(to_json)
        .collect();
    drop(versions);
    host::respond_json(request, 200, &json!({ "instances": instances }));
}

fn to_json(instance: &Instance) -> Value {
    let state = match instance.state {
        State::Live => "live",
        State::Leaving => "leaving",
    };
    json!({
        "name": instance.name,
        "address": instance.address.to_string(),
        "domain": instance.domain,
        "region": instance.region,
        "state": state,
    })
}
