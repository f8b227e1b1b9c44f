//! Refuses frames that were seen before.

/// Sequences below the highest one that can still be told apart.
const WIDTH: u32 = u128::BITS;

/// The sequences seen in one incarnation of a sender; frames may overtake each other within it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    highest: u32,
    /// Bit `n` stands for the sequence `highest - n`.
    seen: u128,
}

impl ReplayWindow {
    /// Notes `sequence`; false if it was seen before or is too old to tell.
    pub fn accept(&mut self, sequence: u32) -> bool {
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            self.seen = self.seen.checked_shl(ahead).unwrap_or(0) | 1;
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        if sequence == 0 || behind >= WIDTH || self.seen & (1 << behind) != 0 {
            return false;
        }
        self.seen |= 1 << behind;
        true
    }
}
