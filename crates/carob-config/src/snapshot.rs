//! A whole configuration with its digest and its look-ups.

use std::{collections::BTreeMap, fmt};

use carob_base::Name;

use crate::{
    canonical::Writer,
    object::{Account, Route, Service, Upstream},
};

carob_base::plain! {
    /// Position of a configuration in the one order of accepted change tickets; 0 is the empty configuration.
    #[derive(Default)]
    pub struct Revision(pub u64);

    /// Digest of a configuration's content. Equal revisions have equal digests on every instance.
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

/// A whole configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Config {
    /// Position in the order of accepted tickets.
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
    /// The account whose bearer key has the SHA-256 `key_hash`.
    pub fn account_by_key(&self, key_hash: &[u8; 32]) -> Option<&Account> {
        self.accounts
            .values()
            .find(|account| &account.key_hash == key_hash)
    }

    /// The route for a call: the longest path prefix whose methods permit `method`.
    ///
    /// A prefix matches whole path segments only.
    pub fn route_for(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes
            .values()
            .filter(|route| covers(&route.path, path))
            .filter(|route| route.methods.is_empty() || route.methods.iter().any(|m| m == method))
            .max_by_key(|route| route.path.len())
    }

    /// The upstreams of `service`, in the order of their names.
    pub fn upstreams_of<'a>(&'a self, service: &'a Name) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams
            .values()
            .filter(move |upstream| &upstream.service == service)
    }

    /// The digest of the content; see [`Digest`].
    pub fn digest(&self) -> Digest {
        Digest(xxhash_rust::xxh3::xxh3_64(self.canonical_text().as_bytes()))
    }

    /// The canonical text of every object; see [`canonical`](crate::canonical).
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

/// A short id of a name, for messages in which names would take too much room.
///
/// Change tickets refuse an upstream whose id another one has already.
pub fn short_id(name: &Name) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_str().as_bytes()) as u32
}

fn covers(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}
