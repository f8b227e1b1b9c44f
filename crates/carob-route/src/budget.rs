//! Budget for retries and hedges, so that an outage is not amplified.

/// Most retries that may be saved up.
const SAVED_LIMIT: f32 = 10.0;

/// Token bucket that first attempts fill and retries empty.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    saved: f32,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}

impl Budget {
    /// A full bucket.
    pub const fn new() -> Self {
        Self { saved: SAVED_LIMIT }
    }

    /// A first attempt earns `percent` hundredths of a retry.
    pub fn earn(&mut self, percent: u16) {
        self.saved = (self.saved + f32::from(percent) / 100.0).min(SAVED_LIMIT);
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// Retries left.
    pub const fn saved(&self) -> f32 {
        self.saved
    }
}
