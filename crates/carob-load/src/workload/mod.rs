//! What callers send: phases, classes of requests and client accounts.
//!
//! * [`parse`]: the text form, a small INI file.
//! * [`size`]: distributions of prompt and answer lengths.

pub mod parse;
pub mod size;

use std::time::Duration;

pub use parse::Error;
pub use size::LengthDistribution;

/// Example: wholesale orders with long drafted quotes, short stock answers and a burst.
pub const WHOLESALE: &str = include_str!("../../workloads/wholesale.ini");
/// Example: enrolment in courses with long course plans and an intake week.
pub const ENROLMENT: &str = include_str!("../../workloads/enrolment.ini");

/// Version of the text form; other versions are refused.
pub const VERSION: u32 = 1;

carob_base::plain! {
    /// Key of a [`Phase`] within its workload.
    pub struct PhaseKey(pub u16);

    /// Key of a [`Class`] within its workload.
    pub struct ClassKey(pub u16);

    /// Key of an [`Account`] within its workload.
    pub struct AccountKey(pub u16);

    /// What a class of requests asks for.
    pub enum Kind {
        /// A generation, delivered as a stream of events.
        Generation,
        /// A call that may run more than once.
        Lookup,
        /// A call that must run at most once; sent with an idempotency key.
        Order,
    }

    /// Shares of the exchanges in which the caller misbehaves, each in percent.
    #[derive(Default)]
    pub struct BehaviourMix {
        /// Callers that leave in the middle of an answer and never come back.
        pub vanish: u8,
        /// Callers that pause after each event.
        pub slow: u8,
        /// Length of a slow caller's pause.
        pub pause: Duration,
        /// Callers whose connection breaks once in the middle of an answer and who resume it.
        pub resume: u8,
        /// Callers that send the same request again, with the same idempotency key, when it has ended.
        pub repeat: u8,
        /// Callers that send a second copy of the request at the same time, with the same idempotency key.
        pub duplicate: u8,
    }
}

carob_base::value! {
    /// A stretch of time with one rate of arrivals.
    pub struct Phase {
        /// Unique name.
        pub name: String,
        /// Length.
        pub duration: Duration,
        /// Rate in percent of the workload's rate.
        pub rate_percent: u32,
    }

    /// A class of requests that are alike.
    pub struct Class {
        /// Unique name.
        pub name: String,
        /// What the requests ask for.
        pub kind: Kind,
        /// HTTP method of a plain call.
        pub method: String,
        /// Path at the callers' listener.
        pub path: String,
        /// Model of a generation; the route decides if it is missing.
        pub model: Option<String>,
        /// Lengths of prompts, in tokens; body sizes in bytes of plain calls.
        pub prompt: LengthDistribution,
        /// Lengths of answers, in tokens.
        pub output: LengthDistribution,
        /// Time after which the caller gives up on the whole exchange.
        pub timeout: Duration,
        /// Longest permitted wait for a refusal.
        pub refusal_timeout: Duration,
        /// Shares of misbehaving callers.
        pub behaviours: BehaviourMix,
    }

    /// A client account and what it sends.
    pub struct Account {
        /// Unique name.
        pub name: String,
        /// Bearer key.
        pub key: String,
        /// Share of all arrivals relative to other accounts.
        pub weight: u32,
        /// Classes with their relative weights.
        pub mix: Vec<(ClassKey, u32)>,
    }

    /// What callers send over the whole run.
    pub struct Workload {
        /// Name, for reports.
        pub name: String,
        /// Arrivals in a thousand seconds at a phase rate of 100 percent.
        pub rate: u64,
        /// Most arrivals of a run.
        pub max_arrivals: u32,
        /// Most exchanges in progress; arrivals beyond it are counted and left out.
        pub max_open: u32,
        /// Gap between tokens beyond which the excess counts as stall time.
        pub stall_threshold: Duration,
        /// Phases in order.
        pub phases: Vec<Phase>,
        /// Classes of requests.
        pub classes: Vec<Class>,
        /// Client accounts.
        pub accounts: Vec<Account>,
    }
}

impl Workload {
    /// The class under `key`, which must come from this workload.
    pub fn class(&self, key: ClassKey) -> &Class {
        &self.classes[usize::from(key.0)]
    }

    /// The phase under `key`, which must come from this workload.
    pub fn phase(&self, key: PhaseKey) -> &Phase {
        &self.phases[usize::from(key.0)]
    }

    /// The account under `key`, which must come from this workload.
    pub fn account(&self, key: AccountKey) -> &Account {
        &self.accounts[usize::from(key.0)]
    }

    /// Length of all phases together.
    pub fn duration(&self) -> Duration {
        self.phases.iter().map(|phase| phase.duration).sum()
    }

    /// The same workload at `percent` of its rate.
    #[must_use]
    pub fn with_rate_percent(mut self, percent: u64) -> Self {
        self.rate = self.rate * percent / 100;
        self
    }
}
