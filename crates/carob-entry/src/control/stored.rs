//! Results of store calls.

use carob_claim::CallId;
use carob_store::{Failure, Reply};

carob_base::plain! {
    /// Which part of the control state made a call.
    pub enum Part {
        /// Following of the configuration.
        Config,
        /// Claims on idempotency keys.
        Claims(CallId),
        /// Orders to engines.
        Orders(carob_order::CallId),
    }
}

/// The result of a store call.
#[derive(Debug)]
pub struct Stored {
    /// Who made it.
    pub part: Part,
    /// The result.
    pub result: Result<Reply, Failure>,
}
