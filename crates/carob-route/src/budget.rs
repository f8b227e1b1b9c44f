//! Budget for retries and hedges, so that an outage is not amplified.

/// Most retries that may be saved up.
const SAVED_LIMIT: f32 = 10.0;

/// Token bucket that first attempts fill and retries empty.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    balance: f32,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}

impl Budget {
    /// A full bucket.
    pub const fn new() -> Self {
        Self { balance: SAVED_LIMIT }
    }

    /// A first attempt earns `percent` hundredths of a retry.
    pub fn deposit(&mut self, percent: u16) {
        self.balance = (self.balance + f32::from(percent) / 100.0).min(SAVED_LIMIT);
    }

    /// Takes one retry, if there is one.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Retries left.
    pub const fn balance(&self) -> f32 {
        self.balance
    }
}
