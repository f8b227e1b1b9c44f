//! Detects frames that were received before.

/// Number of sequence numbers, up to the highest one received, that are tracked.
const WIDTH: u32 = u128::BITS;

/// The sequence numbers received in one incarnation of a sender. Within the window, frames may arrive in any
/// order.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    highest: u32,
    /// Bit `n` is set if the sequence number `highest - n` was received.
    received: u128,
}

impl ReplayWindow {
    /// Records `sequence`. Returns false if it was received before or is too old to tell.
    pub fn accept(&mut self, sequence: u32) -> bool {
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            self.received = self.received.checked_shl(ahead).unwrap_or(0) | 1;
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        if sequence == 0 || behind >= WIDTH || self.received & (1 << behind) != 0 {
            return false;
        }
        self.received |= 1 << behind;
        true
    }
}
