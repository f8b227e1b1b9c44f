//! Which instances watch the store, and which ask it while it does not answer.
//!
//! Calls to the store are priced and limited, and every change would complete the watch of every instance.
//! Only a few instances therefore watch. They pass changes on in datagrams, by which the others also notice
//! when they are behind and have to fetch what they missed. An instance watches if fewer than
//! [`MIN_WATCHERS`] of the instances ranked before it report that they watch.
//!
//! When none watches any more, all instances would ask the store at once, and go on asking for as long as it is away. Only
//! the first ones do ([`FIRST_CALLERS`]). The others draw their turns, so that their calls together are as frequent whatever
//! the size of the fleet ([`CALL_SPACING`]), in case that the store turns just the first ones away.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Number of instances that watch. If one fails or its datagrams are lost, the other still passes changes on.
/// If both fail, others start to watch within [`WATCHER_TTL`].
pub const MIN_WATCHERS: usize = 2;

/// How long an instance counts as present, and as watching, after its last report; instances report once a second.
pub const WATCHER_TTL: Duration = Duration::from_millis(1_600);

/// How long an instance is remembered after its last report, so that one which has gone does not count as present again
/// for being registered still.
const FORGET_TTL: Duration = Duration::from_mins(1);

/// How long an instance takes part after its last report, whether or not it is registered in the store: three reports.
pub const MEMBER_TTL: Duration = Duration::from_secs(3);

/// How long an instance is relied on to pass changes on after its last report. A network partition is noticed
/// after this time, which has to be less than the 1.5 s by which upstreams announce that they leave.
const RELAY_TTL: Duration = Duration::from_millis(1_200);

/// Number of present instances that ask the store without waiting for a turn: twice those that watch.
pub const FIRST_CALLERS: usize = 4;

/// Mean time between the calls of the others. With those of the first ones, about ten calls a second are made during an
/// outage, above which operators are alerted.
pub const CALL_SPACING: Duration = Duration::from_millis(300);

/// Mean pause of an instance after a call that has failed, at its longest; it comes before each further turn.
const FAILURE_PAUSE: Duration = Duration::from_millis(600);

/// Largest draw that counts, for a turn of about seven times the mean.
const MAX_DRAW: f64 = 0.999;

/// What an instance last reported.
#[derive(Clone, Copy, Debug)]
struct Seen {
    at: Instant,
    watching: bool,
    /// Whether it has reported, and is not only registered in the store.
    heard: bool,
}

impl Seen {
    fn is_present(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < WATCHER_TTL
    }
}

/// The other instances, and whether they report that they watch the store.
#[derive(Clone, Debug, Default)]
pub struct Watchers {
    seen: HashMap<SocketAddr, Seen>,
}

impl Watchers {
    /// Knows of no other instance.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records whether `peer` reports that it watches. Returns whether it has watched until now and does not any more.
    pub fn record(&mut self, peer: SocketAddr, watching: bool, now: Instant) -> bool {
        let seen = Seen {
            at: now,
            watching,
            heard: true,
        };
        let before = self.seen.insert(peer, seen);
        before.is_some_and(|before| before.watching && !watching)
    }

    /// Records that `peers` are registered in the store: until they have reported, they count as present.
    pub fn expect(&mut self, peers: impl Iterator<Item = SocketAddr>, now: Instant) {
        for peer in peers {
            self.seen.entry(peer).or_insert(Seen {
                at: now,
                watching: false,
                heard: false,
            });
        }
    }

    /// Instances that have reported within [`MEMBER_TTL`]. The store may turn one away until its registration ends, while it
    /// runs and reaches the others.
    pub fn members(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        let seen = self.seen.iter();
        seen.filter(move |(_, seen)| seen.heard && now.saturating_duration_since(seen.at) < MEMBER_TTL)
            .map(|(peer, _)| *peer)
    }

    /// Whether any other instance has reported lately.
    pub fn hears_any(&self, now: Instant) -> bool {
        self.seen.values().any(|seen| seen.heard && seen.is_present(now))
    }

    /// Whether any other instance watches and passes changes on.
    pub fn any_active(&self, now: Instant) -> bool {
        self.seen
            .values()
            .any(|seen| seen.watching && now.saturating_duration_since(seen.at) < RELAY_TTL)
    }

    /// Whether the instance at `own` has to watch.
    pub fn must_watch(&mut self, own: SocketAddr, now: Instant) -> bool {
        self.seen
            .retain(|_, seen| now.saturating_duration_since(seen.at) < FORGET_TTL);
        self.watchers_before(own, now) < MIN_WATCHERS
    }

    /// Whether the instance at `own` is the first of those that watch.
    pub fn is_first(&self, own: SocketAddr, now: Instant) -> bool {
        self.watchers_before(own, now) == 0
    }

    /// How long the instance at `own`, which has to watch, waits before it asks a store that does not answer it; zero for the
    /// first ones. `draw` is a random number from 0 to 1.
    pub fn turn(&self, own: SocketAddr, now: Instant, draw: f64) -> Duration {
        let rank = rank(own);
        let (mut count, mut before) = (1_usize, 0);
        for (peer, _) in self.seen.iter().filter(|(_, seen)| seen.is_present(now)) {
            count += 1;
            before += usize::from(ranks_before(*peer, rank));
        }
        if before < FIRST_CALLERS {
            return Duration::ZERO;
        }
        // Exponential, so that the calls of all are as frequent at first as later.
        let share = -(1.0 - draw.clamp(0.0, MAX_DRAW)).ln();
        let mean = CALL_SPACING.mul_f64((count - FIRST_CALLERS) as f64);
        mean.saturating_sub(FAILURE_PAUSE).mul_f64(share)
    }

    fn watchers_before(&self, own: SocketAddr, now: Instant) -> usize {
        let rank = rank(own);
        self.seen
            .iter()
            .filter(|(peer, seen)| seen.watching && seen.is_present(now) && ranks_before(**peer, rank))
            .count()
    }
}

fn ranks_before(peer: SocketAddr, own: u64) -> bool {
    rank(peer) < own
}

/// Rank of an instance. It is a hash of the address, so that the watching instances are spread over failure
/// domains, within which addresses are close to each other.
fn rank(address: SocketAddr) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    address.hash(&mut hasher);
    hasher.finish()
}
