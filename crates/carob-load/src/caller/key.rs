//! Idempotency keys.

use rand::{Rng, RngExt as _};

/// Returns a version 7 UUID (RFC 9562) with the timestamp `millis`, in milliseconds since the Unix epoch.
pub fn uuid_v7(millis: u64, rng: &mut impl Rng) -> String {
    let draw: u128 = rng.random();
    let time = u128::from(millis & 0xffff_ffff_ffff) << 80;
    let random = draw & 0x0fff_3fff_ffff_ffff_ffff;
    let bits = time | (7 << 76) | (2 << 62) | random;
    let hex = format!("{bits:032x}");
    [&hex[..8], &hex[8..12], &hex[12..16], &hex[16..20], &hex[20..]].join("-")
}
