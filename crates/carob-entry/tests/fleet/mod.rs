//! Harness: several entry instances in front of stand-ins, on loopback.

#![allow(dead_code, reason = "each test file uses a part")]

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use carob_base::Name;
use carob_entry::{Instance, Options};
use carob_http::client;
use carob_standin::{Engine, List, Orders, Store, engine, list, orders, store};
use serde_json::Value;

/// Key of the account `one`.
pub const KEY_ONE: &str = "key-of-account-one";
/// SHA-256 of [`KEY_ONE`].
const HASH_ONE: &str = "1e250132777a2ebb8f56b4fef8ec1cb40b5ee33ddd4e682f4933ac2f81179ad3";
/// Key of the account `two`.
pub const KEY_TWO: &str = "key-of-account-two";
/// SHA-256 of [`KEY_TWO`].
const HASH_TWO: &str = "894f7dbfa3a7faabfa1ac3b93b4c8478a31b0f886c5618c827b661b6104bd9a5";
/// The operators' key.
pub const OPERATOR: &str = "operators-key";
/// Time limit of a wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Stand-ins and instances.
pub struct Fleet {
    pub store: Store,
    pub list: List,
    pub engines: Vec<Engine>,
    pub orders: Orders,
    pub instances: Vec<Instance>,
}

impl Fleet {
    /// Stand-ins with `engines` engines, and no instance yet.
    pub fn new(engines: u64) -> Self {
        start_logs();
        let start = |seed| {
            let options = engine::Options {
                seed,
                poison: Some("poison".to_owned()),
                ..engine::Options::default()
            };
            Engine::start(options).expect("the engine starts")
        };
        Self {
            store: Store::start(&store::Options::default()).expect("the store starts"),
            list: List::start(&list::Options::default()).expect("the list starts"),
            engines: (1..=engines).map(start).collect(),
            orders: Orders::start(&orders::Options::default()).expect("the service starts"),
            instances: Vec::new(),
        }
    }

    /// Starts an instance and adds it to the instance list.
    pub fn add(&mut self, at: u64) -> &Instance {
        self.add_with(at, |_| {})
    }

    /// Starts an instance with changed options.
    pub fn add_with(&mut self, at: u64, change: impl FnOnce(&mut Options)) -> &Instance {
        let mut options = Options::new(name(&format!("entry-{at}")), name("west"), name("north"));
        options.store_addresses = vec![self.store.address()];
        options.list_address = Some(self.list.address());
        options.operator_key = Some(Bytes::from_static(OPERATOR.as_bytes()));
        options.answer_key = Bytes::from_static(b"the-answer-key");
        options.peer_key = Bytes::from_static(b"the-peer-key");
        options.leave_delay = Duration::from_millis(50);
        options.poll_interval = Duration::from_millis(100);
        options.seed = at;
        change(&mut options);
        let (domain, region) = (options.domain.to_string(), options.region.to_string());
        let instance = Instance::start(options).expect("the instance starts");
        self.list.upsert(list::Instance {
            name: format!("entry-{at}"),
            address: instance.peer_address(),
            domain,
            region,
            state: list::State::Live,
        });
        self.instances.push(instance);
        self.instances.last().expect("one was added")
    }

    /// A ticket that configures all stand-ins.
    pub fn ticket(&self, number: u64) -> String {
        let mut text = format!(
            "[ticket]\nnumber = {number}\n\n\
             [service drafts]\nkind = generation\nmodel = default\npatience = 10s\n\n\
             [service ordering]\nkind = plain\npatience = 4s\n\n\
             [account one]\nkey-sha256 = {HASH_ONE}\n\n\
             [account two]\nkey-sha256 = {HASH_TWO}\n\n\
             [route drafts]\npath = /v1/responses\nservice = drafts\nidempotent = yes\n\n\
             [route stock]\npath = /stock\nmethods = GET\nservice = ordering\nidempotent = yes\n\n\
             [route orders]\npath = /orders\nmethods = POST\nservice = ordering\nidempotent = no\n"
        );
        for (at, engine) in self.engines.iter().enumerate() {
            let rest = "memory = 16384\nslots = 16\n";
            text += &upstream(&format!("engine-{at}"), "drafts", engine.address(), rest);
        }
        text += &upstream("orders-1", "ordering", self.orders.address(), "slots = 16\n");
        text
    }

    /// Submits the ticket at the first instance and waits until it is in force at every instance.
    pub fn configure(&self) {
        let (status, body) = self.submit(0, &self.ticket(1));
        assert_eq!(status, 200, "{body}");
        for at in 0..self.instances.len() {
            self.wait_revision(at, 1);
        }
    }

    /// Submits a ticket at an instance; returns the status and the body of the response.
    pub fn submit(&self, at: usize, text: &str) -> (u16, Value) {
        let request = client::Request::post(self.instances[at].admin_address(), "/tickets", text.to_owned())
            .with_header("Authorization", format!("Bearer {OPERATOR}"));
        let response = client::call(&request).expect("the instance answers operators");
        (
            response.status,
            serde_json::from_slice(&response.body).expect("JSON"),
        )
    }

    /// Waits until an instance is ready with the configuration of a revision.
    pub fn wait_revision(&self, at: usize, revision: u64) {
        wait_until(&format!("instance {at} is ready at revision {revision}"), || {
            self.status(at)["revision"] == revision && self.instances[at].is_ready()
        });
    }

    /// An instance's status.
    pub fn status(&self, at: usize) -> Value {
        get(self.instances[at].admin_address(), "/status").1
    }

    /// Closes the instances, then the stand-ins.
    pub fn close(self) {
        self.instances.into_iter().for_each(Instance::close);
        self.orders.close();
        self.engines.into_iter().for_each(Engine::close);
        self.list.close();
        self.store.close();
    }
}

fn upstream(name: &str, service: &str, address: SocketAddr, rest: &str) -> String {
    format!(
        "\n[upstream {name}]\nservice = {service}\naddress = {address}\ndomain = west\nregion = north\n{rest}"
    )
}

/// Enables log output, which shows with `RUST_LOG` set and `--nocapture`.
fn start_logs() {
    let started = env_logger::builder().is_test(true).try_init();
    // Fails if another test of the same process has initialised logging already.
    drop(started);
}

/// Waits until `condition` holds.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "not within {WAIT_TIMEOUT:?}: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Gets a resource; returns the status and the body as JSON, null if it is no JSON.
pub fn get(address: SocketAddr, path: &str) -> (u16, Value) {
    let response = client::call(&client::Request::get(address, path)).expect("the instance answers");
    (
        response.status,
        serde_json::from_slice(&response.body).unwrap_or_default(),
    )
}

/// A request with a bearer key.
pub fn request(method: &str, address: SocketAddr, path: &str, key: &str) -> client::Request {
    client::Request::new(method, address, path).with_header("Authorization", format!("Bearer {key}"))
}

pub fn name(text: &str) -> Name {
    Name::new(text).expect("the test's names are valid")
}
