//! A request for a decision and the decision's outcomes.

use std::{fmt, net::SocketAddr, time::Duration};

use carob_base::Name;
use smallvec::SmallVec;

carob_base::value! {
    /// A request to be placed on an upstream.
    pub struct Request {
        /// Chosen by the caller; unique among the requests in progress.
        pub id: u64,
        /// Service that carries it out.
        pub service: Name,
        /// Client account that sent it.
        pub account: Name,
        /// Length of the prompt, in tokens; 0 for a plain call.
        pub prompt_tokens: u32,
        /// Most tokens of the answer; `None` leaves the service's limit.
        pub max_tokens: Option<u32>,
        /// Length of the answer where it is certain, in tokens.
        pub known_tokens: Option<u32>,
        /// Hashes of the prompt's prefixes, longest last.
        pub prefix: SmallVec<[u64; 4]>,
        /// Whether it may run more than once.
        pub idempotent: bool,
        /// Whether it must run on an upstream without neighbours.
        pub exclusive: bool,
        /// Upstreams that must not be used.
        pub excluded: SmallVec<[Name; 2]>,
        /// The request in progress that this one duplicates on another upstream.
        pub hedge_of: Option<u64>,
    }

    /// The answer to [`Router::submit`](crate::Router::submit) and [`Router::retry`](crate::Router::retry).
    pub enum Outcome {
        /// Send it to this upstream now.
        Placed(Placement),
        /// It waits; [`Router::poll`](crate::Router::poll) tells the end of the wait.
        Queued,
        /// It will not be placed, and nothing of it is kept.
        Refused(Refusal),
    }

    /// The end of a wait in the queue.
    pub enum Event {
        /// Send it to this upstream now.
        Placed(Placement),
        /// It will not be placed, and nothing of it is kept.
        Refused(Refusal),
    }

    /// Where a request goes.
    pub struct Placement {
        /// The request.
        pub id: u64,
        /// The chosen upstream.
        pub upstream: Name,
        /// Its address.
        pub address: SocketAddr,
        /// Priority at the engine; lower runs first.
        pub priority: i32,
        /// Why this upstream.
        pub reason: Reason,
    }

    /// A final refusal; the request did not run.
    #[derive(thiserror::Error)]
    #[error("request {id} refused: {cause}, retry after {retry_after:?}")]
    pub struct Refusal {
        /// The request.
        pub id: u64,
        /// Why.
        pub cause: Cause,
        /// After which time sending it again may succeed.
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
        /// The account has too many requests in progress.
        #[error("the account has too many requests in progress")]
        AccountBusy,
        /// No upstream has room and the queue is full or too slow.
        #[error("no upstream has room")]
        Overloaded,
        /// The caller's patience ran out in the queue.
        #[error("waited too long")]
        Expired,
        /// The prompt and the largest answer fit no upstream.
        #[error("too long for every upstream")]
        TooLong,
        /// No upstream of the service can take requests.
        #[error("no upstream")]
        NoUpstream,
        /// The service's budget for retries and hedges is spent.
        #[error("retry budget spent")]
        RetryBudget,
        /// A request with this id is in progress, or, for a retry or a hedge, none is.
        #[error("no such request, or the id is in use")]
        BadId,
    }

    /// Which rule chose the upstream.
    pub enum Choice {
        /// The cheapest of the upstreams whose predicted memory has room.
        Fits,
        /// An upstream without neighbours, for a crash suspect.
        Exclusive,
        /// The least busy upstream of a plain service.
        LeastBusy,
        /// A trial of an upstream that failed before.
        Probe,
        /// No upstream has room; the least loaded one.
        Overcommitted,
    }

    /// How far the chosen upstream is.
    pub enum Locality {
        /// In the instance's own failure domain.
        Domain,
        /// In another failure domain of the own region.
        Region,
        /// In another region.
        Remote,
    }

    /// The figures behind a decision.
    pub struct Reason {
        /// The rule.
        pub choice: Choice,
        /// Upstreams looked at.
        pub considered: u16,
        /// Upstreams among them with room.
        pub fitting: u16,
        /// Predicted peak of the chosen upstream's memory with this request, in tokens.
        pub peak: u32,
        /// The chosen upstream's memory, in tokens.
        pub memory: u32,
        /// Deviations above the mean at which the peak was taken, in hundredths.
        pub margin: u16,
        /// Requests estimated on the chosen upstream before this one.
        pub batch: u32,
        /// Median expected length of the answer, in tokens.
        pub expected: u32,
        /// Share of the prompt believed to be cached there, in percent.
        pub cached: u8,
        /// How far it is.
        pub locality: Locality,
        /// Time spent in the queue.
        pub waited: Duration,
    }
}

impl Request {
    /// An idempotent request without a prompt; use the `with_` methods for the rest.
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

    /// Sets the prompt's length and the answer's limit, in tokens.
    #[must_use]
    pub fn with_tokens(mut self, prompt: u32, max: Option<u32>) -> Self {
        self.prompt_tokens = prompt;
        self.max_tokens = max;
        self
    }

    /// States the length of the answer, for a caller who is certain of it.
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

    /// Demands an upstream without neighbours.
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

    /// Makes it a hedge of the request in progress with this id: placed on another upstream within the service's
    /// retry budget, or refused at once.
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
