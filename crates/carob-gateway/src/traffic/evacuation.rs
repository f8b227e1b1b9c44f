//! Failure domains that operators take out of service: what becomes of the generations that run there.
//!
//! No further request is sent to their upstreams. Running generations migrate one after the other, since a whole failure
//! domain that copies its memory at once would fill the targets and occupy all links.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use carob_dispatch::fleet::UpstreamKey;
use tokio::time::Instant;

use super::shared::Shared;

/// Time over which the generations of an evacuated failure domain begin to migrate. A copy takes about 0.2 s, and the bound
/// for new requests does not apply to what runs already.
const SPREAD: Duration = Duration::from_secs(4);

/// Puts the failure domains that are out of service in force.
pub(super) fn apply(shared: &Shared, domains: BTreeSet<Box<str>>) {
    let names = domains
        .iter()
        .map(|domain| &**domain)
        .collect::<Vec<_>>()
        .join(",");
    let count = domains.len();
    let running: u32 = shared
        .fleet()
        .upstreams()
        .filter(|(_, upstream)| domains.contains(&upstream.entry.domain))
        .map(|(_, upstream)| upstream.local_requests)
        .sum();
    if !shared.fleet_mut().set_evacuated(domains) {
        return;
    }
    log::info!(domains:% = names, running; "failure domains out of service changed");
    metrics::gauge!("carobhaven_evacuated_domains").set(count as f64);
    metrics::counter!("carobhaven_evacuation_changes_total").increment(1);
    // Those that are back in service may have room for requests that wait.
    shared.grant_waiting();
}

/// When a generation begins to leave an evacuated failure domain.
pub(super) struct Departure {
    shared: Rc<Shared>,
    upstream: UpstreamKey,
    due: Option<Instant>,
}

impl Departure {
    /// Follows a generation that runs at `upstream`.
    pub(super) fn new(shared: &Rc<Shared>, upstream: UpstreamKey) -> Self {
        Self {
            shared: Rc::clone(shared),
            upstream,
            due: None,
        }
    }

    /// Whether it is the generation's turn to leave: at a random time within [`SPREAD`] of the evacuation.
    pub(super) fn is_due(&mut self) -> bool {
        if !self.shared.fleet().is_evacuated(self.upstream) {
            self.due = None;
            return false;
        }
        let now = Instant::now();
        *self
            .due
            .get_or_insert_with(|| now + SPREAD.mul_f64(rand::random::<f64>()))
            <= now
    }
}
