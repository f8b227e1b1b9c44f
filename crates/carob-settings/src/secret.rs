//! Keys that must not appear in logs.

use std::fmt;

use bytes::Bytes;

/// A secret key. Its `Debug` form only contains its length.
#[derive(Clone, PartialEq, Eq, Default)]
pub struct Secret(Bytes);

impl Secret {
    /// Minimum length of a key, in bytes.
    pub const MIN_BYTES: usize = 16;

    /// A key that consists of `bytes`. The length is not checked against [`MIN_BYTES`](Self::MIN_BYTES).
    pub const fn new(bytes: Bytes) -> Self {
        Self(bytes)
    }

    /// The bytes of the key, which must not be logged.
    pub const fn bytes(&self) -> &Bytes {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Secret({} bytes)", self.0.len())
    }
}
