//! Upstreams, what runs on them and what waits for them.
//!
//! * [`Fleet::refresh`] and [`Fleet::remove`] follow the platform's directory.
//! * [`Fleet::place`] chooses an upstream for a request, or says that it has to wait.
//! * [`Fleet::told`] takes in what other instances run.

mod directory;
mod peers;
mod place;
mod waiting;

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use carob_base::Time;
use slotmap::SlotMap;

pub use peers::{PeerLoad, Stamp};
pub use place::{Need, Place, Quality};
pub use waiting::{Granted, Ticket};

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
    pub enum State {
        /// Takes requests.
        Ready,
        /// About to leave; finishes what it has for a while.
        Leaving,
    }
}

carob_base::value! {
    /// What the directory says of an upstream.
    pub struct Entry {
        /// Name in the directory, which requests may name to be sure of the upstream.
        pub id: Box<str>,
        /// When this incarnation started, in milliseconds of the platform's clock; zero if unknown.
        pub born: u64,
        /// Service that it carries out.
        pub service: Box<str>,
        /// Address.
        pub address: SocketAddr,
        /// Failure domain.
        pub domain: Box<str>,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Readiness.
        pub state: State,
    }
}

/// An upstream as this instance knows it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// What the directory says.
    pub entry: Entry,
    /// When it was first known to leave.
    pub left: Option<Time>,
    /// Requests of this instance that it has.
    pub runs: u32,
    /// Tokens that the requests of this instance are expected to hold in the end.
    pub tokens: u64,
    /// Tokens of prompts of this instance that it has not read yet.
    pub unread: u64,
    /// Requests of other instances that it has.
    others: u32,
    /// Tokens of other instances' requests.
    foreign: u64,
    /// Tokens of other instances' prompts that it has not read yet.
    foreign_unread: u64,
    /// What it said of itself when it was asked.
    observed: Option<Observed>,
    /// Decaying share of attempts that failed for the upstream's own reasons.
    failure: f64,
    /// No new requests before this, since it could not be reached.
    avoid: Time,
}

impl Upstream {
    /// Names the incarnation in messages between instances.
    fn mark(&self) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(self.entry.id.as_bytes(), self.entry.born)
    }

    /// Requests that it has from all instances, as far as is known.
    pub const fn requests(&self) -> u32 {
        self.runs + self.others
    }

    /// Tokens of all instances' prompts that it has not read yet.
    pub const fn prompts(&self) -> u64 {
        self.unread + self.foreign_unread
    }

    /// Tokens that the requests of all instances are expected to hold, as far as instances have told.
    pub const fn expected(&self) -> u64 {
        self.tokens + self.foreign
    }
}

/// A request at an upstream.
#[derive(Clone, Copy, Debug)]
struct Run {
    upstream: UpstreamKey,
    size: Size,
}

carob_base::plain! {
    /// What a request takes of an upstream, in tokens; zero for plain calls.
    pub struct Size {
        /// Tokens that it is expected to hold in the end.
        pub tokens: u64,
        /// Tokens of its prompt that are to be read.
        pub unread: u64,
    }
}

carob_base::plain! {
    /// What an upstream says of its load.
    pub struct Observed {
        /// When it said so.
        pub at: Time,
        /// Tokens of memory in use.
        pub used: u64,
        /// Requests that wait inside it.
        pub waiting: u32,
    }
}

/// Where this instance stands, for the distance to upstreams.
#[derive(Clone, Debug)]
pub struct Position {
    /// Failure domain.
    pub domain: Box<str>,
    /// Region of each failure domain.
    pub regions: HashMap<Box<str>, Box<str>>,
}

/// Upstreams and requests, as one instance knows them.
#[derive(Debug)]
pub struct Fleet {
    position: Position,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    names: HashMap<Box<str>, UpstreamKey>,
    /// Upstreams by [`Fleet::mark`].
    marks: HashMap<u64, UpstreamKey>,
    runs: SlotMap<RunKey, Run>,
    waiting: waiting::Line,
    peers: HashMap<SocketAddr, peers::Peer>,
    /// Changes with every placement, so that equal upstreams take turns, differently at each instance.
    draw: u64,
}

/// Weight of one attempt in the decaying share of failures: a fifth, so that about five attempts decide.
const FAILURE_WEIGHT: f64 = 0.2;

/// How long an upstream that refused a connection gets nothing new.
///
/// A crashed one stays in the directory for some heartbeats; a second is the time of one.
const AVOID: Duration = Duration::from_secs(1);

impl Fleet {
    /// A fleet without upstreams, seen from `position`; `seed` is a random number.
    pub fn new(position: Position, seed: u64) -> Self {
        Self {
            position,
            upstreams: SlotMap::with_key(),
            names: HashMap::new(),
            marks: HashMap::new(),
            runs: SlotMap::with_key(),
            waiting: waiting::Line::default(),
            peers: HashMap::new(),
            draw: seed,
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
    pub fn begin(&mut self, upstream: UpstreamKey, size: Size) -> RunKey {
        self.draw = self.draw.wrapping_add(1);
        if let Some(found) = self.upstreams.get_mut(upstream) {
            found.runs += 1;
            found.tokens += size.tokens;
            found.unread += size.unread;
        }
        self.runs.insert(Run { upstream, size })
    }

    /// Corrects what a request takes, as its prompt is read or its answer grows.
    pub fn resize(&mut self, run: RunKey, size: Size) {
        let Some(known) = self.runs.get_mut(run) else {
            return;
        };
        let before = std::mem::replace(&mut known.size, size);
        if let Some(found) = self.upstreams.get_mut(known.upstream) {
            found.tokens = (found.tokens + size.tokens).saturating_sub(before.tokens);
            found.unread = (found.unread + size.unread).saturating_sub(before.unread);
        }
    }

    /// Notes that a request is at its upstream no more.
    pub fn end(&mut self, run: RunKey) {
        let Some(known) = self.runs.remove(run) else {
            return;
        };
        if let Some(found) = self.upstreams.get_mut(known.upstream) {
            found.runs = found.runs.saturating_sub(1);
            found.tokens = found.tokens.saturating_sub(known.size.tokens);
            found.unread = found.unread.saturating_sub(known.size.unread);
        }
    }

    /// Takes in what `upstream` says of its load.
    pub fn observe(&mut self, upstream: UpstreamKey, observed: Observed) {
        if let Some(found) = self.upstreams.get_mut(upstream) {
            found.observed = Some(observed);
        }
    }

    /// Learns from an attempt whether `upstream` does its work.
    pub fn judge(&mut self, upstream: UpstreamKey, quality: Quality, now: Time) {
        let Some(found) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let failed = match quality {
            Quality::Good => 0.0,
            Quality::Poor => 1.0,
            Quality::Unreachable => {
                found.avoid = now + AVOID;
                1.0
            }
        };
        found.failure += FAILURE_WEIGHT * (failed - found.failure);
    }
}
