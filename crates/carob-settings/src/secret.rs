//! Keys that must not show.

use std::fmt;

use bytes::Bytes;

/// A key; its `Debug` form does not show it.
#[derive(Clone, PartialEq, Eq, Default)]
pub struct Secret(Bytes);

impl Secret {
    /// Shortest permitted key, in bytes.
    pub const MIN_BYTES: usize = 16;

    /// A key out of its bytes.
    pub const fn new(bytes: Bytes) -> Self {
        Self(bytes)
    }

    /// The key's bytes.
    pub const fn bytes(&self) -> &Bytes {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Secret({} bytes)", self.0.len())
    }
}
