//! Retry budget: limits retries and hedges to a share of the requests, so that they do not amplify an outage.

/// Maximum balance, in retries.
const CAPACITY: f32 = 10.0;

/// Token bucket that is filled by first attempts and drained by retries and hedges.
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
        Self { balance: CAPACITY }
    }

    /// Deposits `percent` hundredths of a retry, for a first attempt.
    pub fn deposit(&mut self, percent: u16) {
        self.balance = (self.balance + f32::from(percent) / 100.0).min(CAPACITY);
    }

    /// Withdraws one retry; returns `false` if the balance is below one.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Balance, in retries; may be fractional.
    pub const fn balance(&self) -> f32 {
        self.balance
    }
}
