//! Orders to load models, adapters and versions, or to change role.

use serde_json::{Value, json};

use super::Options;

carob_base::value! {
    /// An order that was taken.
    pub struct Order {
        /// The fencing number that came with it.
        pub fencing_number: Option<u64>,
        /// Its JSON.
        pub body: String,
    }
}

/// What is in force, and how it came about.
#[derive(Debug)]
pub(super) struct Orders {
    checks: bool,
    highest: u64,
    taken: Vec<Order>,
    model: String,
    adapter: Option<String>,
    version: Option<String>,
    role: String,
}

/// Why an order is refused: the number that it should at least carry.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stale(u64);

impl Stale {
    pub(super) fn to_json(self) -> Value {
        json!({ "error": "stale fencing number", "highest": self.0 })
    }
}

impl Orders {
    pub(super) fn new(options: &Options) -> Self {
        Self {
            checks: options.checks_fencing,
            highest: 0,
            taken: Vec::new(),
            model: options.model.clone(),
            adapter: None,
            version: None,
            role: "both".to_owned(),
        }
    }

    pub(super) fn taken(&self) -> &[Order] {
        &self.taken
    }

    /// Carries an order out, unless its number is checked and too old.
    pub(super) fn take(&mut self, fencing_number: Option<u64>, body: &Value) -> Result<(), Stale> {
        let number = fencing_number.unwrap_or_default();
        if self.checks && number < self.highest {
            return Err(Stale(self.highest));
        }
        self.highest = self.highest.max(number);
        self.taken.push(Order {
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

    /// What is in force.
    pub(super) fn to_json(&self) -> Value {
        json!({
            "model": self.model,
            "adapter": self.adapter,
            "version": self.version,
            "role": self.role,
            "fencing": self.highest,
            "taken": self.taken.len(),
        })
    }
}
