//! One caller's exchange.
//!
//! * [`exchange`]: a generation as a pure state machine.
//! * [`generation`]: the driver that runs the state machine over sockets.
//! * [`plain`]: plain calls, with the repeats and duplicates that the workload asks for.
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
        /// The complete answer was received, or the upstream answered the plain call.
        Whole,
        /// The answer ended early: at a limit that the caller did not set, or because it was cancelled.
        Incomplete,
        /// The answer ended with an explicit failure; `None` if its code is not a known [`Code`].
        Failed(Option<Code>),
        /// The request was refused with a problem document.
        Refused(Problem),
        /// The request was refused with this status, but without a readable problem document.
        Untyped(u16),
        /// The connection failed and the answer could not be resumed.
        Broken,
        /// The caller disconnected on purpose.
        Vanished,
        /// The caller's timeout elapsed.
        Expired,
    }

    /// What the caller observed during one exchange.
    pub struct Record {
        /// Arrival that started the exchange.
        pub arrival: Arrival,
        /// Key of the request in the upstreams' record: its idempotency key, or else its tag.
        pub key: String,
        /// How each send of the request ended.
        pub sends: Vec<SendOutcome>,
        /// Text of a complete generated answer.
        pub text: Option<String>,
        /// When the request was first sent.
        pub sent_at: Time,
        /// When the first token was received.
        pub first_token: Option<Time>,
        /// Times between tokens, without the delays that the caller caused itself.
        pub gaps: Vec<Gap>,
        /// Number of tokens received.
        pub tokens: u32,
        /// Number of times that the answer was resumed.
        pub resumed: u32,
        /// When the exchange ended.
        pub end: Time,
        /// How the exchange ended.
        pub outcome: Outcome,
        /// Violations found during the exchange.
        pub violations: Vec<Violation>,
    }
}

carob_base::plain! {
    /// Time between two tokens.
    pub struct Gap {
        /// When the later token was received.
        pub end: Time,
        /// Time since the earlier token.
        pub duration: Duration,
    }
}

/// State shared by all callers of a run.
#[derive(Clone, Debug)]
pub struct Context {
    /// What callers send.
    pub workload: Arc<Workload>,
    /// Where callers send it.
    pub target: Arc<Target>,
    /// Clock that counts from the start of the run.
    pub clock: Clock,
}

impl Context {
    /// Runs the exchange of `arrival` and blocks until it ends.
    pub fn run(&self, arrival: Arrival) -> Record {
        match self.workload.class(arrival.class).kind {
            Kind::Generation => generation::run(self, arrival),
            Kind::Lookup | Kind::Order => plain::run(self, arrival),
        }
    }

    fn class(&self, arrival: &Arrival) -> &Class {
        self.workload.class(arrival.class)
    }

    /// Builds the request for attempt number `attempt`, counted from 0. The arrivals start at the listeners
    /// in turn, and each further attempt goes to the next listener.
    fn request(&self, arrival: &Arrival, attempt: u32, method: &str, path: &str) -> Request {
        let addresses = &self.target.addresses;
        let index = arrival.number.wrapping_add(attempt) as usize % addresses.len();
        let key = &self.workload.account(arrival.account).key;
        Request::new(method, addresses[index], path).with_header("authorization", format!("Bearer {key}"))
    }
}
