//! The operators' configuration, indexed for lookups.

use std::{collections::HashMap, time::Duration};

use smallvec::SmallVec;

use crate::{limits::ColdRate, regions::Regions};

carob_base::plain! {
    /// Whether requests of a route may be run more than once.
    pub enum RouteKind {
        /// May run any number of times, so it can be retried at another upstream.
        Safe,
        /// Runs at most once for each attempt of a client.
        Unsafe,
        /// A stream of events. Runs at most once, but may continue at another upstream from a copy of its KV
        /// cache.
        Stream,
        /// A stream of events that may run any number of times: a further run goes on after the last event that
        /// the client has.
        ResumableStream,
    }
}

impl RouteKind {
    /// Whether answers are streams of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Whether a request may run more than once.
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }
}

/// Ratio of two targets from which on the requests with the longer one can wait for the others. With 1.8 s and 1.5 s both
/// need their engine at once.
const PATIENT_RATIO: u32 = 2;

/// Pause in a stream that clients bear at least.
const MIN_PATIENCE: Duration = Duration::from_secs(2);

/// Pause that clients bear, as a multiple of the target latency.
const LATENCY_PATIENCE: u32 = 4;

/// Pause that clients bear, as a multiple of the target for pauses.
const GAP_PATIENCE: u32 = 8;

carob_base::value! {
    /// Routing rule for a host and a path prefix.
    pub struct Route {
        /// Name, unique in the table.
        pub name: Box<str>,
        /// Host in lower case, without a port.
        pub host: Box<str>,
        /// Path prefix; starts and ends with a slash.
        pub prefix: Box<str>,
        /// Whether requests may be run more than once.
        pub kind: RouteKind,
        /// Maximum time from the arrival of a request to the end of its answer.
        pub timeout: Duration,
        /// Target for the time to the answer, or to the first event of a stream; an answer within it gets
        /// full credit.
        pub target_latency: Duration,
        /// Longest pause between two events of a stream that is on time; zero if the operators name none.
        pub gap_target: Duration,
        /// Priority; 0 is the most urgent.
        pub priority: u8,
        /// Service names with their weights for the traffic split.
        pub services: SmallVec<[(Box<str>, u32); 2]>,
        /// Maximum number of upstreams that may run one attempt of a client.
        pub max_attempts: u32,
        /// Requests need no API key.
        pub anonymous: bool,
        /// Regions in which requests may run.
        pub regions: Regions,
    }

    /// Properties of each engine of a service.
    pub struct Engine {
        /// Maximum number of requests that run concurrently.
        pub slots: u32,
        /// Size of its KV cache, in tokens.
        pub capacity: u64,
        /// Size of one token in the KV cache, in bytes.
        pub token_bytes: u64,
        /// Bandwidth of an engine's link for copies of KV caches, in Mbit/s.
        pub link_mbps: u32,
        /// Running generations can be migrated to another engine.
        pub supports_migration: bool,
        /// The memory of running generations can be backed up at another engine as it grows.
        pub supports_backup: bool,
        /// Number of tokens in one event of a stream.
        pub event_tokens: u32,
    }

    /// A service that upstreams provide.
    pub struct Service {
        /// Name, unique in the table.
        pub name: Box<str>,
        /// Maximum number of connections that one upstream accepts from all callers together.
        pub max_connections: u32,
        /// Path at which an upstream says whether it is healthy.
        pub health_path: Box<str>,
        /// Requests a second that a cold upstream takes from all instances together.
        pub cold_rate: ColdRate,
        /// Properties of its engines; `None` for a service that does not generate.
        pub engine: Option<Engine>,
    }

    /// A client account.
    pub struct Account {
        /// Name, as sent to upstreams.
        pub name: Box<str>,
        /// Priority that overrides the route's.
        pub priority: Option<u8>,
        /// Regions in which its requests may run.
        pub regions: Regions,
    }
}

carob_base::plain! {
    /// Requests to a service that have the same priority.
    pub struct PriorityClass {
        /// Their priority; 0 is the most urgent.
        pub priority: u8,
        /// Shortest target latency of the routes that they may take.
        pub target: Duration,
    }
}

carob_base::plain! {
    /// Limits on what a client may send.
    pub struct Limits {
        /// Maximum size of a request's head, in bytes.
        pub head_bytes: usize,
        /// Maximum size of a request's body, in bytes.
        pub body_bytes: usize,
        /// Time within which a request's head must be received.
        pub head_timeout: Duration,
        /// How long a connection may be idle.
        pub idle_timeout: Duration,
    }
}

/// The content of a configuration, before it is indexed.
#[derive(Clone, Debug)]
pub struct RoutingConfig {
    /// Version; later configurations have higher ones.
    pub version: u64,
    /// Routes; if several match a request, the one with the longest prefix is used.
    pub routes: Vec<Route>,
    /// Services that routes refer to by name.
    pub services: Vec<Service>,
    /// Client accounts with their API keys; `None` if requests need no key.
    pub accounts: Option<Vec<(Account, Vec<Box<str>>)>>,
    /// Limits on what a client may send.
    pub limits: Limits,
}

/// A configuration, indexed by host and API key.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    version: u64,
    limits: Limits,
    /// Routes of each host, longest prefix first.
    hosts: HashMap<Box<str>, Vec<Route>>,
    services: HashMap<Box<str>, Service>,
    /// Priorities of requests to each service, the most urgent first.
    classes: HashMap<Box<str>, Vec<PriorityClass>>,
    /// Accounts by API key; `None` if requests need no key.
    keys: Option<HashMap<Box<str>, Account>>,
    /// All accounts, also those that have no key at present.
    accounts: Vec<Account>,
}

carob_base::plain! {
    /// Why the configuration does not permit a request.
    pub enum Denial {
        /// No route matches the request's host and path.
        NoRoute,
        /// The route needs an API key, and the request's key is missing or belongs to no account.
        InvalidKey,
    }
}

/// The route and account that a request matched.
#[derive(Clone, Copy, Debug)]
pub struct RouteMatch<'a> {
    /// Route with the longest matching prefix.
    pub route: &'a Route,
    /// Account that the request's API key belongs to; `None` only if the route needs no key.
    pub account: Option<&'a Account>,
}

impl RouteMatch<'_> {
    /// Regions in which the request may run: those of the route and those of the account, where they list any.
    pub fn regions(&self) -> Regions {
        self.account.map_or_else(
            || self.route.regions.clone(),
            |account| self.route.regions.intersection(&account.regions),
        )
    }
}

impl RoutingTable {
    /// Indexes a configuration.
    pub fn new(config: RoutingConfig) -> Self {
        let classes = priority_classes(&config);
        let mut hosts: HashMap<Box<str>, Vec<Route>> = HashMap::new();
        for route in config.routes {
            hosts.entry(route.host.clone()).or_default().push(route);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = config
            .services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();
        let listed = config.accounts.iter().flatten();
        let accounts = listed.map(|(account, _)| account.clone()).collect();
        let keys = config.accounts.map(|accounts| {
            accounts
                .into_iter()
                .flat_map(|(account, keys)| keys.into_iter().map(move |key| (key, account.clone())))
                .collect()
        });
        Self {
            version: config.version,
            limits: config.limits,
            hosts,
            services,
            classes,
            keys,
            accounts,
        }
    }

    /// Version of the configuration; later ones are higher.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Limits on what a client may send.
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Number of routes over all hosts.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Priorities that requests to a service may have, the most urgent first; empty if they do not differ, or if no route
    /// has a target that leaves its requests time to wait for those of another.
    pub fn priority_classes(&self, service: &str) -> &[PriorityClass] {
        let classes = self.classes.get(service).map_or(&[][..], Vec::as_slice);
        if classes.len() > 1 { classes } else { &[] }
    }

    /// Whether requests to any service differ in priority.
    pub fn has_priorities(&self) -> bool {
        self.classes.values().any(|classes| classes.len() > 1)
    }

    /// The route of a request for `path` of `host`, with or without a port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split_once(':').map_or(host, |(name, _port)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => Some(routes),
            None => self.hosts.get(host.to_ascii_lowercase().as_str()),
        };
        routes?.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// The account that `key` belongs to.
    pub fn account(&self, key: Option<&str>) -> Option<&Account> {
        self.keys.as_ref()?.get(key?)
    }

    /// The account with this name.
    pub fn account_named(&self, name: &str) -> Option<&Account> {
        self.accounts.iter().find(|account| *account.name == *name)
    }

    /// The account that a key with this [`key_hash`] belongs to.
    pub fn account_by_hash(&self, hash: u64) -> Option<&Account> {
        let mut keys = self.keys.as_ref()?.iter();
        keys.find_map(|(key, account)| (key_hash(key) == hash).then_some(account))
    }

    /// Finds the route for `host`, with or without a port, and `path`, and the account that `key` belongs to.
    ///
    /// # Errors
    ///
    /// Returns a [`Denial`] if no route matches, or if the route needs a key and `key` is missing or unknown.
    pub fn lookup(&self, host: &str, path: &str, key: Option<&str>) -> Result<RouteMatch<'_>, Denial> {
        let route = self.route(host, path).ok_or(Denial::NoRoute)?;
        let account = self.account(key);
        if account.is_none() && self.keys.is_some() && !route.anonymous {
            return Err(Denial::InvalidKey);
        }
        Ok(RouteMatch { route, account })
    }
}

/// Hash of an API key, by which instances name it to each other.
pub fn key_hash(key: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(key.as_bytes())
}

/// Lists the priorities that requests to each service may have: that of the route, or that of the account where it has one.
fn priority_classes(config: &RoutingConfig) -> HashMap<Box<str>, Vec<PriorityClass>> {
    let accounts = config.accounts.as_deref().unwrap_or_default();
    let overrides = accounts.iter().filter_map(|(account, _)| account.priority);
    let is_overridden =
        config.accounts.is_some() && accounts.iter().all(|(account, _)| account.priority.is_some());
    let mut classes: HashMap<Box<str>, Vec<PriorityClass>> = HashMap::new();
    for route in &config.routes {
        let own = (!is_overridden || route.anonymous).then_some(route.priority);
        for (service, _) in route.services.iter().filter(|(_, weight)| *weight > 0) {
            let known = classes.entry(service.clone()).or_default();
            for priority in own.into_iter().chain(overrides.clone()) {
                match known.iter_mut().find(|class| class.priority == priority) {
                    Some(class) => class.target = class.target.min(route.target_latency),
                    None => known.push(PriorityClass {
                        priority,
                        target: route.target_latency,
                    }),
                }
            }
        }
    }
    for known in classes.values_mut() {
        known.sort_by_key(|class| class.priority);
    }
    classes.retain(|service, _| has_patient_route(config, service));
    classes
}

/// Whether a route to a service has a target of at least [`PATIENT_RATIO`] times the shortest one.
fn has_patient_route(config: &RoutingConfig, service: &str) -> bool {
    let routes = config.routes.iter().filter(|route| {
        let mut services = route.services.iter();
        services.any(|(name, weight)| **name == *service && *weight > 0)
    });
    let targets = routes.map(|route| route.target_latency);
    let shortest = targets.clone().min().unwrap_or_default();
    targets
        .max()
        .is_some_and(|longest| longest >= shortest * PATIENT_RATIO)
}

impl Route {
    /// Pause after which clients give up a stream, also before its first event. It is the longest of three that the
    /// operators' pages name.
    pub fn patience(&self) -> Duration {
        MIN_PATIENCE
            .max(self.target_latency * LATENCY_PATIENCE)
            .max(self.gap_target * GAP_PATIENCE)
    }

    /// Picks a service with probability proportional to its weight; `None` if all weights are zero.
    ///
    /// `draw` is a random number from 0 up to, but not including, 1.
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
