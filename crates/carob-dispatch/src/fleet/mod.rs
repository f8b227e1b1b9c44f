//! Upstreams, what runs on them and what waits for them.
//!
//! * [`Fleet::update_entry`] and [`Fleet::remove_entry`] follow the platform's directory.
//! * [`Fleet::place`] chooses an upstream for a request, or says that it has to wait.
//! * [`Fleet::apply_peer_loads`] takes in what other instances run.

mod directory;
mod peers;
mod place;
mod waiting;

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use carob_base::Time;
use slotmap::SlotMap;

pub use peers::{MessageStamp, PeerLoad};
pub use place::{Placement, Requirements, UpstreamHealth};
pub use waiting::{Assignment, QueuedRequest};

slotmap::new_key_type! {
    /// An upstream in one incarnation.
    pub struct UpstreamKey;
    /// A request at an upstream.
    pub struct RunKey;
    /// A request that waits for an upstream.
    pub struct WaitKey;
}

carob_base::plain! {
    /// What the directory says of an upstream's readiness.
    pub enum UpstreamState {
        /// Takes requests.
        Ready,
        /// About to leave; finishes what it has for a while.
        Leaving,
    }
}

carob_base::value! {
    /// What the directory says of an upstream.
    pub struct DirectoryEntry {
        /// Name in the directory, which requests may name to be sure of the upstream.
        pub id: Box<str>,
        /// When this incarnation started, in milliseconds of the platform's clock; zero if unknown.
        pub started_ms: u64,
        /// Service that it carries out.
        pub service: Box<str>,
        /// Address.
        pub address: SocketAddr,
        /// Failure domain.
        pub domain: Box<str>,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Readiness.
        pub state: UpstreamState,
    }
}

/// An upstream as this instance knows it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// What the directory says.
    pub entry: DirectoryEntry,
    /// When it was first known to leave.
    pub leaving_since: Option<Time>,
    /// Requests of this instance that it has.
    pub local_requests: u32,
    /// Tokens that the requests of this instance are expected to hold in the end.
    pub local_tokens: u64,
    /// Tokens of prompts of this instance that it has not read yet.
    pub local_prefill: u64,
    /// Requests of other instances that it has.
    peer_requests: u32,
    /// Tokens of other instances' requests.
    peer_tokens: u64,
    /// Tokens of other instances' prompts that it has not read yet.
    peer_prefill: u64,
    /// What it said of itself when it was asked.
    load_report: Option<LoadReport>,
    /// Decaying share of attempts that failed for the upstream's own reasons.
    failure_rate: f64,
    /// No new requests before this, since it could not be reached.
    avoid_until: Time,
}

impl Upstream {
    /// Names the incarnation in messages between instances.
    fn hash(&self) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(self.entry.id.as_bytes(), self.entry.started_ms)
    }

    /// Requests that it has from all instances, as far as is known.
    pub const fn total_requests(&self) -> u32 {
        self.local_requests + self.peer_requests
    }

    /// Tokens of all instances' prompts that it has not read yet.
    pub const fn pending_prefill(&self) -> u64 {
        self.local_prefill + self.peer_prefill
    }

    /// Tokens that the requests of all instances are expected to hold, as far as instances have told.
    pub const fn expected_tokens(&self) -> u64 {
        self.local_tokens + self.peer_tokens
    }
}

/// A request at an upstream.
#[derive(Clone, Copy, Debug)]
struct Run {
    upstream: UpstreamKey,
    size: RequestSize,
}

carob_base::plain! {
    /// What a request takes of an upstream, in tokens; zero for plain calls.
    pub struct RequestSize {
        /// Tokens that it is expected to hold in the end.
        pub tokens: u64,
        /// Tokens of its prompt that are to be read.
        pub prefill: u64,
    }
}

carob_base::plain! {
    /// What an upstream says of its load.
    pub struct LoadReport {
        /// When it said so.
        pub at: Time,
        /// Tokens of memory in use.
        pub used_tokens: u64,
        /// Requests that wait inside it.
        pub waiting: u32,
    }
}

/// Where this instance stands, for the distance to upstreams.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Failure domain.
    pub domain: Box<str>,
    /// Region of each failure domain.
    pub regions: HashMap<Box<str>, Box<str>>,
}

/// Upstreams and requests, as one instance knows them.
#[derive(Debug)]
pub struct Fleet {
    topology: Topology,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    by_name: HashMap<Box<str>, UpstreamKey>,
    /// Upstreams by [`Fleet::upstream_hash`].
    by_hash: HashMap<u64, UpstreamKey>,
    runs: SlotMap<RunKey, Run>,
    queue: waiting::Queue,
    peers: HashMap<SocketAddr, peers::Peer>,
    /// Changes with every placement, so that equal upstreams take turns, differently at each instance.
    tie_seed: u64,
}

/// Weight of one attempt in the decaying share of failures: a fifth, so that about five attempts decide.
const FAILURE_WEIGHT: f64 = 0.2;

/// How long an upstream that refused a connection gets nothing new.
///
/// A crashed one stays in the directory for some heartbeats; a second is the time of one.
const AVOID: Duration = Duration::from_secs(1);

impl Fleet {
    /// A fleet without upstreams, seen from `position`; `seed` is a random number.
    pub fn new(position: Topology, seed: u64) -> Self {
        Self {
            topology: position,
            upstreams: SlotMap::with_key(),
            by_name: HashMap::new(),
            by_hash: HashMap::new(),
            runs: SlotMap::with_key(),
            queue: waiting::Queue::default(),
            peers: HashMap::new(),
            tie_seed: seed,
        }
    }

    /// The upstream of `key`, unless it has gone.
    pub fn upstream(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// All upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.upstreams.iter()
    }

    /// Notes that a request was sent to `upstream`.
    pub fn start_request(&mut self, upstream: UpstreamKey, size: RequestSize) -> RunKey {
        self.tie_seed = self.tie_seed.wrapping_add(1);
        if let Some(found) = self.upstreams.get_mut(upstream) {
            found.local_requests += 1;
            found.local_tokens += size.tokens;
            found.local_prefill += size.prefill;
        }
        self.runs.insert(Run { upstream, size })
    }

    /// Corrects what a request takes, as its prompt is read or its answer grows.
    pub fn resize(&mut self, run: RunKey, size: RequestSize) {
        let Some(known) = self.runs.get_mut(run) else {
            return;
        };
        let before = std::mem::replace(&mut known.size, size);
        if let Some(found) = self.upstreams.get_mut(known.upstream) {
            found.local_tokens = (found.local_tokens + size.tokens).saturating_sub(before.tokens);
            found.local_prefill = (found.local_prefill + size.prefill).saturating_sub(before.prefill);
        }
    }

    /// Notes that a request is at its upstream no more.
    pub fn finish_request(&mut self, run: RunKey) {
        let Some(known) = self.runs.remove(run) else {
            return;
        };
        if let Some(found) = self.upstreams.get_mut(known.upstream) {
            found.local_requests = found.local_requests.saturating_sub(1);
            found.local_tokens = found.local_tokens.saturating_sub(known.size.tokens);
            found.local_prefill = found.local_prefill.saturating_sub(known.size.prefill);
        }
    }

    /// Takes in what `upstream` says of its load.
    pub fn record_load(&mut self, upstream: UpstreamKey, observed: LoadReport) {
        if let Some(found) = self.upstreams.get_mut(upstream) {
            found.load_report = Some(observed);
        }
    }

    /// Learns from an attempt whether `upstream` does its work.
    pub fn record_attempt(&mut self, upstream: UpstreamKey, quality: UpstreamHealth, now: Time) {
        let Some(found) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let failed = match quality {
            UpstreamHealth::Healthy => 0.0,
            UpstreamHealth::Failing => 1.0,
            UpstreamHealth::Unreachable => {
                found.avoid_until = now + AVOID;
                1.0
            }
        };
        found.failure_rate += FAILURE_WEIGHT * (failed - found.failure_rate);
    }
}
