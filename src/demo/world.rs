//! The stand-ins, the instance and the ticket that configures it.

use std::{
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use carob_base::Name;
use carob_entry::{Instance, Options};
use carob_standin::{Engine, List, Orders, Store, engine, list, orders, store};

use crate::{
    command::admin,
    exit::{Exit, failure},
};

/// API key of the demo's client account.
pub const CALLER_KEY: &str = "demo-caller-key";
/// SHA-256 of [`CALLER_KEY`], as tickets carry it.
const CALLER_KEY_SHA256: &str = "cb6c3e7b71ed2559afa81f741fdf9ffb954fe4284132bb34f7f50d7f4e4eb9bb";
/// Key that the admin address accepts for changes.
const OPERATOR_KEY: &str = "demo-operator-key";
/// Maximum wait for the ticket to be in force.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of stand-in engines.
const ENGINES: u64 = 2;

/// The stand-ins and the instance of the demo.
pub struct World {
    pub store: Store,
    pub list: List,
    pub engines: Vec<Engine>,
    pub orders: Orders,
    pub instance: Instance,
}

impl World {
    /// Starts the stand-ins and an instance without configuration.
    pub fn start() -> eyre::Result<Self> {
        let store = Store::start(&store::Options::default())?;
        let list = List::start(&list::Options::default())?;
        let engines = (1..=ENGINES).map(|seed| {
            let options = engine::Options {
                seed,
                step_time: Duration::from_millis(5),
                ..engine::Options::default()
            };
            Engine::start(options)
        });
        let engines = engines.collect::<Result<Vec<_>, _>>()?;
        let orders = Orders::start(&orders::Options::default())?;
        let mut options = Options::new(name("entry-1"), name("uusimaa"), name("uusimaa"));
        options.store_addresses = vec![store.address()];
        options.list_address = Some(list.address());
        options.operator_key = Some(Bytes::from_static(OPERATOR_KEY.as_bytes()));
        options.answer_key = Bytes::from_static(b"demo-answer-key");
        options.peer_key = Bytes::from_static(b"demo-peer-key");
        options.leave_delay = Duration::from_millis(500);
        let instance = Instance::start(options)?;
        Ok(Self {
            store,
            list,
            engines,
            orders,
            instance,
        })
    }

    /// Submits the ticket that configures the instance and returns the response, whose body states the
    /// outcome.
    pub fn submit_ticket(&self) -> eyre::Result<admin::Response> {
        let text = self.ticket();
        admin::post(
            self.instance.admin_address(),
            "/tickets",
            Some(OPERATOR_KEY),
            text.into_bytes(),
        )
    }

    /// Waits until the ticket is in force and the instance is ready.
    pub fn wait_ready(&self) -> eyre::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            let status = admin::get(self.instance.admin_address(), "/status", None)?;
            if status.body.contains("\"revision\": 1") && self.instance.is_ready() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(failure(Exit::Refused, "the ticket is not in force in time"))
    }

    /// Text of the ticket, with the stand-ins' addresses as upstreams.
    fn ticket(&self) -> String {
        let mut text = format!(
            "[ticket]\nnumber = 1\n\n\
             [service drafts]\nkind = generation\nmodel = default\npatience = 10s\n\n\
             [service ordering]\nkind = plain\npatience = 5s\n\n\
             [account parish-oulu]\nkey-sha256 = {CALLER_KEY_SHA256}\n\n\
             [route drafts]\npath = /v1/responses\nservice = drafts\nidempotent = yes\n\n\
             [route stock]\npath = /stock\nmethods = GET\nservice = ordering\nidempotent = yes\n\n\
             [route orders]\npath = /orders\nmethods = POST\nservice = ordering\nidempotent = no\n"
        );
        for (index, engine) in self.engines.iter().enumerate() {
            text += &upstream(
                &format!("engine-{}", index + 1),
                "drafts",
                engine.address(),
                "memory = 16384\nslots = 16\n",
            );
        }
        text += &upstream("orders-1", "ordering", self.orders.address(), "slots = 16\n");
        text
    }

    /// Prints the addresses and example commands.
    pub fn print_guide(&self) {
        let (callers, admin) = (self.instance.caller_address(), self.instance.admin_address());
        println!(
            "carobhaven demo: one entry instance before {ENGINES} stand-in engines and an ordering service"
        );
        println!("  callers   http://{callers}   (bearer key {CALLER_KEY})");
        println!("  operators http://{admin}/status /metrics /healthz /readyz");
        println!("try:");
        println!(
            "  curl -N http://{callers}/v1/responses -H 'Authorization: Bearer {CALLER_KEY}' \
             -d '{{\"input\":\"an Advent quote\",\"stream\":true}}'"
        );
        println!("  curl http://{callers}/stock -H 'Authorization: Bearer {CALLER_KEY}'");
        println!("press Ctrl-C to close");
    }

    /// Closes the instance first, so that open requests can finish, then the stand-ins.
    pub fn close(self) {
        self.instance.close();
        self.orders.close();
        self.engines.into_iter().for_each(Engine::close);
        self.list.close();
        self.store.close();
    }
}

fn upstream(name: &str, service: &str, address: std::net::SocketAddr, settings: &str) -> String {
    format!(
        "\n[upstream {name}]\nservice = {service}\naddress = {address}\ndomain = uusimaa\nregion = uusimaa\n{settings}"
    )
}

fn name(text: &str) -> Name {
    Name::new(text).expect("the demo's names are valid")
}
