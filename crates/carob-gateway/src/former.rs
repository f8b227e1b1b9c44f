//! Values that a key had lately.
//!
//! Two instances that watch the store may pass on different versions of the configuration, each as a difference from the one
//! before that it has seen itself. One that receives both uses each of them.

use std::collections::VecDeque;

use bytes::Bytes;

/// Maximum number of values that are kept, and of their bytes; the newest is kept whatever its size.
const MAX_VALUES: usize = 8;
const MAX_BYTES: usize = 1 << 20;

/// Values that a key had lately, the newest first.
#[derive(Clone, Debug, Default)]
pub struct FormerValues {
    values: VecDeque<Bytes>,
}

impl FormerValues {
    /// Keeps no value yet.
    pub const fn new() -> Self {
        Self {
            values: VecDeque::new(),
        }
    }

    /// Adds a value, and drops the oldest ones if there are too many.
    pub fn insert(&mut self, value: Bytes) {
        self.values.retain(|known| *known != value);
        self.values.push_front(value);
        while self.values.len() > MAX_VALUES || (self.values.len() > 1 && self.bytes() > MAX_BYTES) {
            self.values.pop_back();
        }
    }

    /// The values, the newest first.
    pub fn iter(&self) -> impl Iterator<Item = &Bytes> {
        self.values.iter()
    }

    fn bytes(&self) -> usize {
        self.values.iter().map(Bytes::len).sum()
    }
}
