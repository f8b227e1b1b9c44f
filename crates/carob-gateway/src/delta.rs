//! Large values in messages between instances, as differences from the value before.
//!
//! A configuration is too large for a datagram to each of hundreds of instances: a link takes 0.2 s for that, and drops what
//! does not fit its queue. If it were left out, every instance that does not watch would ask the store for it. Its versions
//! differ little.
//!
//! There are two forms. A *difference* is the value compressed with the one before as its dictionary, of which only the last
//! 64 KiB count. A *patch* names the blocks that both have in common, however large they are; it is made from the value
//! before, or from its [`signature`] by an instance that does not have it.

use std::collections::HashMap;

use bytes::Bytes;
use carob_platform::store::Item as StoreItem;
use fast_rsync::{ApplyError, DiffError, Signature, SignatureOptions, SignatureParseError};
use lz4_flex::block::{self, DecompressError};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::peer::Item;

/// Values of at most this many bytes are passed on as they are.
const MAX_PLAIN: usize = 1 << 10;

/// Maximum size of a value that is passed on as a difference, in bytes: longer ones take long to compare.
const MAX_VALUE: usize = 256 << 10;

/// How far a difference refers back, in bytes. Patches of larger values are shorter.
const WINDOW: usize = 64 << 10;

/// Maximum size of a value that is patched, in bytes: that of the store's values.
const MAX_PATCHED: usize = 1 << 20;

/// Size in bytes of the blocks that patches name, if they are made from the value before. Shorter ones that are alike make
/// patches longer, as each is named for itself.
const FINE_BLOCK: u32 = 512;

/// The same if they are made from a signature, which holds [`HASH_BYTES`] and four more for each block.
const COARSE_BLOCK: u32 = 1 << 10;

/// Size of the hashes of blocks in a signature. Two blocks with the same one are told apart by the hash of the whole value.
const HASH_BYTES: u32 = 8;

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
    /// The patch is damaged.
    #[error("patch cannot be applied: {0}")]
    Patch(#[from] ApplyError),
    /// The patch leads to another value.
    #[error("expected a patched value with the hash {expected:016x}, found {found:016x}")]
    Mismatch {
        /// Hash of the value that the sender has.
        expected: u64,
        /// Hash of the value that the patch leads to.
        found: u64,
    },
    /// No signature can be read.
    #[error("signature cannot be read: {0}")]
    Signature(#[from] SignatureParseError),
    /// No patch can be made from the signature.
    #[error("no patch: {0}")]
    Diff(#[from] DiffError),
}

/// Encodes an item; its value as a difference or a patch from `known`, the value before, if that is shorter.
pub(crate) fn encode(item: StoreItem, known: Option<&[u8]>) -> Item {
    let known = known.unwrap_or_default();
    let mut encoded = Item::from(item);
    let Some(value) = &encoded.value else {
        return encoded;
    };
    if value == known && value.len() > MAX_PLAIN {
        // It was passed on before; that it is the one with this hash says enough.
        encoded.value_hash = hash(value);
        encoded.known_hash = encoded.value_hash;
        encoded.value = None;
        encoded.patch = Some(Bytes::new());
        return encoded;
    }
    let (delta, made) = if known.len() <= WINDOW {
        (difference(value, known), None)
    } else {
        (None, patch(value, known))
    };
    if delta.is_some() || made.is_some() {
        encoded.value_hash = hash(value);
        encoded.known_hash = hash(known);
        encoded.value = None;
        encoded.delta = delta.map(Bytes::from);
        encoded.patch = made.map(Bytes::from);
    }
    encoded
}

/// Encodes an item; its value as a patch of one that another instance holds, of which that has sent the `signature`.
pub(crate) fn encode_signed(mut item: Item, signature: &[u8], known_hash: u64) -> Item {
    let made = item.value.as_ref().map(|value| patch_signed(value, signature));
    match (made, &item.value) {
        (Some(Ok(made)), Some(value)) if made.len() < value.len() => {
            item.value_hash = hash(value);
            item.known_hash = known_hash;
            item.value = None;
            item.patch = Some(made.into());
        }
        (Some(Err(error)), _) => log::debug!(error:% = error; "value not sent as a patch"),
        _ => {}
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

/// Values of a key that are known, of which differences may be made.
pub(crate) type Known = SmallVec<[Bytes; 4]>;

/// Decodes items; `known` returns the values of a key that are known here, the newest first. An item that cannot be decoded is
/// left out.
pub(crate) fn decode(items: Vec<Item>, known: impl Fn(&str) -> Known) -> Decoded {
    // A key may have changed several times.
    let mut earlier: HashMap<String, Known> = HashMap::new();
    let mut decoded = Decoded::default();
    for item in items {
        let values = earlier
            .entry(item.key.clone())
            .or_insert_with(|| known(&item.key));
        match decode_item(item, values) {
            Ok(item) => {
                values.extend(item.value.clone());
                decoded.items.push(item);
            }
            Err(error) => {
                decoded.error.get_or_insert(error);
            }
        }
    }
    decoded
}

/// Decodes an item, of whose key the `known` values are known.
///
/// # Errors
///
/// Returns an [`Error`] if it is a difference or a patch that cannot be applied.
pub(crate) fn decode_item(mut item: Item, known: &Known) -> Result<StoreItem, Error> {
    if item.delta.is_none() && item.patch.is_none() {
        return Ok(item.into());
    }
    let find = |expected| known.iter().find(|value| hash(value) == expected);
    item.value = if let Some(value) = find(item.value_hash).filter(|_| item.value_hash != 0) {
        // Another way was faster.
        Some(value.clone())
    } else {
        let before = find(item.known_hash)
            .or(known.first())
            .cloned()
            .unwrap_or_default();
        match (item.patch.take(), item.delta.take()) {
            (Some(patch), _) => Some(apply_patch(&patch, (item.known_hash, item.value_hash), &before)?),
            (None, delta) => Some(apply(&delta.unwrap_or_default(), item.known_hash, &before)?),
        }
    };
    Ok(item.into())
}

/// Identifies the blocks of a value, so that an instance which does not have it can make patches of it.
pub fn signature(value: &[u8]) -> Vec<u8> {
    let options = SignatureOptions {
        block_size: COARSE_BLOCK,
        crypto_hash_size: HASH_BYTES,
    };
    Signature::calculate(value, options).into_serialized()
}

/// Returns the patch that leads from `known`, the value before, to `value`, if it is shorter than the value.
pub fn patch(value: &[u8], known: &[u8]) -> Option<Vec<u8>> {
    if value.len() <= MAX_PLAIN || value.len().max(known.len()) > MAX_PATCHED {
        return None;
    }
    let options = SignatureOptions {
        block_size: FINE_BLOCK,
        crypto_hash_size: HASH_BYTES,
    };
    let made = diff(value, &Signature::calculate(known, options)).ok()?;
    (made.len() < value.len()).then_some(made)
}

/// Returns the patch that leads to `value` from the one of which `signature` is.
///
/// # Errors
///
/// Returns an [`Error`] if `signature` is none, or the value is too large.
pub fn patch_signed(value: &[u8], signature: &[u8]) -> Result<Vec<u8>, Error> {
    if value.len() > MAX_PATCHED {
        return Err(Error::TooLong(value.len()));
    }
    diff(value, &Signature::deserialize(signature.to_vec())?)
}

fn diff(value: &[u8], known: &Signature) -> Result<Vec<u8>, Error> {
    let mut steps = Vec::new();
    fast_rsync::diff(&known.index(), value, &mut steps)?;
    Ok(block::compress_prepend_size(&steps))
}

/// Returns the value with the hash `led`, to which `patch` leads from the value with the hash `expected`; `known` is the value
/// here.
///
/// # Errors
///
/// Returns an [`Error`] if `known` is another value, or if `patch` does not lead to a value of permitted size with that hash.
pub fn apply_patch(patch: &[u8], (expected, led): (u64, u64), known: &[u8]) -> Result<Bytes, Error> {
    let found = hash(known);
    if found != expected {
        return Err(Error::OtherValue { expected, found });
    }
    // Steps are at most as long as the value that they lead to, and a few bytes.
    let steps = block::decompress_size_prepended(checked(patch, 2 * MAX_PATCHED)?)?;
    let mut value = Vec::new();
    fast_rsync::apply_limited(known, &steps, &mut value, MAX_PATCHED)?;
    let found = hash(&value);
    if found != led {
        return Err(Error::Mismatch { expected: led, found });
    }
    Ok(value.into())
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
