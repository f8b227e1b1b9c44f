//! Orders to load a model, with an optional adapter and an optional version, or to change the engine's role.
//! The version is only stored and reported.

use serde_json::{Value, json};

use super::Options;

carob_base::value! {
    /// An order that the engine accepted.
    pub struct Order {
        /// Fencing number of the order; `None` if the fencing header is missing or invalid.
        pub fencing_number: Option<u64>,
        /// JSON text of the order.
        pub body: String,
    }
}

/// The current model, adapter, version and role, with the orders that led to them.
#[derive(Debug)]
pub(super) struct Orders {
    checks_fencing: bool,
    highest_fencing: u64,
    accepted: Vec<Order>,
    model: String,
    adapter: Option<String>,
    version: Option<String>,
    role: String,
}

/// Refusal of an order whose fencing number is below the highest one accepted; holds that highest one.
#[derive(Clone, Copy, Debug)]
pub(super) struct StaleFencing(u64);

impl StaleFencing {
    pub(super) fn to_json(self) -> Value {
        json!({ "error": "stale fencing number", "highest": self.0 })
    }
}

impl Orders {
    pub(super) fn new(options: &Options) -> Self {
        Self {
            checks_fencing: options.checks_fencing,
            highest_fencing: 0,
            accepted: Vec::new(),
            model: options.model.clone(),
            adapter: None,
            version: None,
            role: "both".to_owned(),
        }
    }

    pub(super) fn accepted(&self) -> &[Order] {
        &self.accepted
    }

    /// Applies an order, unless fencing numbers are checked and its number is stale. A missing number counts
    /// as 0.
    pub(super) fn apply(&mut self, fencing_number: Option<u64>, body: &Value) -> Result<(), StaleFencing> {
        let number = fencing_number.unwrap_or_default();
        if self.checks_fencing && number < self.highest_fencing {
            return Err(StaleFencing(self.highest_fencing));
        }
        self.highest_fencing = self.highest_fencing.max(number);
        self.accepted.push(Order {
            fencing_number,
            body: body.to_string(),
        });
        let text = |name: &str| body[name].as_str().map(str::to_owned);
        if body["order"] == "role" {
            self.role = text("role").unwrap_or_default();
        } else {
            self.model = text("model").unwrap_or_else(|| self.model.clone());
            self.adapter = text("adapter");
            self.version = text("version");
        }
        Ok(())
    }

    /// Returns the current model, adapter, version and role, with the highest fencing number and the number of
    /// orders accepted.
    pub(super) fn to_json(&self) -> Value {
        json!({
            "model": self.model,
            "adapter": self.adapter,
            "version": self.version,
            "role": self.role,
            "fencing": self.highest_fencing,
            "taken": self.accepted.len(),
        })
    }
}
