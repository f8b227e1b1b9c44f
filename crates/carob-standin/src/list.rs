//! Stand-in for the platform's instance list: `GET /instances`.
//!
//! The answer is `{"instances": [{"name", "address", "domain", "region", "state"}]}` with the state `live` or
//! `leaving`. Changes show after a settable lag.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use tiny_http::Request;

use crate::{
    Error, LOOPBACK,
    host::{self, Host},
    lock,
};

carob_base::plain! {
    /// State of an instance.
    pub enum State {
        /// In service.
        Live,
        /// About to stop.
        Leaving,
    }
}

carob_base::value! {
    /// One instance.
    pub struct Instance {
        /// Unique name.
        pub name: String,
        /// Address for peers.
        pub address: SocketAddr,
        /// Failure domain.
        pub domain: String,
        /// Region.
        pub region: String,
        /// State.
        pub state: State,
    }

    /// How the list behaves.
    pub struct Options {
        /// Address to listen on; any free port of the loopback interface by default.
        pub address: SocketAddr,
        /// Time after which a change shows; none by default.
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
    /// Every version of the list with the time of its change, the latest last.
    versions: Mutex<Vec<(Instant, Vec<Instance>)>>,
    lag: Mutex<Duration>,
    outage: Mutex<bool>,
}

/// The running list.
pub struct List {
    host: Host,
    shared: Arc<Shared>,
}

impl List {
    /// Starts an empty list.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if no port can be listened on.
    pub fn start(options: &Options) -> Result<Self, Error> {
        let shared = Arc::new(Shared::default());
        *lock(&shared.lag) = options.lag;
        let served = Arc::clone(&shared);
        let host = Host::start(options.address, move |request| answer(&served, request))?;
        Ok(Self { host, shared })
    }

    /// Where the list answers.
    pub const fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Adds an instance, or replaces the one of the same name.
    pub fn upsert(&self, instance: Instance) {
        self.change(|instances| {
            instances.retain(|present| present.name != instance.name);
            instances.push(instance);
        });
    }

    /// Removes an instance.
    pub fn remove(&self, name: &str) {
        self.change(|instances| instances.retain(|present| present.name != name));
    }

    /// Sets the time after which a change shows.
    pub fn set_lag(&self, lag: Duration) {
        *lock(&self.shared.lag) = lag;
    }

    /// Makes the list answer with status 503, or answer again.
    pub fn set_outage(&self, outage: bool) {
        *lock(&self.shared.outage) = outage;
    }

    /// Stops the list.
    pub fn close(self) {
        self.host.close();
    }

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

fn answer(shared: &Shared, request: Request) {
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
        .map(render)
        .collect();
    drop(versions);
    host::respond_json(request, 200, &json!({ "instances": instances }));
}

fn render(instance: &Instance) -> Value {
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
