//! Failure domains in which upstreams stand, and whether requests stay in the regions that their route permits.

use std::collections::{HashMap, HashSet};

use carob_platform_standin::Ledger;

use crate::traffic::Observation;

/// Failure domains: all gateways are in the first one, in the region `north`; the other one is in `south`.
pub const DOMAINS: [&str; 2] = ["a", "b"];

/// Prefix of the route whose requests may run in the region `south` only.
pub const SOUTH_PREFIX: &str = "/south/";

/// Failure domain of the engine in this place. An engine that replaces another one is in the same domain.
pub const fn engine_domain(index: usize) -> &'static str {
    DOMAINS[(index % 3 == 2) as usize]
}

/// Failure domain of a plain upstream.
pub const fn plain_domain(index: usize) -> &'static str {
    DOMAINS[index % 2]
}

/// Which upstreams are in which failure domain.
#[derive(Default)]
pub struct Domains {
    by_id: HashMap<String, &'static str>,
}

impl Domains {
    /// Notes where an upstream is.
    pub fn place(&mut self, id: &str, domain: &'static str) {
        self.by_id.insert(id.to_owned(), domain);
    }

    /// Requests of the route with regions that reached an upstream outside them.
    pub fn region_violations(&self, ledger: &Ledger, observations: &[Observation]) -> Vec<String> {
        let bound: HashSet<&str> = observations
            .iter()
            .filter(|seen| seen.request.path.starts_with(SOUTH_PREFIX))
            .map(|seen| &*seen.request.id)
            .collect();
        let arrivals = ledger.arrivals();
        let judged: Vec<_> = arrivals
            .iter()
            .filter(|arrival| bound.contains(&*arrival.id))
            .collect();
        eprintln!(
            "{} requests with regions, {} arrivals of them",
            bound.len(),
            judged.len()
        );
        judged
            .into_iter()
            .filter(|arrival| self.by_id.get(&arrival.upstream) != Some(&DOMAINS[1]))
            .map(|arrival| format!("{} reached {} outside its regions", arrival.id, arrival.upstream))
            .collect()
    }
}
