//! Failure domains in which upstreams stand, and whether requests stay in the regions that their route permits.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
};

use carob_platform_standin::{Ledger, Upstream};

use crate::{fleet, traffic::Observation};

/// Failure domains: all gateways are in the first one, in the region `north`; the other one is in `south`.
pub const DOMAINS: [&str; 2] = [fleet::DOMAIN, "b"];

/// Prefix of the route whose requests may run in the region `south` only.
pub const SOUTH_PREFIX: &str = "/south/";

/// Failure domain of the upstream in this place among the `count` of its service: the last one is in the second domain, beyond
/// the number that the load needs. An upstream that replaces another one is in the same domain.
pub const fn domain(index: usize, count: usize) -> &'static str {
    DOMAINS[(index + 1 == count) as usize]
}

/// Which upstreams are in which failure domain.
#[derive(Default)]
pub struct Domains {
    by_id: HashMap<String, (SocketAddr, &'static str)>,
}

impl Domains {
    /// Notes where an upstream is.
    pub fn place(&mut self, upstream: &Upstream, domain: &'static str) {
        let place = (upstream.address(), domain);
        self.by_id.insert(upstream.id().to_owned(), place);
    }

    pub fn domain(&self, upstream: &str) -> Option<&'static str> {
        self.by_id.get(upstream).map(|(_, domain)| *domain)
    }

    pub fn address(&self, upstream: &str) -> Option<SocketAddr> {
        self.by_id.get(upstream).map(|(address, _)| *address)
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
            .filter(|arrival| self.domain(&arrival.upstream) != Some(DOMAINS[1]))
            .map(|arrival| format!("{} reached {} outside its regions", arrival.id, arrival.upstream))
            .collect()
    }
}
