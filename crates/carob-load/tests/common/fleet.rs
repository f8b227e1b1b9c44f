//! Several instances in front of several stand-in upstreams, as threads of this process.

use std::{
    fmt::Write as _,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use carob_base::Name;
use carob_entry::{Instance, Options};
use carob_http::client::{self, Request};
use carob_load::{Target, Workload};
use carob_standin::{Engine, List, Orders, Store, engine, list, orders, store};
use sha2::{Digest as _, Sha256};

/// Operators' key, with which the ticket is submitted.
const OPERATOR_KEY: &str = "operator-key";
/// Name of the failure domain and of the region of all instances and upstreams.
const DOMAIN: &str = "uusimaa";
/// Maximum time until the ticket is in force at all instances.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which the instances are checked for readiness.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Instances with the stand-ins that they depend on.
pub struct Fleet {
    pub store: Store,
    pub list: List,
    pub engines: Vec<Arc<Engine>>,
    pub orders: Arc<Orders>,
    pub instances: Vec<Instance>,
    /// Memory, in tokens, and slots of each engine, for the ticket.
    sizes: Vec<(u32, usize)>,
}

impl Fleet {
    /// Starts `count` instances in front of `engines`, configured with the client accounts of `workload`.
    pub fn start(count: usize, engines: Vec<engine::Options>, workload: &Workload) -> Self {
        // This fails if another test of the process has already installed the logger.
        drop(env_logger::builder().is_test(true).try_init());
        let store = Store::start(&store::Options::default()).expect("a port is free");
        let list = List::start(&list::Options::default()).expect("a port is free");
        let orders = Orders::start(&orders::Options::default()).expect("a port is free");
        let sizes = engines
            .iter()
            .map(|options| (options.memory_tokens, options.slots));
        let sizes = sizes.collect();
        let engines = engines.into_iter().map(|options| {
            let engine = Engine::start(options).expect("a port is free");
            Arc::new(engine)
        });
        let engines = engines.collect::<Vec<_>>();
        let instances = (1..=count).map(|number| {
            let options = options(number, store.address(), list.address());
            let (name, domain, region) = names(&options);
            let instance = Instance::start(options).expect("ports are free");
            list.upsert(list::Instance {
                name,
                address: instance.peer_address(),
                domain,
                region,
                state: list::State::Live,
            });
            instance
        });
        let instances = instances.collect::<Vec<_>>();
        let fleet = Self {
            instances,
            sizes,
            store,
            list,
            engines,
            orders: Arc::new(orders),
        };
        fleet.configure(workload);
        fleet
    }

    /// Addresses of the instances' listeners for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(Instance::caller_address).collect()
    }

    /// Returns a target with `addresses` and the record of this fleet's upstreams.
    pub fn target(&self, addresses: Vec<SocketAddr>) -> Target {
        let engines = self.engines.clone();
        let orders = Arc::clone(&self.orders);
        Target::new(addresses).with_record(move || super::record::upstream_record(&engines, Some(&orders)))
    }

    /// Shuts the instances down gracefully and concurrently, then stops the instance list and the store.
    pub fn close(self) {
        let closing = self
            .instances
            .into_iter()
            .map(|instance| thread::spawn(|| instance.close()));
        for thread in closing.collect::<Vec<_>>() {
            thread.join().expect("an instance closes without a panic");
        }
        self.list.close();
        self.store.close();
    }

    /// Submits the ticket and waits until every instance is ready.
    fn configure(&self, workload: &Workload) {
        let request = Request::post(
            self.instances[0].admin_address(),
            "/tickets",
            self.ticket(workload),
        )
        .with_header("authorization", format!("Bearer {OPERATOR_KEY}"));
        let response = client::call(&request).expect("the instance answers");
        assert_eq!(response.status, 200, "{:?}", response.body);
        let end = Instant::now() + READY_TIMEOUT;
        while !self.instances.iter().all(Instance::is_ready) {
            assert!(Instant::now() < end, "the ticket is not in force everywhere");
            thread::sleep(READY_POLL_INTERVAL);
        }
    }

    fn ticket(&self, workload: &Workload) -> String {
        let mut text = "\
            [ticket]\nnumber = 1\n\
            [service drafts]\nkind = generation\nmodel = default\npatience = 20s\n\
            [service ordering]\nkind = plain\npatience = 5s\n\
            [route drafts]\npath = /v1/responses\nservice = drafts\nidempotent = yes\n\
            [route stock]\npath = /stock\nmethods = GET\nservice = ordering\nidempotent = yes\n\
            [route orders]\npath = /orders\nmethods = POST\nservice = ordering\nidempotent = no\n"
            .to_owned();
        for account in &workload.accounts {
            let hash = Sha256::digest(account.key.as_bytes());
            write!(text, "[account {}]\nkey-sha256 = {hash:x}\n", account.name)
                .expect("strings take any text");
        }
        for (index, (engine, (memory, slots))) in self.engines.iter().zip(&self.sizes).enumerate() {
            let name = format!("engine-{}", index + 1);
            let size = format!("memory = {memory}\nslots = {slots}\n");
            text += &upstream(&name, "drafts", engine.address(), &size);
        }
        text + &upstream("orders-1", "ordering", self.orders.address(), "slots = 64\n")
    }
}

fn options(number: usize, store: SocketAddr, list: SocketAddr) -> Options {
    let mut options = Options::new(name(&format!("entry-{number}")), name(DOMAIN), name(DOMAIN));
    options.store_addresses = vec![store];
    options.list_address = Some(list);
    options.operator_key = Some(Bytes::from_static(OPERATOR_KEY.as_bytes()));
    options.answer_key = Bytes::from_static(b"answer-key");
    options.peer_key = Bytes::from_static(b"peer-key");
    options.leave_delay = Duration::from_millis(200);
    options.store_timeout = Duration::from_millis(500);
    options.seed = number as u64;
    options
}

/// Returns the name, failure domain and region of an instance for the instance list.
fn names(options: &Options) -> (String, String, String) {
    (
        options.name.to_string(),
        options.domain.to_string(),
        options.region.to_string(),
    )
}

fn upstream(name: &str, service: &str, address: SocketAddr, properties: &str) -> String {
    format!(
        "[upstream {name}]\nservice = {service}\naddress = {address}\ndomain = {DOMAIN}\nregion = {DOMAIN}\n{properties}"
    )
}

fn name(text: &str) -> Name {
    Name::new(text).expect("the names here are valid")
}
