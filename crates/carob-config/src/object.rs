//! The configured objects.

use std::{net::SocketAddr, time::Duration};

use carob_base::Name;
use smallvec::SmallVec;

carob_base::plain! {
    /// What a service does.
    pub enum ServiceKind {
        /// Generates answers of unknown length on model engines.
        Generation,
        /// Answers plain HTTP calls.
        Plain,
    }

    /// Whether an upstream refuses an order that carries an old fencing number.
    pub enum Fencing {
        /// The upstream compares the number and refuses an old one.
        Checks,
        /// The upstream ignores the number.
        Ignores,
    }

    /// How a service weighs its measures against each other.
    ///
    /// Only the ratio counts: `stall = 3, preempt = 1` accepts more preemptions for less stall time.
    pub struct Weights {
        /// Weight of stall time.
        pub stall: u16,
        /// Weight of preemptions.
        pub preempt: u16,
    }
}

impl Default for Weights {
    fn default() -> Self {
        Self { stall: 1, preempt: 1 }
    }
}

carob_base::value! {
    /// A service that callers use and upstreams carry out.
    pub struct Service {
        /// Unique name.
        pub name: Name,
        /// What it does.
        pub kind: ServiceKind,
        /// The model that its upstreams must have loaded; `None` for a plain service.
        pub model: Option<Name>,
        /// Stall time against preemptions.
        pub weights: Weights,
        /// How long a caller is expected to wait for the first byte before a refusal is better.
        pub response_timeout: Duration,
        /// Most tokens of one answer.
        pub max_tokens: u32,
        /// Retries and hedges permitted per hundred requests.
        pub retry_percent: u16,
    }

    /// A client account.
    pub struct Account {
        /// Unique name.
        pub name: Name,
        /// SHA-256 of the account's bearer key.
        pub key_hash: [u8; 32],
        /// Share of the capacity relative to other accounts when requests queue.
        pub weight: u16,
        /// Most requests in progress at one instance.
        pub max_requests: u32,
        /// Services that the account may use; empty means every service.
        pub services: SmallVec<[Name; 4]>,
    }

    /// A route from callers' paths to a service.
    pub struct Route {
        /// Unique name.
        pub name: Name,
        /// Path prefix, such as `/v1/responses` or `/orders`.
        pub path: String,
        /// HTTP methods; empty means every method.
        pub methods: SmallVec<[String; 2]>,
        /// Service that carries out the calls.
        pub service: Name,
        /// Whether a call may run more than once.
        pub idempotent: bool,
    }

    /// An upstream that carries out the calls of one service.
    pub struct Upstream {
        /// Unique name.
        pub name: Name,
        /// Service whose calls it carries out.
        pub service: Name,
        /// Address for HTTP.
        pub address: SocketAddr,
        /// Failure domain.
        pub domain: Name,
        /// Region.
        pub region: Name,
        /// Whether it checks fencing numbers.
        pub fencing: Fencing,
        /// Memory for prompts and answers, in tokens; 0 for a plain service.
        pub memory: u32,
        /// Most requests that it runs at the same time.
        pub slots: u32,
    }
}
