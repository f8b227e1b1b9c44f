//! Requests and the outcomes of decisions about them.

use std::{fmt, net::SocketAddr, time::Duration};

use carob_base::Name;
use smallvec::SmallVec;

carob_base::value! {
    /// A request to be placed on an upstream.
    pub struct Request {
        /// Chosen by the caller; unique among the open requests.
        pub id: u64,
        /// Service that it is for.
        pub service: Name,
        /// Client account that sent it.
        pub account: Name,
        /// Prompt length, in tokens; 0 for a plain call.
        pub prompt_tokens: u32,
        /// Maximum answer length, in tokens; `None` means the service's limit.
        pub max_tokens: Option<u32>,
        /// Answer length in tokens if the caller is certain of it.
        pub known_tokens: Option<u32>,
        /// Hashes of the prompt's prefixes, longest last.
        pub prefix: SmallVec<[u64; 4]>,
        /// Whether it may run more than once.
        pub idempotent: bool,
        /// Whether it must be the only request on its upstream; set for crash suspects.
        pub exclusive: bool,
        /// Upstreams that must not be used.
        pub excluded: SmallVec<[Name; 2]>,
        /// The open request that this one duplicates on another upstream.
        pub hedge_of: Option<u64>,
    }

    /// Result of [`Router::submit`](crate::Router::submit) and [`Router::retry`](crate::Router::retry).
    pub enum Outcome {
        /// To be sent to this upstream now.
        Placed(Placement),
        /// Queued; [`Router::poll`](crate::Router::poll) returns an event once it is placed or refused.
        Queued,
        /// Refused; the router keeps no state of it.
        Refused(Refusal),
    }

    /// What has become of a queued request.
    pub enum Event {
        /// To be sent to this upstream now.
        Placed(Placement),
        /// Refused; the router keeps no state of it.
        Refused(Refusal),
    }

    /// Assignment of a request to an upstream.
    pub struct Placement {
        /// Id of the request.
        pub id: u64,
        /// The chosen upstream.
        pub upstream: Name,
        /// Address of the upstream.
        pub address: SocketAddr,
        /// Priority at the engine; lower runs first.
        pub priority: i32,
        /// Why this upstream was chosen.
        pub reason: Reason,
    }

    /// Final refusal of a request, which did not run.
    #[derive(thiserror::Error)]
    #[error("request {id} refused: {cause}, retry after {retry_after:?}")]
    pub struct Refusal {
        /// Id of the request.
        pub id: u64,
        /// Why it is refused.
        pub cause: Cause,
        /// Advised delay before the caller sends it again.
        pub retry_after: Duration,
    }
}

carob_base::plain! {
    /// Why a request is refused.
    #[derive(thiserror::Error)]
    pub enum Cause {
        /// The service is not configured.
        #[error("unknown service")]
        UnknownService,
        /// The client account is not configured.
        #[error("unknown client account")]
        UnknownAccount,
        /// The account has reached its limit of open requests.
        #[error("the account has too many requests in progress")]
        AccountBusy,
        /// No upstream has room, and the request cannot wait: the queue is full, the expected wait exceeds
        /// the queue timeout, or it is a hedge.
        #[error("no upstream has room")]
        Overloaded,
        /// The queue timeout has passed.
        #[error("waited too long")]
        Expired,
        /// The prompt and the requested answer length exceed the memory of the largest upstream.
        #[error("too long for every upstream")]
        TooLong,
        /// No upstream of the service accepts requests.
        #[error("no upstream")]
        NoUpstream,
        /// The service's budget for retries and hedges is spent.
        #[error("retry budget spent")]
        RetryBudget,
        /// An open request already has this id; or, for a retry, no open request and, for a hedge, no running
        /// request has the id it refers to.
        #[error("no such request, or the id is in use")]
        BadId,
    }

    /// Which rule chose the upstream.
    pub enum Choice {
        /// The cheapest of the upstreams whose memory forecast has room for the request.
        Fits,
        /// An upstream without other requests, for a crash suspect.
        Exclusive,
        /// The cheapest upstream of a plain service; the cost counts busy slots instead of memory.
        LeastBusy,
        /// A probe of an upstream whose circuit breaker is open.
        Probe,
        /// The least loaded upstream, although none has room.
        Overcommitted,
    }

    /// Locality of an upstream relative to this instance.
    pub enum Locality {
        /// In the instance's failure domain.
        Domain,
        /// In another failure domain of the instance's region.
        Region,
        /// In another region.
        Remote,
    }

    /// The figures behind a placement.
    pub struct Reason {
        /// The rule that chose the upstream.
        pub choice: Choice,
        /// Number of candidate upstreams.
        pub considered: u16,
        /// Number of candidates with room.
        pub fitting: u16,
        /// Forecast peak of the chosen upstream's memory with this request and the margin, in tokens.
        pub peak: u32,
        /// Memory of the chosen upstream, in tokens.
        pub memory: u32,
        /// Safety margin of `peak`, in hundredths of a standard deviation above the mean.
        pub margin: u16,
        /// Estimated number of requests on the chosen upstream before this one.
        pub batch: u32,
        /// Expected median length of the answer, in tokens.
        pub expected: u32,
        /// Share of the prompt that is probably cached there, in percent.
        pub cached: u8,
        /// Locality of the chosen upstream.
        pub locality: Locality,
        /// Time from submission to placement.
        pub waited: Duration,
    }
}

impl Request {
    /// An idempotent request without a prompt; the `with_` methods set the other fields.
    pub fn new(id: u64, service: Name, account: Name) -> Self {
        Self {
            id,
            service,
            account,
            prompt_tokens: 0,
            max_tokens: None,
            known_tokens: None,
            prefix: SmallVec::new(),
            idempotent: true,
            exclusive: false,
            excluded: SmallVec::new(),
            hedge_of: None,
        }
    }

    /// Sets the prompt length and the maximum answer length, in tokens.
    #[must_use]
    pub fn with_tokens(mut self, prompt: u32, max: Option<u32>) -> Self {
        self.prompt_tokens = prompt;
        self.max_tokens = max;
        self
    }

    /// Sets the answer length, for a caller that is certain of it.
    #[must_use]
    pub fn with_known_tokens(mut self, tokens: u32) -> Self {
        self.known_tokens = Some(tokens);
        self
    }

    /// Sets the hashes of the prompt's prefixes, longest last.
    #[must_use]
    pub fn with_prefix(mut self, prefix: SmallVec<[u64; 4]>) -> Self {
        self.prefix = prefix;
        self
    }

    /// Sets whether it may run more than once.
    #[must_use]
    pub fn with_idempotent(mut self, idempotent: bool) -> Self {
        self.idempotent = idempotent;
        self
    }

    /// Sets whether it must be the only request on its upstream.
    #[must_use]
    pub fn with_exclusive(mut self, exclusive: bool) -> Self {
        self.exclusive = exclusive;
        self
    }

    /// Sets the upstreams that must not be used.
    #[must_use]
    pub fn with_excluded(mut self, excluded: SmallVec<[Name; 2]>) -> Self {
        self.excluded = excluded;
        self
    }

    /// Makes it a hedge of the open request with this id: it is placed on another upstream within the
    /// service's retry budget, or refused at once.
    #[must_use]
    pub fn with_hedge_of(mut self, id: u64) -> Self {
        self.hedge_of = Some(id);
        self
    }
}

impl fmt::Display for Choice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Fits => "fits",
            Self::Exclusive => "alone",
            Self::LeastBusy => "least-busy",
            Self::Probe => "probe",
            Self::Overcommitted => "crowded",
        })
    }
}

impl fmt::Display for Locality {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Domain => "domain",
            Self::Region => "region",
            Self::Remote => "remote",
        })
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "choice={} considered={} fitting={} peak={}/{} caution={}.{:02} batch={} expected={} cached={}% \
             place={} waited={}ms",
            self.choice,
            self.considered,
            self.fitting,
            self.peak,
            self.memory,
            self.margin / 100,
            self.margin % 100,
            self.batch,
            self.expected,
            self.cached,
            self.locality,
            self.waited.as_millis()
        )
    }
}

impl fmt::Display for Placement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "request={} upstream={} priority={} {}",
            self.id, self.upstream, self.priority, self.reason
        )
    }
}
