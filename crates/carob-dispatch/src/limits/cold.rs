//! Upstreams that are cold, and the permits for them.
//!
//! A cold upstream crashes if it gets far more requests than the rate that its service names. In any second it may get the
//! rate times [`ColdOptions::overage`], plus [`ColdOptions::slack`], from all instances together. While it is cold, a
//! request is sent to it only with a permit:
//!
//! * Each instance takes one for the issuer, as for limits, and names it to all others. An issuer issues the part of the
//!   rate and of the slack that belongs to the instances which name it. No instance names two at a time, so that several
//!   issuers together issue what one would, whatever each of them hears of the others.
//! * A permit expires (overage - 1) s after it was issued at the earliest, also if its message was delayed: it counts from
//!   the time at which the instance asked for it, on the instance's own clock.
//! * Permits are checked when a request is sent, not only when it gets its place.

mod bound;
mod entry;
mod issuer;

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use carob_base::Time;

use super::{MAX_UPSTREAMS, MAX_WANTED, Members, Origin, issuer_of, member_hash};
use bound::Bound;
pub use bound::{ColdOptions, ColdPermits, ColdRate, ColdWant};
use entry::Entry;

/// Time for which a request waits for a permit if all upstreams are cold and none is expected in its time. With the 80 ms of
/// limits, requests give up while their permits are on the way: 300 instances used 0.79 of a rate.
pub const COLD_ASK_TIME: Duration = Duration::from_millis(250);

/// Time after which a want is repeated, and minimum time between two that differ.
const REPEAT_TIME: Duration = Duration::from_millis(400);
const MIN_INTERVAL: Duration = Duration::from_millis(15);

/// Time after which [`Cold::poll`] is to be called again at the latest, while an upstream is cold.
const MAX_INTERVAL: Duration = Duration::from_millis(100);

/// Time after the first statement for which a process issues nothing: it does not know the other instances yet, and would
/// take itself for the only one.
const START_TIME: Duration = Duration::from_millis(2_200);

/// Time by which an answer to a health check has to exceed what is known to count as a statement of its own.
const MARGIN: Duration = Duration::from_millis(500);

/// Number that stands for the process in statements of directory entries without a sequence number.
const UNNUMBERED: u64 = 1;

/// A statement about an upstream in a message between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdReport {
    /// Hash of the upstream's name and incarnation.
    pub incarnation: u64,
    /// Time for which it stays cold.
    pub left: Duration,
    /// Where the statement was made: for a directory entry the process 0 and the entry's sequence number.
    pub origin: Origin,
    /// Hash of the instance that the sender takes for the issuer; zero if it does not know yet.
    pub issuer: u64,
}

carob_base::plain! {
    /// A message about permits for a cold upstream.
    pub struct ColdMessage {
        /// The instance that it goes to.
        pub to: SocketAddr,
        /// Hash of the upstream's name and incarnation.
        pub incarnation: u64,
        /// What it says.
        pub content: ColdContent,
    }

    /// What a message about permits for a cold upstream says.
    pub enum ColdContent {
        /// The sender wants permits; replaces what it wanted before.
        Want(ColdWant),
        /// The receiver gets permits.
        Permits(ColdPermits),
    }

    /// Whether a request that is about to be sent has a permit.
    pub enum Spent {
        /// It needs none.
        NotNeeded,
        /// It has used one.
        Permit,
        /// The upstream is cold, and there is no permit.
        Missing,
    }

    /// A permit that was taken for a request.
    pub struct ColdPermit {
        incarnation: u64,
        expires: Time,
    }
}

/// An upstream that has become cold for this instance, or is not cold any more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdChange {
    /// Hash of the upstream's name and incarnation.
    pub incarnation: u64,
    /// Time for which it stays cold; zero if it is not.
    pub left: Duration,
    /// Requests a second that it takes.
    pub rate: f64,
    /// Where the statement was made; see [`ColdReport::origin`].
    pub origin: Origin,
}

/// The upstreams that are cold, and this instance's permits.
#[derive(Debug, Default)]
pub struct Cold {
    options: ColdOptions,
    boot_id: u64,
    next_number: u64,
    rates: HashMap<Box<str>, ColdRate>,
    /// By the upstream's incarnation.
    entries: HashMap<u64, Entry>,
    /// Upstreams of which other instances are to be told.
    unsent: Vec<u64>,
    started: Option<Time>,
    /// Sum of the hashes of the instances from which the issuers were chosen.
    members: u64,
}

impl Cold {
    /// Creates an instance that knows no cold upstream. `boot_id` is a random number, different for each process.
    pub fn new(boot_id: u64) -> Self {
        Self {
            boot_id,
            ..Self::default()
        }
    }

    /// Sets how far a second may exceed the rates.
    pub const fn set_options(&mut self, options: ColdOptions) {
        self.options = options;
    }

    /// Replaces the rates of the services.
    pub fn set_rates(&mut self, rates: HashMap<Box<str>, ColdRate>) {
        self.rates = rates;
        for entry in self.entries.values_mut() {
            entry.rate = rate_of(&self.rates, &entry.service);
        }
    }

    /// Whether no upstream has ever been cold.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of upstreams that are cold and bounded.
    pub fn count(&self, now: Time) -> usize {
        self.entries
            .values()
            .filter(|entry| entry.is_bounded(now))
            .count()
    }

    /// Whether requests to the upstream need a permit.
    pub fn is_bounded(&self, incarnation: u64, now: Time) -> bool {
        self.bounded(incarnation, now).is_some()
    }

    /// Whether no request may be sent to the upstream until a permit arrives.
    pub fn is_held(&self, incarnation: u64, now: Time) -> bool {
        self.bounded(incarnation, now)
            .is_some_and(|entry| !entry.permits.iter().any(|expires| *expires > now))
    }

    fn bounded(&self, incarnation: u64, now: Time) -> Option<&Entry> {
        self.entries
            .get(&incarnation)
            .filter(|entry| entry.is_bounded(now))
    }

    /// Records the directory entry `sequence` of an upstream of `service`, by which it stayed cold for `left` when the
    /// entry was written. Since it may have been written at any time before, it is taken for cold for that long from now.
    pub fn record_entry(&mut self, upstream: (u64, &str), sequence: u64, left: Duration, now: Time) {
        let origin = if sequence > 0 {
            Origin {
                boot_id: 0,
                number: sequence,
            }
        } else {
            Origin {
                boot_id: UNNUMBERED,
                number: left.as_millis() as u64,
            }
        };
        self.apply(upstream, origin, left, now);
    }

    /// Records an answer of an upstream to a health check.
    pub fn record_health(&mut self, upstream: (u64, &str), left: Duration, now: Time) {
        let known = self
            .entries
            .get(&upstream.0)
            .map_or(Time::ZERO, |entry| entry.until);
        if left.is_zero() || left <= known.since(now) + MARGIN {
            return;
        }
        self.next_number += 1;
        let origin = Origin {
            boot_id: self.boot_id,
            number: self.next_number,
        };
        self.apply(upstream, origin, left, now);
    }

    /// Merges a report of the instance at `peer`; `own` is the address of this one.
    pub fn merge(
        &mut self,
        service: &str,
        report: &ColdReport,
        (peer, own): (SocketAddr, SocketAddr),
        now: Time,
    ) {
        self.apply((report.incarnation, service), report.origin, report.left, now);
        if let Some(entry) = self.entries.get_mut(&report.incarnation) {
            entry
                .issuer
                .set_vote(peer, report.issuer == member_hash(own), now);
        }
    }

    fn apply(&mut self, (incarnation, service): (u64, &str), origin: Origin, left: Duration, now: Time) {
        self.started.get_or_insert(now);
        let is_known = self.entries.contains_key(&incarnation);
        if !is_known && (left.is_zero() || self.entries.len() >= MAX_UPSTREAMS) {
            return;
        }
        let rate = rate_of(&self.rates, service);
        let phase = xxhash_rust::xxh3::xxh3_64_with_seed(&self.boot_id.to_le_bytes(), incarnation);
        let entry = self
            .entries
            .entry(incarnation)
            .or_insert_with(|| Entry::new(service, rate, origin, phase as f64 / u64::MAX as f64));
        entry.apply(origin, left, now);
        // Others read entries themselves, and are told at once which issuer this instance takes for its own.
        if origin.boot_id == self.boot_id {
            self.unsent.push(incarnation);
        }
    }

    /// Returns the upstreams that have become cold for this instance, or are not cold any more, since the last call.
    pub fn take_changes(&mut self, now: Time) -> Vec<ColdChange> {
        let mut changes = Vec::new();
        for (incarnation, entry) in &mut self.entries {
            let is_bounded = entry.is_bounded(now);
            if std::mem::replace(&mut entry.was_bounded, is_bounded) == is_bounded {
                continue;
            }
            if !is_bounded {
                entry.permits.clear();
                entry.told = None;
            }
            changes.push(ColdChange {
                incarnation: *incarnation,
                left: if is_bounded {
                    entry.until.since(now)
                } else {
                    Duration::ZERO
                },
                rate: entry.rate,
                origin: entry.origin,
            });
        }
        changes
    }

    /// Whether other instances are to be told something.
    pub const fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Returns the statements for other instances: all that are in force if `complete`, else those that have changed.
    pub fn take_reports(&mut self, complete: bool, now: Time) -> Vec<ColdReport> {
        let mut unsent = std::mem::take(&mut self.unsent);
        if complete {
            unsent = self.entries.keys().copied().collect();
        }
        unsent.sort_unstable();
        unsent.dedup();
        let report = |incarnation: &u64| {
            let entry = self.bounded(*incarnation, now)?;
            Some(ColdReport {
                incarnation: *incarnation,
                left: entry.until.since(now),
                origin: entry.origin,
                issuer: entry.vote.map_or(0, member_hash),
            })
        };
        unsent.iter().filter_map(report).collect()
    }

    /// Records that a request would be sent to the upstream if there were a permit.
    pub fn record_demand(&mut self, incarnation: u64, now: Time) {
        if let Some(entry) = self.entries.get_mut(&incarnation) {
            entry.record_demand(now);
        }
    }

    /// Records that a request which has its place waits for a permit until `until` at most.
    pub fn record_wait(&mut self, incarnation: u64, until: Time) {
        if let Some(entry) = self.entries.get_mut(&incarnation)
            && entry.waiting.len() < MAX_WANTED as usize
        {
            entry.waiting.push(until);
        }
    }

    /// Whether so few requests wanted the upstream lately that its issuer has to be asked whether there is a permit.
    pub fn is_rarely_wanted(&self, incarnation: u64) -> bool {
        self.entries
            .get(&incarnation)
            .is_some_and(Entry::is_rarely_wanted)
    }

    /// Permits a second that this instance can expect for a cold upstream: those that arrived lately, or an equal share of
    /// the rate among `instances`. `None` if it needs none.
    pub fn expected_rate(&self, incarnation: u64, instances: usize, now: Time) -> Option<f64> {
        let entry = self.bounded(incarnation, now)?;
        Some(entry.arrival_rate(now).max(entry.rate / instances.max(1) as f64))
    }

    /// Takes a permit for a request to the upstream. Returns `None` if none is needed, or there is none.
    pub fn take_permit(&mut self, incarnation: u64, now: Time) -> Option<ColdPermit> {
        let entry = self
            .entries
            .get_mut(&incarnation)
            .filter(|entry| entry.is_bounded(now))?;
        entry.expire(now);
        let expires = entry.permits.pop_front()?;
        // The request that takes it wants none any more.
        if !entry.waiting.is_empty() {
            entry.waiting.remove(0);
        }
        Some(ColdPermit { incarnation, expires })
    }

    /// Gives back a permit whose request was not sent.
    pub fn give_back(&mut self, permit: ColdPermit) {
        if let Some(entry) = self.entries.get_mut(&permit.incarnation) {
            entry.permits.push_front(permit.expires);
        }
    }

    /// Spends a permit for a request that is about to be sent: its own `permit` if that is still valid, or another one.
    pub fn spend(&mut self, incarnation: u64, permit: Option<ColdPermit>, now: Time) -> Spent {
        if !self.is_bounded(incarnation, now) {
            return Spent::NotNeeded;
        }
        let is_valid = |permit: &ColdPermit| permit.incarnation == incarnation && permit.expires > now;
        match permit
            .filter(is_valid)
            .or_else(|| self.take_permit(incarnation, now))
        {
            Some(_) => Spent::Permit,
            None => Spent::Missing,
        }
    }

    /// Applies a message of the instance at `from`. Returns the number of permits that this instance gets by it.
    pub fn receive(&mut self, from: SocketAddr, incarnation: u64, content: ColdContent, now: Time) -> u32 {
        let Some(entry) = self.entries.get_mut(&incarnation) else {
            return 0;
        };
        match content {
            ColdContent::Want(want) => {
                entry.issuer.set_wanted(from, want, now);
                0
            }
            // The answer to another process of this instance.
            ColdContent::Permits(permits) if permits.asked > now => 0,
            ColdContent::Permits(permits) => {
                let issued = now.min(permits.asked + permits.kept);
                if let Some(told) = &mut entry.told {
                    // The issuer counts them as well.
                    let waiting = told.waiting.min(permits.count);
                    told.waiting -= waiting;
                    told.expected = told.expected.saturating_sub(permits.count - waiting);
                }
                entry.add_permits(
                    permits.count,
                    issued + self.options.permit_time(),
                    &self.options,
                    now,
                )
            }
        }
    }

    /// Issues the permits that are due, and tells issuers what this instance wants. `queued` tells how many requests in the queue
    /// wait for an upstream. Returns the messages to be sent, and the number of permits that this instance has issued to itself.
    pub fn poll(
        &mut self,
        members: Members<'_>,
        queued: impl Fn(u64) -> u32,
        now: Time,
    ) -> (Vec<ColdMessage>, u32) {
        let started = *self.started.get_or_insert(now);
        // With hundreds of upstreams and instances, choosing all issuers again takes some of an instance's time.
        let hashes = members.heard.iter().chain([&members.own]);
        let sum = hashes.fold(0, |sum: u64, member| sum.wrapping_add(member_hash(*member)));
        let is_same = std::mem::replace(&mut self.members, sum) == sum;
        let mut messages = Vec::new();
        let mut own_permits = 0;
        for (incarnation, entry) in &mut self.entries {
            if !entry.is_bounded(now) {
                entry.vote = None;
                continue;
            }
            let message = |to, content| ColdMessage {
                to,
                incarnation: *incarnation,
                content,
            };
            entry.expire(now);
            let want = entry.wanted(queued(*incarnation), &self.options, now);
            let vote = entry.vote.filter(|_| is_same);
            let to = vote.unwrap_or_else(|| issuer_of(*incarnation, members));
            if entry.vote.replace(to) != Some(to) {
                entry.told = None;
                self.unsent.push(*incarnation);
            }
            entry.issuer.set_vote(members.own, to == members.own, now);
            if to == members.own {
                entry.issuer.set_wanted(to, want, now);
            } else if is_due(entry.told, want) {
                entry.told = Some(want);
                messages.push(message(to, ColdContent::Want(want)));
            }
            if now.since(started) < START_TIME {
                continue;
            }
            let bound = Bound {
                rate: entry.rate,
                slack: self.options.slack,
            };
            for (to, permits) in entry.issuer.issue(bound, members.registered, now) {
                if to == members.own {
                    let expires = now + self.options.permit_time();
                    own_permits += entry.add_permits(permits.count, expires, &self.options, now);
                } else {
                    messages.push(message(to, ColdContent::Permits(permits)));
                }
            }
        }
        (messages, own_permits)
    }

    /// Time after which [`Self::poll`] is to be called again, unless something changes before; `None` if no upstream is
    /// cold.
    pub fn next_poll(&self, now: Time) -> Option<Duration> {
        let bounded = self
            .entries
            .values()
            .filter(|entry| entry.was_bounded || entry.is_bounded(now));
        bounded
            .map(|entry| {
                let due = if entry.issuer.is_wanted() {
                    entry.issuer.next_due(entry.rate)
                } else {
                    MAX_INTERVAL
                };
                due.min(entry.until.since(now))
            })
            .min()
    }

    /// Drops upstreams that are not known any more, once it was told that they are not cold.
    pub fn evict_stale(&mut self, is_listed: impl Fn(u64) -> bool) {
        self.entries
            .retain(|incarnation, entry| entry.was_bounded || is_listed(*incarnation));
    }
}

/// Whether the issuer is to be told of `want`, after it was told of another one.
fn is_due(told: Option<ColdWant>, want: ColdWant) -> bool {
    let Some(told) = told else { return true };
    let elapsed = want.sent.since(told.sent);
    if (want.waiting, want.expected) == (told.waiting, told.expected) {
        want.total() > 0 && elapsed >= REPEAT_TIME
    } else {
        told.total() == 0 || elapsed >= MIN_INTERVAL
    }
}

fn rate_of(rates: &HashMap<Box<str>, ColdRate>, service: &str) -> f64 {
    rates
        .get(service)
        .and_then(|rate| rate.per_second())
        .unwrap_or_default()
}
