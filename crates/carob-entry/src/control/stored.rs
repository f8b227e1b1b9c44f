//! Results of store calls.

use carob_claim::CallId;
use carob_store::{Failure, Reply};

carob_base::plain! {
    /// The part of the control state that made a store call.
    pub enum Component {
        /// The state that follows the configuration.
        Config,
        /// Claims on idempotency keys.
        Claims(CallId),
        /// Orders to engines.
        Orders(carob_order::CallId),
    }
}

/// The result of a store call.
#[derive(Debug)]
pub struct StoreReply {
    /// The component that made the call.
    pub component: Component,
    /// The result.
    pub result: Result<Reply, Failure>,
}
