//! Large values in messages between instances, as differences from the value before.
//!
//! A configuration is too large for a datagram to each of hundreds of instances: a link takes 0.2 s for that, and drops what
//! does not fit its queue. If it were left out, every instance that does not watch would ask the store for it. Its versions
//! differ little.

use std::collections::HashMap;

use bytes::Bytes;
use carob_platform::store::Item as StoreItem;
use lz4_flex::block::{self, DecompressError};
use xxhash_rust::xxh3::xxh3_64;

use crate::peer::Item;

/// Values of at most this many bytes are passed on as they are.
const MAX_PLAIN: usize = 1 << 10;

/// Maximum size of a value that is passed on as a difference, in bytes: longer ones take long to compare.
const MAX_VALUE: usize = 256 << 10;

/// Hash of a value that differences refer to.
pub fn hash(value: &[u8]) -> u64 {
    xxh3_64(value)
}

/// Bytes of the value's length before a difference, little-endian.
const LENGTH_BYTES: usize = 4;

/// Why a difference cannot be applied.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The value before is another one here.
    #[error("expected the value before with the hash {expected:016x}, found {found:016x}")]
    OtherValue {
        /// Hash of the value that the sender has compared with.
        expected: u64,
        /// Hash of the known one.
        found: u64,
    },
    /// The value would be too large.
    #[error("expected a value of permitted size, found {0} bytes")]
    TooLong(usize),
    /// There is no length.
    #[error("expected a length of {LENGTH_BYTES} bytes, found {0}")]
    NoLength(usize),
    /// The difference is damaged.
    #[error("difference cannot be read: {0}")]
    Damaged(#[from] DecompressError),
}

/// Encodes an item; its value as a difference from `known`, the value before, if that is shorter.
pub(crate) fn encode(item: StoreItem, known: Option<&[u8]>) -> Item {
    let known = known.unwrap_or_default();
    let delta = item.value.as_ref().and_then(|value| difference(value, known));
    let mut item = Item::from(item);
    if let Some(delta) = delta {
        item.value_hash = item.value.as_ref().map_or(0, |value| hash(value));
        item.value = None;
        item.delta = Some(delta.into());
        item.known_hash = hash(known);
    }
    item
}

/// Items that were decoded, and why others were not.
#[derive(Debug, Default)]
pub(crate) struct Decoded {
    /// In their order.
    pub items: Vec<StoreItem>,
    /// Why the first of the others cannot be decoded.
    pub error: Option<Error>,
}

/// Decodes items in their order; `known` returns the value before of a key. One that cannot be decoded is left out, as are later
/// ones that rest on it.
pub(crate) fn decode(items: Vec<Item>, known: impl Fn(&str) -> Option<Bytes>) -> Decoded {
    // A key may have changed several times.
    let mut latest: HashMap<String, Option<Bytes>> = HashMap::new();
    let mut decoded = Decoded::default();
    for item in items {
        let before = latest.get(&item.key).cloned().unwrap_or_else(|| known(&item.key));
        match decode_item(item, before) {
            Ok(item) => {
                latest.insert(item.key.clone(), item.value.clone());
                decoded.items.push(item);
            }
            Err(error) => {
                decoded.error.get_or_insert(error);
            }
        }
    }
    decoded
}

/// Decodes an item, with `before` as the known value of its key.
///
/// # Errors
///
/// Returns an [`Error`] if it is a difference that cannot be applied.
pub(crate) fn decode_item(mut item: Item, before: Option<Bytes>) -> Result<StoreItem, Error> {
    let Some(delta) = item.delta.take() else {
        return Ok(item.into());
    };
    let before = before.unwrap_or_default();
    item.value = if item.value_hash != 0 && hash(&before) == item.value_hash {
        // Another way was faster.
        Some(before)
    } else {
        Some(apply(&delta, item.known_hash, &before)?)
    };
    Ok(item.into())
}

/// Checks the length at the beginning of compressed bytes.
fn checked(bytes: &[u8], limit: usize) -> Result<&[u8], Error> {
    let Some((length, _rest)) = bytes.split_first_chunk::<LENGTH_BYTES>() else {
        return Err(Error::NoLength(bytes.len()));
    };
    let length = u32::from_le_bytes(*length) as usize;
    if length > limit {
        return Err(Error::TooLong(length));
    }
    Ok(bytes)
}

/// Returns the difference of a large value from `known`, the value before, if it is shorter than the value.
pub fn difference(value: &[u8], known: &[u8]) -> Option<Vec<u8>> {
    if value.len() <= MAX_PLAIN || value.len() > MAX_VALUE {
        return None;
    }
    let delta = block::compress_prepend_size_with_dict(value, known);
    (delta.len() < value.len()).then_some(delta)
}

/// Returns the value whose difference from the value with the hash `expected` is `delta`; `known` is the value before here.
///
/// # Errors
///
/// Returns an [`Error`] if `known` is another value, or if `delta` is no difference of a value of permitted size.
pub fn apply(delta: &[u8], expected: u64, known: &[u8]) -> Result<Bytes, Error> {
    let found = hash(known);
    if found != expected {
        return Err(Error::OtherValue { expected, found });
    }
    let delta = checked(delta, MAX_VALUE)?;
    Ok(block::decompress_size_prepended_with_dict(delta, known)?.into())
}
