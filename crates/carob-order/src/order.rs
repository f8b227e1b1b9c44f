//! Orders and the intents that are recorded for them.

use carob_base::Name;
use serde::{Deserialize, Serialize};

use crate::FencingNumber;

carob_base::value! {
    /// An order to an engine.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum Order {
        /// Load this model or model version, in place of the present one.
        LoadModel(String),
        /// Load this adapter for the present model.
        LoadAdapter(String),
        /// Change to this role.
        ChangeRole(String),
    }

    /// What the store keeps for one upstream: the last order that anyone meant to give it.
    #[derive(Serialize, Deserialize)]
    pub struct Intent {
        /// Fencing number under which the order was to be given.
        pub fence: u64,
        /// The order.
        pub order: Order,
        /// Whether the upstream has shown the order's effect or refused it, so that nothing is under way.
        pub settled: bool,
    }
}

carob_base::plain! {
    /// Result of sending an order.
    pub enum Outcome {
        /// The engine accepted the order and works on it.
        Accepted,
        /// The engine has seen a higher fencing number.
        OldFence,
        /// The engine refused the order for another reason.
        Refused,
        /// The order was certainly not sent.
        NotSent,
        /// Whether the order arrived is not known.
        Unknown,
    }
}

impl Order {
    /// Whether the order makes the engine read from the weight store.
    pub const fn loads_weights(&self) -> bool {
        matches!(self, Self::LoadModel(_) | Self::LoadAdapter(_))
    }

    /// Short name for logs.
    pub fn describe(&self) -> String {
        match self {
            Self::LoadModel(name) => format!("load model {name}"),
            Self::LoadAdapter(name) => format!("load adapter {name}"),
            Self::ChangeRole(name) => format!("change role to {name}"),
        }
    }
}

/// The store's key for the intent of one upstream.
pub fn intent_key(upstream: &Name) -> String {
    format!("carob/order/intent/{upstream}")
}

impl Intent {
    /// An order that is about to be given.
    pub const fn new(fence: FencingNumber, order: Order) -> Self {
        Self {
            fence: fence.0,
            order,
            settled: false,
        }
    }
}
