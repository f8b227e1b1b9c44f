//! The configured objects.

use std::{net::SocketAddr, time::Duration};

use carob_base::Name;
use smallvec::SmallVec;

carob_base::plain! {
    /// What kind of requests a service answers.
    pub enum ServiceKind {
        /// Generations, whose length is not known in advance, on model engines.
        Generation,
        /// Plain HTTP calls.
        Plain,
    }

    /// How an upstream treats an order with an old fencing number.
    pub enum Fencing {
        /// It compares the number and refuses the order.
        Checks,
        /// It ignores the number and executes the order.
        Ignores,
    }

    /// Trade-off between stall time and preemptions in the placement of a service's requests.
    ///
    /// Only the ratio matters: `stall = 3, preempt = 1` accepts more preemptions in return for less stall
    /// time.
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
    /// A service that callers request and upstreams run.
    pub struct Service {
        /// Unique name.
        pub name: Name,
        /// Kind of the requests.
        pub kind: ServiceKind,
        /// The model that upstreams must have loaded; `None` for a plain service.
        pub model: Option<Name>,
        /// Trade-off between stall time and preemptions.
        pub weights: Weights,
        /// How long a caller is expected to wait for the first byte; after this time a refusal serves it
        /// better. Key `patience`.
        pub response_timeout: Duration,
        /// Maximum number of tokens of one answer.
        pub max_tokens: u32,
        /// Retry budget: retries and hedges permitted per hundred requests.
        pub retry_percent: u16,
    }

    /// A client account.
    pub struct Account {
        /// Unique name.
        pub name: Name,
        /// SHA-256 of the account's bearer key.
        pub key_hash: [u8; 32],
        /// Relative share of the capacity among the accounts with queued requests. Key `share`.
        pub weight: u16,
        /// Maximum number of requests in progress at one instance. Key `max-open`.
        pub max_requests: u32,
        /// Services that the account may use; empty permits every service.
        pub services: SmallVec<[Name; 4]>,
    }

    /// Maps requests to a service by path and method.
    pub struct Route {
        /// Unique name.
        pub name: Name,
        /// Path prefix, such as `/v1/responses` or `/orders`.
        pub path: String,
        /// HTTP methods in upper case; empty permits every method.
        pub methods: SmallVec<[String; 2]>,
        /// Service that answers the requests.
        pub service: Name,
        /// Whether a request may be executed more than once.
        pub idempotent: bool,
    }

    /// An upstream that runs the requests of one service.
    pub struct Upstream {
        /// Unique name.
        pub name: Name,
        /// Service whose requests it runs.
        pub service: Name,
        /// Address of its HTTP listener.
        pub address: SocketAddr,
        /// Failure domain.
        pub domain: Name,
        /// Region.
        pub region: Name,
        /// Whether it checks fencing numbers.
        pub fencing: Fencing,
        /// Memory for prompts and answers, in tokens; above 0 for a generation service, 0 for a plain one.
        pub memory: u32,
        /// Maximum number of requests that it runs at the same time; above 0 for a generation service.
        pub slots: u32,
    }
}
