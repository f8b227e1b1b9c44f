//! Repeatable random numbers.

/// A generator of the kind `SplitMix64`.
pub struct Random(u64);

impl Random {
    pub const fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub const fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number below `bound`, which is above 0.
    pub const fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    /// True in `percent` of a hundred cases.
    pub const fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    pub const fn pick<T: Copy>(&mut self, items: &[T]) -> T {
        items[self.below(items.len() as u64) as usize]
    }
}
