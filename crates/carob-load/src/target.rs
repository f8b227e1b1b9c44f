//! Where callers send their requests, and what is known about the upstreams behind.

use std::{collections::HashMap, fmt, net::SocketAddr, sync::Arc};

use bytes::Bytes;

use crate::{
    arrivals::Arrival,
    workload::{Kind, Workload},
};

carob_base::value! {
    /// What one exchange asks for.
    pub struct RequestSpec {
        /// Text that marks the request, unique within a run.
        pub tag: String,
        /// Text that marks requests of one account and class, whose prompts share their beginning.
        pub group: String,
        /// Kind of the request.
        pub kind: Kind,
        /// Model of a generation; the route decides if it is missing.
        pub model: Option<String>,
        /// Length of the prompt in tokens, or of a plain call's body in bytes.
        pub prompt: u32,
        /// Length of the answer, in tokens.
        pub output: u32,
    }

    /// What the upstreams have run, as they themselves recorded it.
    #[derive(Default)]
    pub struct UpstreamRecord {
        /// Text of every run of a generation, by the request's [tag](RequestSpec::tag); `None` if it is not known.
        pub generations: Option<HashMap<String, Vec<String>>>,
        /// Number of runs of a non-idempotent call, by its idempotency key; `None` if it is not known.
        pub orders: Option<HashMap<String, usize>>,
        /// Preemptions of the engines; `None` if they are not known.
        pub preemptions: Option<u64>,
    }
}

impl RequestSpec {
    /// What `arrival` of `workload` asks for.
    pub fn new(arrival: &Arrival, workload: &Workload) -> Self {
        let class = workload.class(arrival.class);
        let account = workload.account(arrival.account);
        Self {
            tag: format!("{:016x}-{}", arrival.seed, arrival.number),
            group: format!("{}-{}", account.name, class.name),
            kind: class.kind,
            model: class.model.clone(),
            prompt: arrival.prompt,
            output: arrival.output,
        }
    }
}

type Body = Arc<dyn Fn(&RequestSpec) -> Bytes + Send + Sync>;
type Record = Arc<dyn Fn() -> UpstreamRecord + Send + Sync>;

/// Where callers send their requests, and what is known about the upstreams behind.
#[derive(Clone)]
pub struct Target {
    /// Callers' listeners; exchanges go to them in turn, and to the next one after a failure.
    pub addresses: Vec<SocketAddr>,
    body: Body,
    record: Option<Record>,
}

impl Target {
    /// A target behind `addresses`, of which there must be at least one.
    ///
    /// Bodies are those of the stand-ins, and nothing is known about the upstreams.
    ///
    /// # Panics
    ///
    /// Panics if `addresses` is empty.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        assert!(!addresses.is_empty(), "a target needs an address");
        Self {
            addresses,
            body: Arc::new(crate::body::standin),
            record: None,
        }
    }

    /// Makes request bodies with `body`.
    #[must_use]
    pub fn with_body(mut self, body: impl Fn(&RequestSpec) -> Bytes + Send + Sync + 'static) -> Self {
        self.body = Arc::new(body);
        self
    }

    /// Compares what callers saw with the upstreams' record, which `record` gives when all exchanges have ended.
    #[must_use]
    pub fn with_record(mut self, record: impl Fn() -> UpstreamRecord + Send + Sync + 'static) -> Self {
        self.record = Some(Arc::new(record));
        self
    }

    /// The body of a request.
    pub fn body(&self, spec: &RequestSpec) -> Bytes {
        (self.body)(spec)
    }

    /// The upstreams' record so far; empty if it is not known.
    pub fn upstream_record(&self) -> UpstreamRecord {
        self.record
            .as_ref()
            .map_or_else(UpstreamRecord::default, |record| record())
    }
}

impl fmt::Debug for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Target")
            .field("addresses", &self.addresses)
            .finish_non_exhaustive()
    }
}
