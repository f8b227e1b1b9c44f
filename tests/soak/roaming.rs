//! Routes and an account whose regions the operator changes, and whether their requests stay in regions that were permitted.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use carob_platform_standin::{
    Ledger,
    config::{self, Route},
};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use serde_json::Value;

use crate::{
    domains::{DOMAINS, Domains},
    fleet::{CLIENT_KEY, CONFIG_APPLY},
    traffic::Observation,
};

/// Routes whose regions change. Each of the second kind is longer than one of the first, and comes and goes.
pub const ROUTES: [Route; 4] = [
    Route::new("/roam/", "streaming", "engines")
        .with_max_attempts(2)
        .with_resumable(),
    Route::new("/look/", "safe", "plain").with_max_attempts(2),
    Route::new("/roam/far/", "streaming", "engines")
        .with_max_attempts(2)
        .with_resumable(),
    Route::new("/look/far/", "safe", "plain").with_max_attempts(2),
];

/// Number of the routes that are always there.
const LASTING: usize = 2;

/// API key of the account whose regions change.
const KEY: &str = "rover-key";

/// Regions of [`DOMAINS`], and the lists that a route or the account may have; the empty one permits all. The second region is
/// evacuated most of the time.
const REGIONS: [&str; 2] = ["north", "south"];
const LISTS: [&[&str]; 5] = [&["north"], &["south"], &["north"], &["south"], &[]];

/// Share of the versions that restrict the account, and of those with a longer route.
const ACCOUNT_SHARE: f64 = 0.3;
const LONG_SHARE: f64 = 0.6;

/// Time between two changes of the regions in milliseconds: mostly longer than [`CONFIG_APPLY`], so that a request is judged by
/// one or two of them.
const GAP: std::ops::Range<u64> = 2_800..4_500;

/// What a configuration permits.
#[derive(Debug)]
struct Rules {
    /// The first version with them.
    version: u64,
    /// Regions of each route; `None` if it is not there.
    routes: [Option<&'static [&'static str]>; ROUTES.len()],
    account: &'static [&'static str],
}

impl Rules {
    fn draw(rng: &mut StdRng, version: u64) -> Self {
        let mut list = || *LISTS.choose(rng).expect("there are lists");
        let routes = [0; ROUTES.len()].map(|_| Some(list()));
        let account = list();
        let mut rules = Self {
            version,
            routes,
            account,
        };
        if !rng.random_bool(ACCOUNT_SHARE) {
            rules.account = &[];
        }
        for route in &mut rules.routes[LASTING..] {
            *route = route.filter(|_| rng.random_bool(LONG_SHARE));
        }
        rules
    }

    /// Whether a request for `path` may run in `region`.
    fn permits(&self, path: &str, region: &str) -> bool {
        let matching = ROUTES.iter().zip(self.routes).filter_map(|(route, regions)| {
            path.starts_with(route.prefix)
                .then_some((route.prefix.len(), regions?))
        });
        let longest = matching.max_by_key(|(length, _)| *length);
        let allows = |list: &[&str]| list.is_empty() || list.contains(&region);
        longest.is_some_and(|(_, list)| allows(list) && allows(self.account))
    }
}

/// Time for which a configuration with these rules was in the store, or may have been believed to be.
#[derive(Debug)]
struct Span {
    rules: usize,
    from: Instant,
    to: Option<Instant>,
}

/// Changes regions, and records when which were permitted.
pub struct Roaming {
    /// Draws all of it, so that it does not change the sequences of the faults.
    rng: StdRng,
    next: Instant,
    rules: Vec<Rules>,
    spans: Vec<Span>,
    /// Version in the latest copy of the store.
    copied: u64,
}

impl Roaming {
    pub fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        Self {
            next: Instant::now() + Duration::from_millis(rng.random_range(GAP)),
            rules: vec![Rules::draw(&mut rng, 0)],
            spans: Vec::new(),
            copied: 0,
            rng,
        }
    }

    /// Draws other regions for the versions from `version` on, if they are due.
    pub fn poll(&mut self, version: u64) -> Option<String> {
        if Instant::now() < self.next {
            return None;
        }
        self.next = Instant::now() + Duration::from_millis(self.rng.random_range(GAP));
        let rules = Rules::draw(&mut self.rng, version);
        let text = format!("{rules:?}");
        self.rules.push(rules);
        Some(text)
    }

    /// Number of the rules of a version.
    fn number(&self, version: u64) -> usize {
        let found = self.rules.iter().rposition(|rules| rules.version <= version);
        found.unwrap_or(0)
    }

    /// Adds the account of a version to its configuration.
    pub fn add_to(&self, content: &mut Value, version: u64) {
        let account = self.rules[self.number(version)].account;
        config::add_account(content, ("rover", KEY), account);
    }

    /// Routes of a version.
    pub fn routes(&self, version: u64) -> impl Iterator<Item = Route> {
        let present = self.rules[self.number(version)].routes;
        let routes = ROUTES.iter().zip(present);
        routes.filter_map(|(route, regions)| Some(route.clone().with_regions(regions?)))
    }

    /// Notes that a version was written, begun at `from`.
    pub fn note_written(&mut self, version: u64, from: Instant) {
        let number = self.number(version);
        let replaced = self.spans.iter_mut().filter(|span| span.rules != number);
        for span in replaced {
            span.to.get_or_insert_with(Instant::now);
        }
        self.open(number, from);
    }

    /// Notes that the store was copied with a version in it.
    pub const fn note_copy(&mut self, version: u64) {
        self.copied = version;
    }

    /// Notes that the store has come back from the copy since `from`. What was written after the copy may be known still.
    pub fn note_return(&mut self, from: Instant) {
        self.open(self.number(self.copied), from);
    }

    fn open(&mut self, rules: usize, from: Instant) {
        let is_open = |span: &Span| span.rules == rules && span.to.is_none();
        if !self.spans.iter().any(is_open) {
            self.spans.push(Span {
                rules,
                from,
                to: None,
            });
        }
    }

    /// Requests that reached an upstream in a region that no version permitted which was in force from [`CONFIG_APPLY`] before
    /// they were sent until they arrived. No gateway is excused.
    pub fn violations(
        &self,
        ledger: &Ledger,
        observations: &[Observation],
        domains: &Domains,
    ) -> Vec<String> {
        let roaming = observations.iter().filter(|seen| is_roaming(&seen.request.path));
        let by_id: HashMap<&str, &Observation> = roaming.map(|seen| (&*seen.request.id, seen)).collect();
        let mut violations = Vec::new();
        let (mut count, mut bound) = (0, 0);
        for arrival in ledger.arrivals() {
            let Some(seen) = by_id.get(&*arrival.id) else {
                continue;
            };
            let place = domains.domain(&arrival.upstream);
            let place = DOMAINS.iter().position(|domain| Some(*domain) == place);
            let region = place.map_or("unknown", |place| REGIONS[place]);
            let from = seen.begun.checked_sub(CONFIG_APPLY).unwrap_or(seen.begun);
            let in_force: Vec<&Span> = self
                .spans
                .iter()
                .filter(|span| span.from <= arrival.at && span.to.is_none_or(|to| to >= from))
                .collect();
            let path = &seen.request.path;
            let permits = |region: &str| {
                let mut rules = in_force.iter().map(|span| &self.rules[span.rules]);
                rules.any(|rules| rules.permits(path, region))
            };
            count += 1;
            bound += usize::from(!REGIONS.iter().all(|region| permits(region)));
            if !permits(region) {
                let rules: Vec<&Rules> = in_force.iter().map(|span| &self.rules[span.rules]).collect();
                violations.push(format!(
                    "{} for {path} reached {} in {region} by gateway {}, {:?} after it was begun; in force {rules:?}",
                    arrival.id,
                    arrival.upstream,
                    seen.gateway,
                    arrival.at.saturating_duration_since(seen.begun)
                ));
            }
        }
        eprintln!(
            "{} requests with changing regions, {count} arrivals of them, {bound} bound to one; {} changes",
            by_id.len(),
            self.rules.len() - 1
        );
        violations
    }
}

/// Whether the regions of requests for `path` change.
pub fn is_roaming(path: &str) -> bool {
    ROUTES.iter().any(|route| path.starts_with(route.prefix))
}

/// API key of requests for `path`.
pub fn key(path: &str) -> &'static str {
    if is_roaming(path) { KEY } else { CLIENT_KEY }
}
