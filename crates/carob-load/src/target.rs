//! Where callers send their requests, and what the upstreams behind it recorded.

use std::{collections::HashMap, fmt, net::SocketAddr, sync::Arc};

use bytes::Bytes;

use crate::{
    arrivals::Arrival,
    workload::{Kind, Workload},
};

carob_base::value! {
    /// The parameters of one request, from which its body is built.
    pub struct RequestSpec {
        /// Identifier of the request, unique within a run.
        pub tag: String,
        /// Identifier of the requests of one account and class, whose prompts have a common prefix.
        pub group: String,
        /// Decides between the body of a generation and of a plain call.
        pub kind: Kind,
        /// Model of a generation; if it is `None`, the route decides.
        pub model: Option<String>,
        /// Length of the prompt in tokens, or of a plain call's body in bytes.
        pub prompt: u32,
        /// Length of the answer, in tokens.
        pub output: u32,
    }

    /// The upstreams' own record of what they ran.
    #[derive(Default)]
    pub struct UpstreamRecord {
        /// Texts of all runs of each generation, by the request's [tag](RequestSpec::tag); `None` if they are
        /// not known.
        pub generations: Option<HashMap<String, Vec<String>>>,
        /// Number of runs of each non-idempotent call, by its idempotency key; `None` if it is not known.
        pub orders: Option<HashMap<String, usize>>,
        /// Preemptions by the engines; `None` if they are not known.
        pub preemptions: Option<u64>,
    }
}

impl RequestSpec {
    /// The parameters of the request that `arrival` of `workload` sends.
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

type BodyBuilder = Arc<dyn Fn(&RequestSpec) -> Bytes + Send + Sync>;
type RecordSource = Arc<dyn Fn() -> UpstreamRecord + Send + Sync>;

/// The listeners that callers send to, the builder of request bodies, and the source of the upstreams'
/// record.
#[derive(Clone)]
pub struct Target {
    /// The callers' listeners: exchanges start at them in turn and go on to the next one after a failure.
    pub addresses: Vec<SocketAddr>,
    body: BodyBuilder,
    record: Option<RecordSource>,
}

impl Target {
    /// Creates a target with request bodies for the stand-ins and without a record of the upstreams.
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

    /// Builds request bodies with `body`.
    #[must_use]
    pub fn with_body(mut self, body: impl Fn(&RequestSpec) -> Bytes + Send + Sync + 'static) -> Self {
        self.body = Arc::new(body);
        self
    }

    /// Sets the source of the upstreams' record, with which the callers' outcomes are compared after all
    /// exchanges have ended.
    #[must_use]
    pub fn with_record(mut self, record: impl Fn() -> UpstreamRecord + Send + Sync + 'static) -> Self {
        self.record = Some(Arc::new(record));
        self
    }

    /// Builds the body of a request.
    pub fn body(&self, spec: &RequestSpec) -> Bytes {
        (self.body)(spec)
    }

    /// Fetches the upstreams' record; without a source, nothing in it is known.
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
