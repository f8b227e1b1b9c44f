//! Identifies equal requests.

use carob_base::Name;
use xxhash_rust::xxh3::xxh3_64_with_seed;

carob_base::plain! {
    /// Digest of a request's service and body. The client account is left out, since a request crashes an
    /// upstream whoever sends it.
    pub struct Fingerprint(pub u64);
}

impl Fingerprint {
    /// Computes the fingerprint of a request to `service` with this body.
    pub fn new(service: &Name, body: &[u8]) -> Self {
        let seed = xxh3_64_with_seed(service.as_str().as_bytes(), 0);
        Self(xxh3_64_with_seed(body, seed))
    }
}
