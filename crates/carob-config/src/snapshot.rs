//! A complete configuration with its digest and lookups.

use std::{collections::BTreeMap, fmt};

use carob_base::Name;

use crate::{
    canonical::Writer,
    object::{Account, Route, Service, Upstream},
};

carob_base::plain! {
    /// Number of a configuration: how many change tickets were accepted up to it. 0 is the empty
    /// configuration.
    #[derive(Default)]
    pub struct Revision(pub u64);

    /// XXH3 digest of a configuration's canonical text. Equal revisions have equal digests on every instance.
    pub struct Digest(pub u64);
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{}", self.0)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The complete configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Config {
    /// Number of accepted tickets that led to this configuration.
    pub revision: Revision,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// Client accounts by name.
    pub accounts: BTreeMap<Name, Account>,
    /// Routes by name.
    pub routes: BTreeMap<Name, Route>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<Name, Upstream>,
}

impl Config {
    /// The account whose bearer key has the SHA-256 digest `key_hash`. Takes time linear in the number of
    /// accounts.
    pub fn account_by_key(&self, key_hash: &[u8; 32]) -> Option<&Account> {
        self.accounts
            .values()
            .find(|account| &account.key_hash == key_hash)
    }

    /// The route for a request: of those that permit `method`, the one with the longest matching path prefix.
    ///
    /// A prefix matches complete path segments only.
    pub fn route_for(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes
            .values()
            .filter(|route| is_path_prefix(&route.path, path))
            .filter(|route| route.methods.is_empty() || route.methods.iter().any(|m| m == method))
            .max_by_key(|route| route.path.len())
    }

    /// The upstreams of `service`, sorted by name.
    pub fn upstreams_of<'a>(&'a self, service: &'a Name) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams
            .values()
            .filter(move |upstream| &upstream.service == service)
    }

    /// The digest of [`canonical_text`](Self::canonical_text).
    pub fn digest(&self) -> Digest {
        Digest(xxhash_rust::xxh3::xxh3_64(self.canonical_text().as_bytes()))
    }

    /// The canonical text of all objects, without the revision; see [`canonical`](crate::canonical).
    pub fn canonical_text(&self) -> String {
        let mut writer = Writer::new();
        self.services.values().for_each(|service| writer.service(service));
        self.accounts.values().for_each(|account| writer.account(account));
        self.routes.values().for_each(|route| writer.route(route));
        self.upstreams
            .values()
            .for_each(|upstream| writer.upstream(upstream));
        writer.finish()
    }
}

/// A 32-bit hash of a name, for messages in which names would take too much space.
///
/// A change ticket is refused if two upstreams would have the same hash.
pub fn short_id(name: &Name) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_str().as_bytes()) as u32
}

/// Whether `prefix` consists of the first segments of `path`.
fn is_path_prefix(prefix: &str, path: &str) -> bool {
    let Some(remainder) = path.strip_prefix(prefix) else {
        return false;
    };
    remainder.is_empty() || prefix.ends_with('/') || remainder.starts_with('/')
}
