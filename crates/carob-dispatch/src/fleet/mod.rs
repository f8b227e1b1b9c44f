//! Upstreams, the requests running on them and the requests queued for them.
//!
//! * [`Fleet::update_entry`] and [`Fleet::remove_entry`] follow the platform's directory.
//! * [`Fleet::place`] chooses an upstream for a request, or reports that all are full.
//! * [`Fleet::apply_peer_loads`] adds the requests that other instances run.

mod cold;
mod decision;
mod directory;
mod eligibility;
mod engine;
mod explanation;
mod fairness;
mod forecast;
mod limited;
mod links;
mod pace;
mod peers;
mod place;
mod prefixes;
mod relays;
pub mod urgency;
mod waiting;

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

use carob_base::Time;
use slotmap::SlotMap;

use crate::limits::{Cold, ColdPermit, Limits, Options as LimitOptions, Permit, Place};

pub use decision::{Cause, Decision, Stay};
pub use eligibility::Exclusion;
pub use explanation::{Candidate, Explanation, MAX_CANDIDATES};
pub use fairness::Share;
pub use forecast::Forecast;
pub use limited::Held;
pub use links::LinkFailure;
pub use pace::{KnownPace, MAX_REPORTS as MAX_PACE_REPORTS, PaceRange, PaceReport, SentLoad};
pub use peers::{MessageStamp, PeerLoad};
pub use place::{Placement, Requirements, Score, UpstreamHealth};
pub use prefixes::{HeldPrefix, PrefixReport};
pub use relays::{Relay, RelayOffer, RelayedRequest, service_hash};
pub use waiting::{Assignment, QueuedRequest};

slotmap::new_key_type! {
    /// Key of one incarnation of an upstream.
    pub struct UpstreamKey;
    /// Key of a request that was sent to an upstream.
    pub struct RunKey;
    /// Key of a queued request.
    pub struct WaitKey;
}

carob_base::plain! {
    /// Readiness of an upstream, as listed in the directory.
    pub enum UpstreamState {
        /// Accepts requests.
        Ready,
        /// Accepts no new requests and exits soon; running requests continue for a while.
        Leaving,
    }
}

carob_base::value! {
    /// An upstream's entry in the directory.
    pub struct DirectoryEntry {
        /// Name in the directory. Requests may carry it, so that another upstream at the same address rejects
        /// them.
        pub id: Box<str>,
        /// Start of this incarnation, in milliseconds on the platform's clock; zero if unknown.
        pub started_ms: u64,
        /// Number of the entry among those that this incarnation has written; zero if unknown.
        pub sequence: u64,
        /// Service that it provides.
        pub service: Box<str>,
        /// Address for requests.
        pub address: SocketAddr,
        /// Failure domain.
        pub domain: Box<str>,
        /// Maximum number of requests that it runs concurrently.
        pub slots: u32,
        /// Whether it accepts requests.
        pub state: UpstreamState,
        /// Time for which it stayed cold when the entry was written; zero if it was not.
        pub cold_left: Duration,
    }
}

/// An upstream as this instance knows it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its latest entry in the directory.
    pub entry: DirectoryEntry,
    /// When this instance learned that it leaves; `None` while it is ready.
    pub leaving_since: Option<Time>,
    /// Whether it has announced that it leaves. Without that, an upstream that is not listed any more may have
    /// crashed.
    pub announced: bool,
    /// Whether it has said itself that it leaves, in an answer or a report. Its entry may still say otherwise.
    said_leaving: bool,
    /// Whether an upstream that started later is at its address, so that its process has ended.
    address_taken: bool,
    /// Requests that this instance has running on it.
    pub local_requests: u32,
    /// Tokens that this instance's requests are expected to hold when they end.
    pub local_tokens: u64,
    /// Prompt tokens of this instance's requests that are not prefilled yet.
    pub local_prefill: u64,
    /// Requests that other instances have running on it.
    peer_requests: u32,
    /// Tokens that other instances' requests are expected to hold when they end.
    peer_tokens: u64,
    /// Prompt tokens of other instances' requests that are not prefilled yet.
    peer_prefill: u64,
    /// Its answer to the latest load query.
    load_report: Option<LoadReport>,
    /// Exponentially decaying share of attempts that failed because of the upstream.
    failure_rate: f64,
    /// Until when it is chosen last, since it could not be reached.
    avoid_until: Time,
    /// Until when it gets nothing, since it asked for that.
    paused_until: Time,
    /// When it is last known to have prefilled a prompt.
    prefilled_at: Option<Time>,
    link: links::Link,
    pace: pace::Pace,
}

impl Upstream {
    /// Identifies the incarnation in messages between instances.
    pub fn hash(&self) -> u64 {
        incarnation_hash(&self.entry.id, self.entry.started_ms)
    }

    /// Whether it has asked for a pause that lasts.
    pub fn is_paused(&self, now: Time) -> bool {
        self.paused_until > now
    }

    /// When it is last known to have prefilled a prompt, of any instance.
    pub const fn prefilled_at(&self) -> Option<Time> {
        self.prefilled_at
    }

    /// Requests of all instances that run on it, as far as is known.
    pub const fn total_requests(&self) -> u32 {
        self.local_requests + self.peer_requests
    }

    /// Prompt tokens of all instances' requests that are not prefilled yet.
    pub const fn pending_prefill(&self) -> u64 {
        self.local_prefill + self.peer_prefill
    }

    /// Tokens that all instances' requests are expected to hold when they end, as far as instances have
    /// reported.
    pub const fn expected_tokens(&self) -> u64 {
        self.local_tokens + self.peer_tokens
    }
}

/// Identifies the incarnation of `id` that started at `started_ms`.
fn incarnation_hash(id: &str, started_ms: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), started_ms)
}

/// A request that was sent to an upstream.
#[derive(Clone, Copy, Debug)]
struct Run {
    upstream: UpstreamKey,
    size: RequestSize,
    /// Permit of an upstream that names a limit, until the request is sent.
    permit: Option<Permit>,
    /// Place at an upstream that is brittle, until the request ends.
    place: Option<Place>,
    /// Permit of a cold upstream, until the request is sent.
    cold: Option<ColdPermit>,
}

carob_base::plain! {
    /// Engine capacity that a request takes, in tokens; zero for plain calls.
    pub struct RequestSize {
        /// Tokens that it is expected to hold in memory when it ends: prompt and answer.
        pub tokens: u64,
        /// Prompt tokens that are not prefilled yet.
        pub prefill: u64,
    }
}

carob_base::plain! {
    /// Load that an upstream reports about itself.
    pub struct LoadReport {
        /// When the report was received.
        pub at: Time,
        /// Memory in use, in tokens.
        pub used_tokens: u64,
        /// Requests queued inside the upstream.
        pub waiting: u32,
    }
}

/// Location of this instance and of all failure domains, for the distance to upstreams.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Failure domain of this instance.
    pub domain: Box<str>,
    /// Region of each failure domain.
    pub regions: HashMap<Box<str>, Box<str>>,
}

/// Upstreams and requests, as one instance knows them.
#[derive(Debug)]
pub struct Fleet {
    topology: Topology,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    /// Latest incarnation of each upstream, by its name in the directory.
    by_name: HashMap<Box<str>, UpstreamKey>,
    /// Upstreams by [`Fleet::upstream_hash`].
    by_hash: HashMap<u64, UpstreamKey>,
    runs: SlotMap<RunKey, Run>,
    queue: waiting::Queue,
    peers: HashMap<SocketAddr, peers::Peer>,
    limits: Limits,
    /// Upstreams that are cold.
    cold: Cold,
    urgency: urgency::State,
    prefixes: prefixes::Prefixes,
    forecasts: forecast::State,
    /// Failure domains that operators have taken out of service.
    evacuated: BTreeSet<Box<str>>,
    /// When the paces of all upstreams were last evaluated.
    paces_at: Time,
    /// Seed for breaking ties. Changes with every request, so that requests are spread over equal upstreams,
    /// and in another order at each instance.
    tie_seed: u64,
}

/// Weight of the latest attempt in the decaying failure rate; with a fifth, about the last five attempts
/// decide.
const FAILURE_WEIGHT: f64 = 0.2;

/// How long an upstream is chosen last after a connection to it failed.
///
/// A crashed upstream stays in the directory for some heartbeats, which come once a second.
const AVOID_DURATION: Duration = Duration::from_secs(1);

impl Fleet {
    /// Creates a fleet without upstreams. `seed` is a random number, different at each instance.
    pub fn new(topology: Topology, seed: u64) -> Self {
        Self {
            topology,
            upstreams: SlotMap::with_key(),
            by_name: HashMap::new(),
            by_hash: HashMap::new(),
            runs: SlotMap::with_key(),
            queue: waiting::Queue::default(),
            peers: HashMap::new(),
            limits: Limits::new(LimitOptions::default(), seed),
            cold: Cold::new(seed),
            urgency: urgency::State::new(seed),
            prefixes: prefixes::Prefixes::default(),
            forecasts: forecast::State::default(),
            evacuated: BTreeSet::new(),
            paces_at: Time::ZERO,
            tie_seed: seed,
        }
    }

    /// Replaces the location of this instance and the regions of failure domains.
    pub fn set_topology(&mut self, topology: Topology) {
        self.topology = topology;
    }

    /// The upstream with this key; `None` once it has been evicted.
    pub fn upstream(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// All upstreams, including those that leave.
    pub fn upstreams(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.upstreams.iter()
    }

    /// Counts a request that is sent to `upstream`.
    pub fn start_request(&mut self, upstream: UpstreamKey, size: RequestSize) -> RunKey {
        self.tie_seed = self.tie_seed.wrapping_add(1);
        if let Some(found) = self.upstreams.get_mut(upstream) {
            found.local_requests += 1;
            found.local_tokens += size.tokens;
            found.local_prefill += size.prefill;
        }
        self.runs.insert(Run {
            upstream,
            size,
            permit: None,
            place: None,
            cold: None,
        })
    }

    /// Updates the size of a running request, as its prompt is prefilled or its answer grows.
    pub fn resize(&mut self, run: RunKey, size: RequestSize) {
        let Some(running) = self.runs.get_mut(run) else {
            return;
        };
        let before = std::mem::replace(&mut running.size, size);
        if let Some(found) = self.upstreams.get_mut(running.upstream) {
            found.local_tokens = (found.local_tokens + size.tokens).saturating_sub(before.tokens);
            found.local_prefill = (found.local_prefill + size.prefill).saturating_sub(before.prefill);
        }
    }

    /// Removes a request that has ended or was cancelled.
    pub fn finish_request(&mut self, run: RunKey) {
        let Some(running) = self.runs.remove(run) else {
            return;
        };
        if let Some(found) = self.upstreams.get_mut(running.upstream) {
            found.local_requests = found.local_requests.saturating_sub(1);
            found.local_tokens = found.local_tokens.saturating_sub(running.size.tokens);
            found.local_prefill = found.local_prefill.saturating_sub(running.size.prefill);
        }
        if let Some(permit) = running.permit {
            self.limits.give_back(permit);
        }
        if let Some(permit) = running.cold {
            self.cold.give_back(permit);
        }
        if let Some(place) = running.place {
            self.limits.give_place_back(place);
        }
    }

    /// Stores the load that `upstream` reports; it replaces the previous report.
    pub fn record_load(&mut self, upstream: UpstreamKey, report: LoadReport) {
        if let Some(found) = self.upstreams.get_mut(upstream) {
            found.load_report = Some(report);
        }
    }

    /// Updates the failure rate of `upstream` with the result of an attempt.
    pub fn record_attempt(&mut self, upstream: UpstreamKey, health: UpstreamHealth, now: Time) {
        let Some(found) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let failed = match health {
            UpstreamHealth::Healthy => 0.0,
            UpstreamHealth::Failing => 1.0,
            UpstreamHealth::Unreachable => {
                found.avoid_until = now + AVOID_DURATION;
                1.0
            }
        };
        found.failure_rate += FAILURE_WEIGHT * (failed - found.failure_rate);
    }
}
