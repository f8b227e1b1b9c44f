//! The caller's key, its age, and where its claim is stored.

use std::{fmt, time::Duration};

use carob_base::Name;
use carob_wire::{Code, Execution, Problem};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Prefix of the claims' keys in the store.
pub const PREFIX: &str = "carob/claim/";
/// Length of a UUID in its text form.
const UUID_LENGTH: usize = 36;

carob_base::plain! {
    /// The key of one non-idempotent call: client account, route and the caller's `Idempotency-Key`.
    pub struct Key {
        /// Digest of client account, route and the caller's key.
        pub id: u128,
        /// When the caller created the key, in milliseconds since 1970.
        pub created_at: u64,
    }

    /// Identifies one stored value, which holds the claims of one shard and one span of key times.
    pub struct Slot {
        /// Number of the span of key times.
        pub span: u64,
        /// Number of the shard.
        pub shard: u16,
    }

    /// Why a key cannot be used.
    #[derive(thiserror::Error)]
    pub enum Error {
        /// The text is not a UUID of version 7.
        #[error("the idempotency key is no UUID of version 7 (RFC 9562)")]
        Malformed,
        /// The key is so old that an outcome recorded for it may have expired.
        #[error("the idempotency key is older than outcomes are kept; an earlier call with it may have run")]
        TooOld,
        /// The key's time is too far ahead of this instance's clock.
        #[error("the idempotency key's time lies in the future; an earlier call with it may have run")]
        InFuture,
    }
}

impl Key {
    /// Parses the caller's `Idempotency-Key`, which must be a UUID of version 7 because the time in it bounds
    /// how long its claim has to be kept.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] if the text is not a UUID of version 7.
    pub fn new(account: &Name, route: &Name, text: &str) -> Result<Self, Error> {
        let uuid = parse_uuid(text.trim()).ok_or(Error::Malformed)?;
        let version = (uuid >> 76) & 0xf;
        let variant = (uuid >> 62) & 0x3;
        if version != 7 || variant != 0b10 {
            return Err(Error::Malformed);
        }
        let content = format!("{account}\n{route}\n{uuid:032x}");
        Ok(Self {
            id: xxh3_128(content.as_bytes()),
            created_at: (uuid >> 80) as u64,
        })
    }

    /// Checks that an outcome recorded for this key is certainly still stored; `wall` is the current time in
    /// milliseconds since 1970.
    ///
    /// # Errors
    ///
    /// Returns [`Error::TooOld`] if the key is older than `max_age`, and [`Error::InFuture`] if its time is
    /// ahead by more than `max_ahead`.
    pub fn check_age(&self, wall: u64, max_age: Duration, max_ahead: Duration) -> Result<(), Error> {
        if wall.saturating_sub(self.created_at) > max_age.as_millis() as u64 {
            return Err(Error::TooOld);
        }
        if self.created_at.saturating_sub(wall) > max_ahead.as_millis() as u64 {
            return Err(Error::InFuture);
        }
        Ok(())
    }

    /// The stored value that holds the claim.
    pub fn slot(&self, shards: u16, span: Duration) -> Slot {
        Slot {
            span: self.created_at / (span.as_millis() as u64).max(1),
            shard: (self.id % u128::from(shards.max(1))) as u16,
        }
    }
}

impl Error {
    /// The problem to report to the caller.
    pub fn to_problem(self) -> Problem {
        // A well-formed key outside its time window may have been accepted earlier, by this instance or
        // another.
        let ran = if self == Self::Malformed {
            Execution::NotRun
        } else {
            Execution::Unknown
        };
        Problem::new(Code::KeyRejected, ran, self.to_string())
    }
}

impl fmt::Display for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PREFIX}{:012}/{:05}", self.span, self.shard)
    }
}

/// Digest of a request, by which the reuse of a key with another request is detected.
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> u64 {
    let mut content = format!("{method} {path}\n").into_bytes();
    content.extend_from_slice(body);
    xxh3_64(&content)
}

fn parse_uuid(text: &str) -> Option<u128> {
    let dashes = [8, 13, 18, 23];
    if text.len() != UUID_LENGTH {
        return None;
    }
    let mut value = 0_u128;
    for (index, byte) in text.bytes().enumerate() {
        if dashes.contains(&index) {
            if byte != b'-' {
                return None;
            }
            continue;
        }
        let digit = char::from(byte).to_digit(16)?;
        value = value << 4 | u128::from(digit);
    }
    Some(value)
}
