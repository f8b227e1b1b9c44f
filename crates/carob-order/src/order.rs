//! Orders and the intents recorded for them.

use carob_base::Name;
use serde::{Deserialize, Serialize};

use crate::FencingNumber;

carob_base::value! {
    /// An order to an engine.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum Order {
        /// Load this model or model version in place of the current one.
        LoadModel(String),
        /// Load this adapter for the current model.
        LoadAdapter(String),
        /// Switch to this role.
        ChangeRole(String),
    }

    /// Stored record of the last order that any instance was about to send to an upstream.
    #[derive(Serialize, Deserialize)]
    pub struct Intent {
        /// Fencing number under which the order is sent.
        pub fence: u64,
        /// Order that is sent.
        pub order: Order,
        /// The upstream has shown the order's effect or needs no order any more, so that none is outstanding.
        pub settled: bool,
    }
}

carob_base::plain! {
    /// Result of sending an order.
    pub enum Outcome {
        /// The engine accepted the order and is carrying it out.
        Accepted,
        /// The engine refused the order because it has seen a higher fencing number.
        OldFence,
        /// The engine refused the order for another reason.
        Refused,
        /// The order was certainly not sent.
        NotSent,
        /// The order may or may not have arrived.
        Unknown,
    }
}

impl Order {
    /// Whether the order makes the engine read from the weight store.
    pub const fn loads_weights(&self) -> bool {
        matches!(self, Self::LoadModel(_) | Self::LoadAdapter(_))
    }

    /// Short description for log lines.
    pub fn describe(&self) -> String {
        match self {
            Self::LoadModel(name) => format!("load model {name}"),
            Self::LoadAdapter(name) => format!("load adapter {name}"),
            Self::ChangeRole(name) => format!("change role to {name}"),
        }
    }
}

/// Store key of the intent for one upstream.
pub fn intent_key(upstream: &Name) -> String {
    format!("carob/order/intent/{upstream}")
}

impl Intent {
    /// Creates the intent for an order that is about to be sent.
    pub const fn new(fence: FencingNumber, order: Order) -> Self {
        Self {
            fence: fence.0,
            order,
            settled: false,
        }
    }
}
