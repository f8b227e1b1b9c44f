//! What callers send: phases, classes of requests and client accounts.
//!
//! * [`parse`]: the text format, a subset of INI.
//! * [`size`]: distributions of prompt and answer lengths.

pub mod parse;
pub mod size;

use std::time::Duration;

pub use parse::Error;
pub use size::LengthDistribution;

/// Example: wholesale trade with long drafted quotes, short answers, stock look-ups, orders and a burst.
pub const WHOLESALE: &str = include_str!("../../workloads/wholesale.ini");
/// Example: enrolment in courses with long course plans and an intake period.
pub const ENROLMENT: &str = include_str!("../../workloads/enrolment.ini");

/// Version of the text format; other versions are refused.
pub const VERSION: u32 = 1;

carob_base::plain! {
    /// Index of a [`Phase`] in its workload.
    pub struct PhaseKey(pub u16);

    /// Index of a [`Class`] in its workload.
    pub struct ClassKey(pub u16);

    /// Index of an [`Account`] in its workload.
    pub struct AccountKey(pub u16);

    /// Kind of the requests of a class.
    pub enum Kind {
        /// A generation, delivered as a stream of events.
        Generation,
        /// A call that may run more than once.
        Lookup,
        /// A call that must run at most once; sent with an idempotency key.
        Order,
    }

    /// Percentages of the exchanges in which the caller deviates from reading one answer to its end.
    #[derive(Default)]
    pub struct BehaviourMix {
        /// Callers that disconnect in the middle of an answer and do not resume it.
        pub vanish: u8,
        /// Callers that pause after each token.
        pub slow: u8,
        /// Length of a slow caller's pause.
        pub pause: Duration,
        /// Callers that close the connection once in the middle of an answer and resume it.
        pub resume: u8,
        /// Callers that send the same request again, with the same idempotency key, after it has ended.
        pub repeat: u8,
        /// Callers that send a second copy of the request at the same time, with the same idempotency key.
        pub duplicate: u8,
    }
}

carob_base::value! {
    /// A period with a constant rate of arrivals.
    pub struct Phase {
        /// Unique name.
        pub name: String,
        /// Time from the phase's start to its end.
        pub duration: Duration,
        /// Rate of arrivals in percent of the workload's rate.
        pub rate_percent: u32,
    }

    /// A class of similar requests.
    pub struct Class {
        /// Unique name.
        pub name: String,
        /// Whether the requests are generations or plain calls.
        pub kind: Kind,
        /// HTTP method of a plain call.
        pub method: String,
        /// Path of the requests.
        pub path: String,
        /// Model of a generation; if it is `None`, the route decides.
        pub model: Option<String>,
        /// Lengths of prompts in tokens; of the bodies of plain calls in bytes.
        pub prompt: LengthDistribution,
        /// Lengths of answers, in tokens.
        pub output: LengthDistribution,
        /// Time after arrival at which the caller gives up on the exchange, repeats included.
        pub timeout: Duration,
        /// Maximum time within which a refusal must be received.
        pub refusal_timeout: Duration,
        /// How often callers do anything but read to the end.
        pub behaviours: BehaviourMix,
    }

    /// A client account and what it sends.
    pub struct Account {
        /// Unique name.
        pub name: String,
        /// API key, sent as a bearer token.
        pub key: String,
        /// Share of the arrivals relative to the weights of other accounts.
        pub weight: u32,
        /// Classes of the account's requests with their relative weights.
        pub mix: Vec<(ClassKey, u32)>,
    }

    /// What callers send over the whole run.
    pub struct Workload {
        /// Name in reports.
        pub name: String,
        /// Arrivals per 1,000 seconds at a phase rate of 100 percent.
        pub rate: u64,
        /// Maximum number of arrivals in a run.
        pub max_arrivals: u32,
        /// Maximum number of exchanges in progress; further arrivals are skipped and counted.
        pub max_open: u32,
        /// The excess of a gap between tokens over this threshold counts as stall time.
        pub stall_threshold: Duration,
        /// Phases in chronological order.
        pub phases: Vec<Phase>,
        /// Classes of requests, indexed by [`ClassKey`].
        pub classes: Vec<Class>,
        /// Client accounts, indexed by [`AccountKey`].
        pub accounts: Vec<Account>,
    }
}

impl Workload {
    /// Returns the class of `key`, which must belong to this workload.
    pub fn class(&self, key: ClassKey) -> &Class {
        &self.classes[usize::from(key.0)]
    }

    /// Returns the phase of `key`, which must belong to this workload.
    pub fn phase(&self, key: PhaseKey) -> &Phase {
        &self.phases[usize::from(key.0)]
    }

    /// Returns the account of `key`, which must belong to this workload.
    pub fn account(&self, key: AccountKey) -> &Account {
        &self.accounts[usize::from(key.0)]
    }

    /// Total duration of all phases.
    pub fn duration(&self) -> Duration {
        self.phases.iter().map(|phase| phase.duration).sum()
    }

    /// Scales the rate of arrivals to `percent` of its value.
    #[must_use]
    pub fn with_rate_percent(mut self, percent: u64) -> Self {
        self.rate = self.rate * percent / 100;
        self
    }
}
