//! Places at an upstream that falls over if it has to reject too many requests.
//!
//! While an upstream says that it is brittle, its issuer hands out places for requests that run at a time, as many as it
//! has slots. A place may be used for one request after the other until it expires. Each instance tells the issuer how many
//! it holds, in use or not, so that places which are lost on the way or with an instance come back.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use carob_base::Time;

use super::{MAX_WANTED, Statement};

/// How long a place can be used for further requests.
const PLACE_TIME: Duration = Duration::from_secs(1);

/// Time over which requests count as demand, and after which a place without demand is given back.
const DEMAND_TIME: Duration = Duration::from_millis(100);

/// Time over which places that were taken are counted, to estimate when the next one is free.
const TAKEN_TIME: Duration = Duration::from_secs(1);

/// Minimum time between two claims, and time after which one is repeated.
const CLAIM_INTERVAL: Duration = Duration::from_millis(15);
const CLAIM_REPEAT: Duration = Duration::from_millis(200);

/// Time for which a new issuer learns what the others hold before it hands out places.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// Time without a claim after which an instance counts as ended, and its requests with it.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(2_200);

/// Time after a rejection until one place more is handed out again.
const REGAIN_TIME: Duration = Duration::from_secs(1);

/// Time in which an upstream that has just started gets one place more.
const RAMP_TIME: Duration = Duration::from_millis(400);

carob_base::plain! {
    /// What an instance tells the issuer.
    pub struct Claim {
        /// Places that it wants beyond those that it holds.
        pub wanted: u32,
        /// Places that it holds: requests that run, and places that are free.
        pub held: u32,
        /// Number of places that it has got from the issuer's process.
        pub seen: u64,
        /// Random number of that process.
        pub issuer: u64,
        /// Requests that the upstream has rejected, since the start of the instance's process.
        pub rejected: u64,
    }

    /// What the issuer tells an instance.
    pub struct Grant {
        /// Number of places that the instance has got from this process.
        pub total: u64,
        /// Random number of the issuer's process.
        pub issuer: u64,
    }

    /// What an instance does at an upstream, and how much the upstream can do.
    pub struct Usage {
        /// Requests of this instance that run at the upstream.
        pub running: u32,
        /// Requests that the upstream runs at a time.
        pub slots: u32,
    }
}

/// What the issuer knows of an instance.
#[derive(Clone, Copy, Debug)]
struct Holder {
    claim: Claim,
    at: Time,
    /// Places that were handed out to it by this process.
    issued: u64,
    /// When it was last told.
    told: Time,
    /// Places that it is due more than others; negative if it got more than its part.
    credit: f64,
}

/// Places of one upstream, on both sides.
#[derive(Debug)]
pub(super) struct Places {
    pub(super) statement: Statement,
    /// Random number of this process.
    boot_id: u64,
    /// Expiry of each place that is not in use, soonest first.
    free: VecDeque<Time>,
    seen: u64,
    issuer: u64,
    demand: VecDeque<Time>,
    waiting: Vec<Time>,
    /// Times at which places were taken within [`TAKEN_TIME`].
    taken: VecDeque<Time>,
    rejected: u64,
    told: Option<(Claim, Time)>,
    holders: BTreeMap<SocketAddr, Holder>,
    /// Since when this instance issues.
    issuing: Option<Time>,
    /// Since when the upstream gets requests; absent if it did before it became brittle.
    started: Option<Time>,
    /// Places that were in use at the last rejection, and when that was.
    full: Option<(u32, Time)>,
}

impl Places {
    pub(super) fn new(statement: Statement, boot_id: u64, started: Option<Time>) -> Self {
        Self {
            statement,
            boot_id,
            free: VecDeque::new(),
            seen: 0,
            issuer: 0,
            demand: VecDeque::new(),
            waiting: Vec::new(),
            taken: VecDeque::new(),
            rejected: 0,
            told: None,
            holders: BTreeMap::new(),
            issuing: None,
            started,
            full: None,
        }
    }

    pub(super) const fn is_brittle(&self) -> bool {
        self.statement.rate.is_some()
    }

    /// Forgets what concerns places, since the upstream is not brittle any more.
    pub(super) fn clear(&mut self) {
        *self = Self::new(self.statement, self.boot_id, None);
    }

    pub(super) fn has_free(&self, now: Time) -> bool {
        self.free.iter().any(|expires| *expires > now)
    }

    /// Takes a place; returns when it expires.
    pub(super) fn take(&mut self, now: Time) -> Option<Time> {
        self.expire(now);
        let expires = self.free.pop_front()?;
        // The request that takes it wants none any more.
        self.demand.pop_front();
        if !self.waiting.is_empty() {
            self.waiting.remove(0);
        }
        self.taken.push_back(now);
        Some(expires)
    }

    /// Places a second that this instance can expect: those that it took lately, or what an issuer hands out at first.
    pub(super) fn expected_rate(&self, now: Time) -> f64 {
        let recent = self.taken.iter().filter(|at| now.since(**at) <= TAKEN_TIME);
        let rate = recent.count() as f64 / TAKEN_TIME.as_secs_f64();
        rate.max(1.0 / SETTLE_TIME.as_secs_f64())
    }

    /// Gives back a place whose request has ended, for another request.
    pub(super) fn give_back(&mut self, expires: Time) {
        if self.is_brittle() {
            self.free.push_front(expires);
        }
    }

    pub(super) fn record_demand(&mut self, now: Time) {
        if self.demand.len() < MAX_WANTED as usize {
            self.demand.push_back(now);
        }
    }

    pub(super) fn record_wait(&mut self, until: Time) {
        if self.waiting.len() < MAX_WANTED as usize {
            self.waiting.push(until);
        }
    }

    pub(super) const fn record_rejected(&mut self) {
        self.rejected += 1;
    }

    fn expire(&mut self, now: Time) {
        self.free.retain(|expires| *expires > now);
        self.waiting.retain(|until| *until > now);
        while self.taken.front().is_some_and(|at| now.since(*at) > TAKEN_TIME) {
            self.taken.pop_front();
        }
        while self.demand.front().is_some_and(|at| now.since(*at) > DEMAND_TIME) {
            self.demand.pop_front();
        }
    }

    /// The claim of this instance, whose `running` requests run at the upstream. Free places without demand are dropped.
    fn claim(&mut self, running: u32, now: Time) -> Claim {
        self.expire(now);
        let useful = self.demand.len().max(self.waiting.len());
        self.free.truncate(useful);
        Claim {
            wanted: (useful - self.free.len()) as u32,
            held: running + self.free.len() as u32,
            seen: self.seen,
            issuer: self.issuer,
            rejected: self.rejected,
        }
    }

    /// Returns the claim that is to be sent to another instance that issues, if one is due.
    pub(super) fn next_claim(&mut self, usage: Usage, now: Time) -> Option<Claim> {
        self.issuing = None;
        self.holders.clear();
        let claim = self.claim(usage.running, now);
        let is_idle = claim.wanted == 0 && claim.held == 0;
        let is_due = match self.told {
            None => true,
            Some((told, at)) if told == claim => !is_idle && now.since(at) >= CLAIM_REPEAT,
            Some((_, at)) => now.since(at) >= CLAIM_INTERVAL,
        };
        is_due.then(|| {
            self.told = Some((claim, now));
            claim
        })
    }

    /// Applies the claim of the instance at `from`.
    pub(super) fn receive_claim(&mut self, from: SocketAddr, claim: Claim, now: Time) {
        let before = self.outstanding();
        let holder = self.holders.entry(from).or_insert(Holder {
            claim,
            at: now,
            issued: 0,
            told: now,
            credit: 0.0,
        });
        let is_rejected = claim.rejected > holder.claim.rejected;
        if claim.rejected < holder.claim.rejected {
            // Its process has ended, and what it held with it.
            holder.issued = 0;
        }
        holder.claim = claim;
        holder.at = now;
        if is_rejected {
            self.full = Some((before.saturating_sub(1), now));
        }
    }

    /// Applies a grant; returns the number of new places.
    pub(super) fn receive_grant(&mut self, grant: Grant, now: Time) -> u32 {
        if grant.issuer != self.issuer {
            self.issuer = grant.issuer;
            self.seen = 0;
        }
        let added = grant.total.saturating_sub(self.seen).min(u64::from(MAX_WANTED));
        self.seen = self.seen.max(grant.total);
        self.free.extend((0..added).map(|_| now + PLACE_TIME));
        added as u32
    }

    fn outstanding(&self) -> u32 {
        self.holders
            .values()
            .map(|holder| holder.outstanding(self.boot_id))
            .sum()
    }

    /// Number of places that may be in use at a time, of an upstream with `slots`; `known` is the part of the registered
    /// instances that this one hears of.
    fn capacity(&self, slots: u32, known: f64, now: Time) -> u32 {
        let ramp = self.started.map_or(u32::MAX, |started| {
            1 + (now.since(started).as_millis() / RAMP_TIME.as_millis()) as u32
        });
        let learned = self.full.map_or(u32::MAX, |(full, at)| {
            full + (now.since(at).as_millis() / REGAIN_TIME.as_millis()) as u32
        });
        let whole = slots.max(1).min(ramp).min(learned).max(1);
        (f64::from(whole) * known).floor() as u32
    }

    /// Hands out the places that are free, as the issuer. Returns the grants to be sent, and the number of places that this
    /// instance gets itself.
    pub(super) fn issue(
        &mut self,
        own: SocketAddr,
        usage: Usage,
        known: f64,
        now: Time,
    ) -> (Vec<(SocketAddr, Grant)>, u32) {
        let since = *self.issuing.get_or_insert(now);
        let claim = self.claim(usage.running, now);
        self.receive_claim(own, claim, now);
        self.holders
            .retain(|_, holder| now.since(holder.at) < HOLDER_TIMEOUT);
        let mut left = if now.since(since) < SETTLE_TIME {
            0
        } else {
            self.capacity(usage.slots, known, now)
                .saturating_sub(self.outstanding())
        };
        let boot_id = self.boot_id;
        let wanted =
            |holder: &Holder| u64::from(holder.claim.wanted).saturating_sub(holder.in_transit(boot_id));
        while left > 0 {
            let total: u64 = self.holders.values().map(&wanted).sum();
            if total == 0 {
                break;
            }
            for holder in self.holders.values_mut() {
                holder.credit += wanted(holder) as f64 / total as f64;
            }
            let next = self
                .holders
                .values_mut()
                .filter(|holder| wanted(holder) > 0)
                .max_by(|one, other| one.credit.total_cmp(&other.credit));
            let Some(holder) = next else { break };
            holder.credit -= 1.0;
            holder.issued += 1;
            holder.told = Time::ZERO;
            left -= 1;
        }
        let mut grants = Vec::new();
        let mut own_places = 0;
        for (member, holder) in &mut self.holders {
            let is_due = holder.in_transit(boot_id) > 0 && now.since(holder.told) >= CLAIM_REPEAT;
            if !is_due {
                continue;
            }
            holder.told = now;
            let grant = Grant {
                total: holder.issued,
                issuer: boot_id,
            };
            grants.push((*member, grant));
        }
        if let Some(index) = grants.iter().position(|(member, _)| *member == own) {
            let (_, grant) = grants.swap_remove(index);
            own_places = self.receive_grant(grant, now);
        }
        (grants, own_places)
    }

    /// Time after which the next message may be due.
    pub(super) fn next_poll(&self) -> Duration {
        let is_idle = self.demand.is_empty() && self.waiting.is_empty() && self.free.is_empty();
        let is_issuing = self
            .holders
            .values()
            .any(|holder| holder.claim.wanted > 0 || holder.claim.held > 0);
        if is_idle && !is_issuing && self.told.is_none_or(|(claim, _)| claim.held == 0) {
            CLAIM_REPEAT
        } else {
            CLAIM_INTERVAL
        }
    }
}

impl Holder {
    /// Places that were handed out and that the instance has not got yet, as far as is known.
    const fn in_transit(&self, boot_id: u64) -> u64 {
        if self.claim.issuer == boot_id {
            self.issued.saturating_sub(self.claim.seen)
        } else {
            self.issued
        }
    }

    fn outstanding(&self, boot_id: u64) -> u32 {
        self.claim.held + self.in_transit(boot_id) as u32
    }
}
