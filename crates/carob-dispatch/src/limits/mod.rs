//! Request rates that upstreams name for all instances together.
//!
//! An upstream in need names a limit in its answers. What an instance learns of it is a [`Statement`], which it passes on
//! to the others; the latest statement holds. From then on a request is sent to the upstream only with a permit:
//!
//! * One instance, the *issuer* of the upstream, issues permits at the rate of the limit. All instances choose the same
//!   one among those that they hear of, by a hash, so that nothing has to be agreed.
//! * The others tell the issuer how many permits they want, and get them in proportion.
//! * A permit that is not used within [`Options::permit_time`] is void, so that permits that pile up at idle instances
//!   never become a burst.
//! * An issuer that hears of a part of the registered instances only issues that part of the rate, since the others may
//!   have an issuer of their own.

mod brittle;
mod cold;
mod entry;
mod issue;
mod places;

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use carob_base::Time;
use smallvec::SmallVec;

pub use cold::{
    COLD_ASK_TIME, Cold, ColdChange, ColdContent, ColdMessage, ColdOptions, ColdPermit, ColdPermits,
    ColdRate, ColdReport, ColdWant, Spent,
};
use entry::Entry;
use issue::Issuer;
use places::Places;
pub use places::{Claim, Grant, Usage};

carob_base::plain! {
    /// Identifies a statement: the process that got the answer, and a number within it.
    pub struct Origin {
        /// Random number of the process.
        pub boot_id: u64,
        /// Increases with each statement of the process.
        pub number: u64,
    }

    /// Limits of the mechanism.
    pub struct Options {
        /// How long a permit is valid.
        pub permit_time: Duration,
        /// Time over which requests for an upstream are counted as its demand.
        pub demand_time: Duration,
        /// Age of a statement from which a request with a permit is preferred, so that the limit is confirmed or ended.
        pub confirm_time: Duration,
        /// Time between two messages about the same number of wanted permits.
        pub repeat_time: Duration,
        /// How long a statement is kept after the limit has ended, or its upstream has left the directory.
        pub retention: Duration,
    }
}

/// Requests a second at which permits are issued at least. An upstream that gets nothing answers nothing, so that the end
/// of its limit would never be known.
pub const MIN_RATE: f64 = 0.25;

/// Number of upstreams whose statements are kept at most; those heard of later are ignored.
pub const MAX_UPSTREAMS: usize = 1_024;

/// Number of permits for one upstream that an instance wants at most at a time.
pub const MAX_WANTED: u32 = 256;

/// Time for which a request waits for the answer of an issuer that is seldom asked: a round trip between regions, and the
/// delays of messages.
pub const ASK_TIME: Duration = Duration::from_millis(80);

/// Requests within [`Options::demand_time`] up to which the permits that arrived tell nothing about those to come.
const RARE_DEMAND: usize = 2;

/// Minimum time between two messages about wanted permits, but for the first ones after none were wanted.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which [`Limits::poll`] is to be called again at the latest.
const MAX_INTERVAL: Duration = Duration::from_secs(1);

impl Default for Options {
    /// With permits of 1.5 s, requests of any four seconds are those of 5.5 s of the limit at most. Instances are heard of
    /// once a second; wants that are not repeated for that long are dropped.
    fn default() -> Self {
        Self {
            permit_time: Duration::from_millis(1_500),
            demand_time: Duration::from_secs(1),
            confirm_time: Duration::from_millis(1_500),
            repeat_time: Duration::from_millis(400),
            retention: Duration::from_mins(1),
        }
    }
}

/// What an upstream said of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// Requests a second from all instances together; `None` if the upstream names no limit any more.
    pub rate: Option<f64>,
    /// When the answer that named the limit arrived; when the request was sent whose answer named none.
    pub at: Time,
    /// Where the statement was made.
    pub origin: Origin,
    /// The instance that passed it on; `None` if the answer came to this one.
    pub peer: Option<SocketAddr>,
}

/// A [`Statement`] in a message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Hash of the upstream's name and incarnation.
    pub incarnation: u64,
    /// See [`Statement::rate`].
    pub rate: Option<f64>,
    /// Time since [`Statement::at`].
    pub age: Duration,
    /// See [`Statement::origin`].
    pub origin: Origin,
}

carob_base::plain! {
    /// A message about permits for one upstream.
    pub struct Message {
        /// The instance that it goes to.
        pub to: SocketAddr,
        /// Hash of the upstream's name and incarnation.
        pub incarnation: u64,
        /// What it says.
        pub content: Content,
    }

    /// What a message about permits says.
    pub enum Content {
        /// The sender wants this number of permits; replaces what it wanted before.
        Want(u32),
        /// The receiver may send this number of requests.
        Permits(u32),
        /// The sender holds and wants places at an upstream that is brittle.
        Claim(Claim),
        /// The receiver gets places.
        Grant(Grant),
    }

    /// Whether a request may be sent to an upstream.
    pub enum Access {
        /// The upstream names no limit.
        Open,
        /// There is a permit.
        Permitted,
        /// There is a permit that is to be used soon, or the limit has to be confirmed.
        Preferred,
        /// No request may be sent until a permit arrives.
        Held,
    }

    /// A permit that was taken for a request.
    pub struct Permit {
        incarnation: u64,
        expires: Time,
    }

    /// A place that was taken for a request.
    pub struct Place {
        incarnation: u64,
        expires: Time,
    }
}

/// Instances as one of them knows them.
#[derive(Clone, Copy, Debug)]
pub struct Members<'a> {
    /// This instance.
    pub own: SocketAddr,
    /// The others that it hears of.
    pub heard: &'a [SocketAddr],
    /// Number of all that are registered, this one included.
    pub registered: usize,
}

/// The limits that upstreams name, and this instance's permits.
#[derive(Debug, Default)]
pub struct Limits {
    options: Options,
    boot_id: u64,
    next_number: u64,
    /// By the upstream's incarnation.
    entries: HashMap<u64, Entry>,
    /// Upstreams that say that they are brittle, or did, by incarnation.
    places: HashMap<u64, Places>,
    unsent_brittle: Vec<u64>,
    /// Upstreams with a statement that other instances have not been sent yet.
    unsent: Vec<u64>,
}

impl Limits {
    /// Creates an instance that knows no limits. `boot_id` is a random number, different for each process.
    pub fn new(options: Options, boot_id: u64) -> Self {
        Self {
            options,
            boot_id,
            next_number: 0,
            entries: HashMap::new(),
            places: HashMap::new(),
            unsent_brittle: Vec::new(),
            unsent: Vec::new(),
        }
    }

    /// Whether nothing is known of any limit.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.places.is_empty()
    }

    /// Number of upstreams that name a limit.
    pub fn in_force(&self) -> usize {
        self.entries.values().filter(|entry| entry.is_limited()).count()
    }

    /// Whether requests to the upstream need a permit or a place.
    pub fn is_bounded(&self, incarnation: u64) -> bool {
        self.limit(incarnation).is_some() || self.brittle(incarnation).is_some()
    }

    /// The statement of an upstream that names a limit.
    pub fn limit(&self, incarnation: u64) -> Option<Statement> {
        let entry = self.entries.get(&incarnation)?;
        entry.is_limited().then_some(entry.statement)
    }

    /// Records an answer to a request that was sent at `sent`. `rate` is the limit that it names, in requests a second.
    /// Returns the statement if it changes the limit.
    pub fn record_answer(
        &mut self,
        incarnation: u64,
        rate: Option<f64>,
        sent: Time,
        now: Time,
    ) -> Option<Statement> {
        let is_limited = self.limit(incarnation).is_some();
        let is_known = self.entries.contains_key(&incarnation);
        if (rate.is_none() && !is_limited) || (!is_known && self.entries.len() >= MAX_UPSTREAMS) {
            return None;
        }
        self.next_number += 1;
        let statement = Statement {
            rate,
            at: if rate.is_some() { now } else { sent },
            origin: Origin {
                boot_id: self.boot_id,
                number: self.next_number,
            },
            peer: None,
        };
        let is_changed = self.apply(incarnation, statement, now);
        if is_changed {
            self.unsent.push(incarnation);
        }
        is_changed.then_some(statement)
    }

    /// Merges a report of the instance at `peer`. Returns the statement if it changes the limit.
    pub fn merge(&mut self, report: &Report, peer: SocketAddr, now: Time) -> Option<Statement> {
        let is_valid = report.rate.is_none_or(|rate| rate.is_finite() && rate >= 0.0);
        let is_known = self.entries.contains_key(&report.incarnation);
        if !is_valid || (!is_known && (report.rate.is_none() || self.entries.len() >= MAX_UPSTREAMS)) {
            return None;
        }
        let statement = Statement {
            rate: report.rate,
            at: now - report.age,
            origin: report.origin,
            peer: Some(peer),
        };
        self.apply(report.incarnation, statement, now)
            .then_some(statement)
    }

    /// Returns the statements for other instances: all if `complete`, else those that have changed.
    pub fn take_reports(&mut self, complete: bool, now: Time) -> Vec<Report> {
        let mut unsent = std::mem::take(&mut self.unsent);
        if complete {
            unsent = self.entries.keys().copied().collect();
        }
        let statement = |incarnation| Some(self.entries.get(&incarnation)?.statement);
        reports(unsent, statement, now)
    }

    /// Whether there are statements that other instances have not been sent yet.
    pub const fn has_changes(&self) -> bool {
        !self.unsent.is_empty() || !self.unsent_brittle.is_empty()
    }

    /// Whether a request may be sent to the upstream.
    pub fn access(&self, incarnation: u64, now: Time) -> Access {
        let places = self.places.get(&incarnation).filter(|places| places.is_brittle());
        if places.is_some_and(|places| !places.has_free(now)) {
            return Access::Held;
        }
        let Some(entry) = self.entries.get(&incarnation).filter(|entry| entry.is_limited()) else {
            return Access::Open;
        };
        let Some(expires) = entry.permits.iter().find(|expires| **expires > now) else {
            return Access::Held;
        };
        let is_old = now.since(entry.statement.at) >= self.options.confirm_time;
        if is_old || expires.since(now) <= self.options.permit_time / 2 {
            Access::Preferred
        } else {
            Access::Permitted
        }
    }

    /// Whether the limit has to be confirmed, so that permits are wanted whatever the load of the upstream.
    pub fn is_unconfirmed(&self, incarnation: u64, now: Time) -> bool {
        self.limit(incarnation)
            .is_some_and(|statement| now.since(statement.at) >= self.options.confirm_time)
    }

    /// Records that a request would be sent to the upstream if there were a permit.
    pub fn record_demand(&mut self, incarnation: u64, now: Time) {
        if let Some(places) = self.places.get_mut(&incarnation) {
            places.record_demand(now);
        }
        if let Some(entry) = self.entries.get_mut(&incarnation) {
            entry.expire(&self.options, now);
            if entry.demand.len() < MAX_WANTED as usize {
                entry.demand.push_back(now);
            }
        }
    }

    /// Records that a request waits for a permit until `until` at most.
    pub fn record_wait(&mut self, incarnation: u64, until: Time) {
        if let Some(places) = self.places.get_mut(&incarnation) {
            places.record_wait(until);
        }
        if let Some(entry) = self.entries.get_mut(&incarnation)
            && entry.waiting.len() < MAX_WANTED as usize
        {
            entry.waiting.push(until);
        }
    }

    /// Whether so few requests wanted the upstream lately that its issuer has to be asked whether there is a permit.
    pub fn is_rarely_wanted(&self, incarnation: u64) -> bool {
        let entry = self.entries.get(&incarnation);
        entry.is_some_and(|entry| entry.demand.len() <= RARE_DEMAND)
    }

    /// Takes a permit for a request to the upstream. Returns `None` if none is needed, or there is none.
    pub fn take_permit(&mut self, incarnation: u64, now: Time) -> Option<Permit> {
        let entry = self.entries.get_mut(&incarnation)?;
        entry.expire(&self.options, now);
        let expires = entry.permits.pop_front()?;
        Some(Permit { incarnation, expires })
    }

    /// Gives back a permit whose request was not sent.
    pub fn give_back(&mut self, permit: Permit) {
        if let Some(entry) = self.entries.get_mut(&permit.incarnation) {
            entry.permits.push_front(permit.expires);
        }
    }

    /// Applies a message of the instance at `from`. Returns the number of permits that this instance gets by it.
    pub fn receive(&mut self, from: SocketAddr, incarnation: u64, content: Content, now: Time) -> u32 {
        match content {
            Content::Claim(claim) => {
                if let Some(places) = self.places.get_mut(&incarnation) {
                    places.receive_claim(from, claim, now);
                }
                return 0;
            }
            Content::Grant(grant) => {
                let places = self.places.get_mut(&incarnation);
                return places.map_or(0, |places| places.receive_grant(grant, now));
            }
            Content::Want(_) | Content::Permits(_) => {}
        }
        let Some(entry) = self.entries.get_mut(&incarnation) else {
            return 0;
        };
        match content {
            Content::Want(count) => {
                entry.issuer.set_wanted(from, count.min(MAX_WANTED), now);
                0
            }
            Content::Permits(count) => entry.add_permits(count.min(MAX_WANTED), &self.options, now),
            Content::Claim(_) | Content::Grant(_) => 0,
        }
    }

    /// Issues the permits that are due, and tells issuers what this instance wants. Returns the messages to be sent, and
    /// the number of permits that this instance has issued to itself.
    pub fn poll(&mut self, members: Members<'_>, now: Time) -> (Vec<Message>, u32) {
        let mut messages = Vec::new();
        let mut own_permits = 0;
        for (incarnation, entry) in &mut self.entries {
            let Some(rate) = entry.statement.rate else {
                continue;
            };
            entry.expire(&self.options, now);
            let wanted = entry.wanted();
            let to = issuer_of(*incarnation, members);
            let message = |to, content| Message {
                to,
                incarnation: *incarnation,
                content,
            };
            if to != members.own {
                entry.issuer.suspend();
                let (told, at) = entry.told;
                let elapsed = now.since(at);
                let is_due = if wanted == told {
                    wanted > 0 && elapsed >= self.options.repeat_time
                } else {
                    told == 0 || elapsed >= MIN_INTERVAL
                };
                if is_due {
                    entry.told = (wanted, now);
                    messages.push(message(to, Content::Want(wanted)));
                }
                continue;
            }
            let known = (members.heard.len() + 1) as f64 / members.registered.max(1) as f64;
            let rate = rate.max(MIN_RATE) * known.min(1.0);
            entry.issuer.set_wanted(members.own, wanted, now);
            for (to, count) in entry.issuer.issue(rate, self.options.demand_time, now) {
                if to == members.own {
                    own_permits += entry.add_permits(count, &self.options, now);
                } else {
                    messages.push(message(to, Content::Permits(count)));
                }
            }
        }
        (messages, own_permits)
    }

    /// Time after which [`Self::poll`] is to be called again, unless something changes before; `None` if no limit is in
    /// force.
    pub fn next_poll(&self) -> Option<Duration> {
        let limited = self.entries.values().filter(|entry| entry.is_limited());
        let due = limited.map(|entry| {
            let rate = entry.statement.rate.unwrap_or_default().max(MIN_RATE);
            if entry.issuer.is_wanted() {
                entry.issuer.next_due(rate)
            } else if entry.told.0 > 0 || !(entry.demand.is_empty() && entry.waiting.is_empty()) {
                MIN_INTERVAL
            } else {
                MAX_INTERVAL
            }
        });
        let brittle = self.places.values().filter(|places| places.is_brittle());
        due.chain(brittle.map(Places::next_poll)).min()
    }

    /// Permits a second that this instance can expect for the upstream: those that arrived lately, or an equal share of
    /// the limit among `instances`.
    pub fn expected_rate(&self, incarnation: u64, instances: usize, now: Time) -> f64 {
        let places = self.places.get(&incarnation).filter(|places| places.is_brittle());
        let Some(entry) = self.entries.get(&incarnation).filter(|entry| entry.is_limited()) else {
            return places.map_or(0.0, |places| places.expected_rate(now));
        };
        let Some(rate) = entry.statement.rate else {
            return 0.0;
        };
        let arrived = entry.arrival_rate(now);
        arrived.max(rate.max(MIN_RATE) / instances.max(1) as f64)
    }

    /// Drops what is not needed any more. `is_listed` tells whether an upstream is known.
    pub fn evict_stale(&mut self, is_listed: impl Fn(u64) -> bool, now: Time) {
        let retention = self.options.retention;
        self.places.retain(|incarnation, places| {
            let is_needed = places.is_brittle() && is_listed(*incarnation);
            is_needed || now.since(places.statement.at) < retention
        });
        self.entries.retain(|incarnation, entry| {
            let is_needed = entry.is_limited() && is_listed(*incarnation);
            is_needed || now.since(entry.statement.at) < retention
        });
    }

    /// Applies a statement unless a later one is known; returns whether the limit changes.
    fn apply(&mut self, incarnation: u64, statement: Statement, now: Time) -> bool {
        let Some(entry) = self.entries.get_mut(&incarnation) else {
            self.entries.insert(incarnation, Entry::new(statement, now));
            return true;
        };
        let known = entry.statement;
        // A relayed statement comes back somewhat younger than it is.
        let is_later = (statement.at, statement.origin) > (known.at, known.origin);
        if statement.origin == known.origin || !is_later {
            return false;
        }
        entry.statement = statement;
        if statement.rate.is_none() {
            entry.permits.clear();
        } else if known.rate.is_none() {
            entry.issuer = Issuer::new(now);
        }
        statement.rate != known.rate
    }
}

/// Returns a report of the statement about each of `incarnations`, where there is one.
fn reports(
    mut incarnations: Vec<u64>,
    statement: impl Fn(u64) -> Option<Statement>,
    now: Time,
) -> Vec<Report> {
    incarnations.sort_unstable();
    incarnations.dedup();
    let report = |incarnation: &u64| {
        let statement = statement(*incarnation)?;
        Some(Report {
            incarnation: *incarnation,
            rate: statement.rate,
            age: now.since(statement.at),
            origin: statement.origin,
        })
    };
    incarnations.iter().filter_map(report).collect()
}

/// Returns the instance that issues permits for the upstream, by rendezvous hashing.
fn issuer_of(incarnation: u64, members: Members<'_>) -> SocketAddr {
    let rank = |member: &SocketAddr| {
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&member_bytes(*member), incarnation);
        (hash, *member)
    };
    let all = members.heard.iter().copied().chain([members.own]);
    all.max_by_key(rank).unwrap_or(members.own)
}

/// Identifies an instance in messages.
fn member_hash(member: SocketAddr) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&member_bytes(member))
}

/// The bytes of an address. Instances of all versions have to agree on its hashes, so that they are not left to the library.
fn member_bytes(member: SocketAddr) -> SmallVec<[u8; 18]> {
    let mut bytes: SmallVec<[u8; 18]> = match member.ip() {
        IpAddr::V4(ip) => SmallVec::from_slice(&ip.octets()),
        IpAddr::V6(ip) => SmallVec::from_slice(&ip.octets()),
    };
    bytes.extend_from_slice(&member.port().to_be_bytes());
    bytes
}
