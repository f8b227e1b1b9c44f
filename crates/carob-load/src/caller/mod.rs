//! One caller's exchange.
//!
//! * [`exchange`]: a generation as a pure state machine.
//! * [`generation`]: the driver that runs the state machine over sockets.
//! * [`plain`]: plain calls, sent again and twice at once where the workload says so.
//! * [`key`]: idempotency keys.

pub mod exchange;
pub mod generation;
pub mod key;
pub mod plain;

use std::{sync::Arc, time::Duration};

use carob_base::{Clock, Time};
use carob_http::client::Request;
use carob_wire::{Code, Problem};

use crate::{
    Target,
    arrivals::Arrival,
    check::{SendOutcome, Violation},
    workload::{Class, Kind, Workload},
};

carob_base::value! {
    /// How an exchange ended for its caller.
    pub enum Outcome {
        /// The answer came whole, or the upstream answered the plain call.
        Whole,
        /// The answer ended before its own end: at a limit that the caller did not set, or because it was cancelled.
        Incomplete,
        /// The answer ended with an explicit failure, whose code is known to this crate or not.
        Failed(Option<Code>),
        /// The request was refused with a problem document.
        Refused(Problem),
        /// The request was refused with this status, but without a readable problem document.
        Untyped(u16),
        /// The connection broke, and there was nothing to resume.
        Broken,
        /// The caller left on purpose.
        Vanished,
        /// The caller's patience ended.
        Expired,
    }

    /// All that an exchange showed.
    pub struct Record {
        /// The arrival that began it.
        pub arrival: Arrival,
        /// Key of the request in the upstreams' record.
        pub key: String,
        /// How each send of the request ended.
        pub sends: Vec<SendOutcome>,
        /// Text of a whole answer.
        pub text: Option<String>,
        /// When the request was first sent.
        pub sent_at: Time,
        /// When the first token came.
        pub first_token: Option<Time>,
        /// Times between tokens, without pauses that the caller made itself.
        pub gaps: Vec<Gap>,
        /// Tokens that came.
        pub tokens: u32,
        /// Times that the answer was resumed.
        pub resumed: u32,
        /// When the exchange ended.
        pub end: Time,
        /// How it ended.
        pub outcome: Outcome,
        /// Promises that were not kept.
        pub violations: Vec<Violation>,
    }
}

carob_base::plain! {
    /// Time between two tokens.
    pub struct Gap {
        /// When the later token came.
        pub end: Time,
        /// Time since the one before.
        pub duration: Duration,
    }
}

/// What every caller of a run shares.
#[derive(Clone, Debug)]
pub struct Context {
    /// What callers send.
    pub workload: Arc<Workload>,
    /// Where they send it.
    pub target: Arc<Target>,
    /// Clock that counts from the start of the run.
    pub clock: Clock,
}

impl Context {
    /// Runs the exchange of `arrival` to its end.
    pub fn run(&self, arrival: Arrival) -> Record {
        match self.workload.class(arrival.class).kind {
            Kind::Generation => generation::run(self, arrival),
            Kind::Lookup | Kind::Order => plain::run(self, arrival),
        }
    }

    fn class(&self, arrival: &Arrival) -> &Class {
        self.workload.class(arrival.class)
    }

    /// A request at the listener that is the `attempt`th to be tried for `arrival`.
    fn request(&self, arrival: &Arrival, attempt: u32, method: &str, path: &str) -> Request {
        let addresses = &self.target.addresses;
        let at = arrival.number.wrapping_add(attempt) as usize % addresses.len();
        let key = &self.workload.account(arrival.account).key;
        Request::new(method, addresses[at], path).with_header("authorization", format!("Bearer {key}"))
    }
}
