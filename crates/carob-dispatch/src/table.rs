//! The operators' configuration, ready for look-ups.

use std::{collections::HashMap, time::Duration};

use smallvec::SmallVec;

carob_base::plain! {
    /// What may be repeated.
    pub enum RouteKind {
        /// May run any number of times.
        Safe,
        /// Runs at most once for each attempt of a client.
        Unsafe,
        /// A stream of events; runs at most once, though it may continue elsewhere from its memory.
        Stream,
    }
}

carob_base::value! {
    /// Where requests of a host and a path prefix go.
    pub struct Route {
        /// Name, unique in the table.
        pub name: Box<str>,
        /// Host in lower case, without a port.
        pub host: Box<str>,
        /// Path prefix that begins and ends with a slash.
        pub prefix: Box<str>,
        /// What may be repeated.
        pub kind: RouteKind,
        /// Longest time that a request is kept.
        pub timeout: Duration,
        /// Time to the answer, or to the first event of a stream, for full credit.
        pub target_latency: Duration,
        /// Rank; 0 is the most urgent.
        pub priority: u8,
        /// Services and their weights.
        pub services: SmallVec<[(Box<str>, u32); 2]>,
        /// Upstreams to which one attempt of a client may be sent.
        pub max_attempts: u32,
        /// Whether requests need no key.
        pub anonymous: bool,
    }

    /// Sizes of one engine of a service.
    pub struct Engine {
        /// Requests that run at once.
        pub slots: u32,
        /// Tokens that its memory holds.
        pub capacity: u64,
        /// Memory of one token, in bytes.
        pub token_bytes: u64,
        /// Rate at which memory is copied, in megabits a second.
        pub link_mbps: u32,
        /// Whether running generations can be moved.
        pub supports_migration: bool,
        /// Whether running generations can be backed up as they grow.
        pub supports_backup: bool,
        /// Tokens in one event of a stream.
        pub event_tokens: u32,
    }

    /// A service that upstreams carry out.
    pub struct Service {
        /// Name, unique in the table.
        pub name: Box<str>,
        /// Connections that one upstream accepts from all callers together.
        pub max_connections: u32,
        /// Sizes of its engines, if it generates.
        pub engine: Option<Engine>,
    }

    /// A client account.
    pub struct Account {
        /// Name, as upstreams learn it.
        pub name: Box<str>,
        /// Rank that goes before the route's.
        pub priority: Option<u8>,
    }
}

carob_base::plain! {
    /// Bounds of what a client may send.
    pub struct Limits {
        /// Bytes of a request's head.
        pub head_bytes: usize,
        /// Bytes of a request's body.
        pub body_bytes: usize,
        /// Time for a request's head.
        pub head_timeout: Duration,
        /// Time that a connection may be idle.
        pub idle_timeout: Duration,
    }
}

/// Everything a configuration says, before it is indexed.
#[derive(Clone, Debug)]
pub struct RoutingConfig {
    /// Version; later configurations have greater ones.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Client accounts with their keys. Without any, no key is asked for.
    pub accounts: Option<Vec<(Account, Vec<Box<str>>)>>,
    /// Bounds of what a client may send.
    pub limits: Limits,
}

/// A configuration, indexed by host and key.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    version: u64,
    limits: Limits,
    /// Routes of each host, the longest prefix first.
    hosts: HashMap<Box<str>, Vec<Route>>,
    services: HashMap<Box<str>, Service>,
    keys: Option<HashMap<Box<str>, Account>>,
}

carob_base::plain! {
    /// Why a request is not permitted by a configuration.
    pub enum Denial {
        /// No route has the request's host and path.
        NoRoute,
        /// The route needs a key that an account holds.
        InvalidKey,
    }
}

/// A request's place in a configuration.
#[derive(Clone, Copy, Debug)]
pub struct RouteMatch<'a> {
    /// The route.
    pub route: &'a Route,
    /// The account of the request's key.
    pub account: Option<&'a Account>,
}

impl RoutingTable {
    /// Indexes a configuration.
    pub fn new(parts: RoutingConfig) -> Self {
        let mut hosts: HashMap<Box<str>, Vec<Route>> = HashMap::new();
        for route in parts.routes {
            hosts.entry(route.host.clone()).or_default().push(route);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = parts
            .services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();
        let keys = parts.accounts.map(|accounts| {
            accounts
                .into_iter()
                .flat_map(|(account, keys)| keys.into_iter().map(move |key| (key, account.clone())))
                .collect()
        });
        Self {
            version: parts.version,
            limits: parts.limits,
            hosts,
            services,
            keys,
        }
    }

    /// Version; later configurations have greater ones.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Bounds of what a client may send.
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// The number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Finds the route of `host` (with or without a port) and `path`, and the account of `key`.
    ///
    /// # Errors
    ///
    /// Returns the [`Denial`] if no route matches, or if the route needs a key and this one is no account's.
    pub fn lookup(&self, host: &str, path: &str, key: Option<&str>) -> Result<RouteMatch<'_>, Denial> {
        let host = host.split_once(':').map_or(host, |(name, _port)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => Some(routes),
            None => self.hosts.get(host.to_ascii_lowercase().as_str()),
        };
        let route = routes
            .and_then(|routes| routes.iter().find(|route| path.starts_with(&*route.prefix)))
            .ok_or(Denial::NoRoute)?;
        let account = match (&self.keys, key) {
            (Some(keys), Some(key)) => keys.get(key),
            _ => None,
        };
        if account.is_none() && self.keys.is_some() && !route.anonymous {
            return Err(Denial::InvalidKey);
        }
        Ok(RouteMatch { route, account })
    }
}

impl Route {
    /// The service for a draw from 0 up to 1, by weight; `None` if no service has a weight.
    pub fn pick_service(&self, draw: f64) -> Option<&str> {
        let total: u32 = self.services.iter().map(|(_, weight)| weight).sum();
        let mut left = draw * f64::from(total);
        let mut chosen = None;
        for (name, weight) in self.services.iter().filter(|(_, weight)| *weight > 0) {
            chosen = Some(&**name);
            left -= f64::from(*weight);
            if left < 0.0 {
                break;
            }
        }
        chosen
    }
}
