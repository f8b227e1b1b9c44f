//! Where callers send their requests, and what is known about the upstreams behind.

use std::{fmt, net::SocketAddr, sync::Arc};

use bytes::Bytes;

use crate::{
    arrivals::Arrival,
    workload::{Class, Kind},
};

carob_base::value! {
    /// What one exchange asks for.
    pub struct Ask {
        /// Text that marks the request, unique within a run.
        pub tag: String,
        /// Kind of the request.
        pub kind: Kind,
        /// Model of a generation; the route decides if it is missing.
        pub model: Option<String>,
        /// Length of the prompt in tokens, or of a plain call's body in bytes.
        pub prompt: u32,
        /// Length of the answer, in tokens.
        pub output: u32,
    }
}

impl Ask {
    /// What `arrival` of `class` asks for.
    pub fn new(arrival: &Arrival, class: &Class) -> Self {
        Self {
            tag: format!("{:016x}-{}", arrival.seed, arrival.number),
            kind: class.kind,
            model: class.model.clone(),
            prompt: arrival.prompt,
            output: arrival.output,
        }
    }
}

type Body = Arc<dyn Fn(&Ask) -> Bytes + Send + Sync>;
type Expected = Arc<dyn Fn(&Ask, &Bytes) -> Option<String> + Send + Sync>;
type Runs = Arc<dyn Fn(&str) -> usize + Send + Sync>;

/// Where callers send their requests, and what is known about the upstreams behind.
#[derive(Clone)]
pub struct Target {
    /// Callers' listeners; exchanges go to them in turn, and to the next one after a failure.
    pub addresses: Vec<SocketAddr>,
    body: Body,
    expected: Option<Expected>,
    orders: Option<Runs>,
    generations: Option<Runs>,
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
            expected: None,
            orders: None,
            generations: None,
        }
    }

    /// Makes request bodies with `body`.
    #[must_use]
    pub fn with_body(mut self, body: impl Fn(&Ask) -> Bytes + Send + Sync + 'static) -> Self {
        self.body = Arc::new(body);
        self
    }

    /// Compares whole answers with the text that `expected` gives for what was asked and the body sent.
    #[must_use]
    pub fn with_expected(
        mut self,
        expected: impl Fn(&Ask, &Bytes) -> Option<String> + Send + Sync + 'static,
    ) -> Self {
        self.expected = Some(Arc::new(expected));
        self
    }

    /// Compares non-idempotent calls with the number of times that `runs` gives for an idempotency key.
    #[must_use]
    pub fn with_orders(mut self, runs: impl Fn(&str) -> usize + Send + Sync + 'static) -> Self {
        self.orders = Some(Arc::new(runs));
        self
    }

    /// Compares generations with the number of times that `runs` gives for the [tag](Ask::tag) of a request.
    #[must_use]
    pub fn with_generations(mut self, runs: impl Fn(&str) -> usize + Send + Sync + 'static) -> Self {
        self.generations = Some(Arc::new(runs));
        self
    }

    /// The body of a request.
    pub fn body(&self, ask: &Ask) -> Bytes {
        (self.body)(ask)
    }

    /// The text that the engine generates, if it is known.
    pub fn expected(&self, ask: &Ask, body: &Bytes) -> Option<String> {
        self.expected.as_ref()?(ask, body)
    }

    /// How often the upstreams have run the request under `key`, if it is known.
    pub fn runs(&self, kind: Kind, key: &str) -> Option<usize> {
        let hook = match kind {
            Kind::Generation => self.generations.as_ref()?,
            Kind::Order => self.orders.as_ref()?,
            Kind::Lookup => return None,
        };
        Some(hook(key))
    }
}

impl fmt::Debug for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Target")
            .field("addresses", &self.addresses)
            .finish_non_exhaustive()
    }
}
