//! Issues the permits of one cold upstream.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use carob_base::Time;

use super::{ColdPermits, ColdWant, bound::Bound};

/// Time after which a vote counts no more: instances announce theirs once a second. It is shorter than the 2.2 s after
/// which an instance that is not heard of any more loses its rank, so that no vote counts at two issuers.
const VOTE_TIME: Duration = Duration::from_millis(1_300);

/// Time for which a vote must hold before it counts, so that the issuer before has learned of the change.
const VOTE_DELAY: Duration = Duration::from_millis(200);

/// Time after which a want that is not repeated counts no more.
const WANT_TIME: Duration = Duration::from_secs(1);

/// Time after which the only permit of an issuer with a small part of the votes is lost if nobody wants it. Permits that
/// are kept at many such issuers would be used in the same moment.
const KEEP_TIME: Duration = Duration::from_millis(100);

/// Permits that an instance may get beyond its part before it stands behind the others.
const MAX_AHEAD: f64 = 1.0;

#[derive(Clone, Copy, Debug)]
struct Vote {
    since: Time,
    heard: Time,
}

#[derive(Clone, Copy, Debug)]
struct Want {
    wanted: ColdWant,
    at: Time,
    /// When the instance wanted more than before.
    raised: Time,
    /// Permits that the instance is due more than others; negative if it got more than its part.
    credit: f64,
}

/// The permits of one upstream that are not issued yet, who wants them, and which instances get theirs here.
#[derive(Debug)]
pub(super) struct Issuer {
    /// Permits that may be issued; may be fractional.
    level: f64,
    /// When `level` was computed; `None` without votes.
    at: Option<Time>,
    /// Since when a permit is kept that exceeds the part of the slack.
    kept: Option<Time>,
    /// Part of a permit by which this instance starts late, if it has few votes.
    phase: f64,
    votes: HashMap<SocketAddr, Vote>,
    wants: BTreeMap<SocketAddr, Want>,
}

impl Issuer {
    /// Creates an issuer without votes. `phase` is a number from 0 to 1, different at each instance.
    pub(super) fn new(phase: f64) -> Self {
        Self {
            level: 0.0,
            at: None,
            kept: None,
            phase,
            votes: HashMap::new(),
            wants: BTreeMap::new(),
        }
    }

    /// Records whether an instance takes this one for the issuer.
    pub(super) fn set_vote(&mut self, member: SocketAddr, is_given: bool, now: Time) {
        if !is_given {
            self.votes.remove(&member);
            return;
        }
        let vote = self.votes.entry(member).or_insert(Vote {
            since: now,
            heard: now,
        });
        if now.since(vote.heard) > VOTE_TIME {
            vote.since = now;
        }
        vote.heard = now;
    }

    /// Sets how many permits an instance wants.
    pub(super) fn set_wanted(&mut self, member: SocketAddr, wanted: ColdWant, now: Time) {
        let want = self.wants.entry(member).or_insert(Want {
            wanted,
            at: now,
            raised: now,
            credit: 0.0,
        });
        if wanted.waiting > want.wanted.waiting {
            want.raised = now;
        }
        want.wanted = wanted;
        want.at = now;
    }

    /// Whether this instance issues, and permits are wanted.
    pub(super) fn is_wanted(&self) -> bool {
        self.at.is_some() && self.wants.values().any(|want| want.wanted.total() > 0)
    }

    /// Time until the next permit may be due at `rate` a second.
    pub(super) fn next_due(&self, rate: f64) -> Duration {
        Duration::from_secs_f64(((1.0 - self.level).max(0.0) / rate).min(1.0))
    }

    /// Returns the permits that are due among `registered` instances, by the instance that gets them.
    ///
    /// The rate and the slack are divided among issuers by their votes, so that several of them together issue what one
    /// would.
    pub(super) fn issue(
        &mut self,
        bound: Bound,
        registered: usize,
        now: Time,
    ) -> Vec<(SocketAddr, ColdPermits)> {
        self.votes.retain(|_, vote| now.since(vote.heard) <= VOTE_TIME);
        self.wants.retain(|_, want| now.since(want.at) <= WANT_TIME);
        let votes = self.votes.values();
        let count = votes.filter(|vote| now.since(vote.since) >= VOTE_DELAY).count();
        if count == 0 {
            self.at = None;
            self.level = 0.0;
            return Vec::new();
        }
        let share = (count as f64 / registered.max(1) as f64).min(1.0);
        self.refill(bound.rate * share, bound.slack * share, now);
        let mut issued: BTreeMap<SocketAddr, ColdPermits> = BTreeMap::new();
        while self.level >= 1.0 {
            let Some((member, want)) = self.next_member() else {
                break;
            };
            let permits = issued.entry(member).or_insert(ColdPermits {
                count: 0,
                asked: want.wanted.sent,
                kept: now.since(want.at),
            });
            permits.count += 1;
            self.level -= 1.0;
        }
        if self.level < 1.0 {
            self.kept = None;
        }
        issued.into_iter().collect()
    }

    /// Adds the permits that have become due at `rate`; at most `slack` accumulate.
    fn refill(&mut self, rate: f64, slack: f64, now: Time) {
        let is_small = slack < 1.0;
        if self.at.is_none() {
            // Many instances that were cut off at the same time would issue their first permit in the same moment.
            self.level = if is_small { -self.phase } else { 0.0 };
        }
        let before = self.at.replace(now).unwrap_or(now);
        self.level = (self.level + rate * now.since(before).as_secs_f64()).min(slack.max(1.0));
        if is_small && self.level >= 1.0 {
            let since = *self.kept.get_or_insert(now);
            if now.since(since) > KEEP_TIME {
                self.level = 0.0;
                self.kept = None;
            }
        }
    }

    /// The instance that gets the next permit: the last one that asked, unless it got more than its part of what is wanted.
    /// A request that has waited for longer is likelier to have given up when the permit arrives: with the longest wait
    /// first, 300 instances used 0.49 of a rate for which they had twice as many requests. Requests that wait go before
    /// those that are expected.
    fn next_member(&mut self) -> Option<(SocketAddr, Want)> {
        let is_waiting = self.wants.values().any(|want| want.wanted.waiting > 0);
        let count = |want: &Want| {
            if is_waiting {
                want.wanted.waiting
            } else {
                want.wanted.expected
            }
        };
        let total: u32 = self.wants.values().map(count).sum();
        for want in self.wants.values_mut() {
            let part = f64::from(count(want)) / f64::from(total.max(1));
            want.credit = (want.credit + part).min(MAX_AHEAD);
        }
        let wanting = self.wants.iter_mut().filter(|(_, want)| count(want) > 0);
        let (member, want) = wanting.max_by_key(|(_, want)| (want.credit > -MAX_AHEAD, want.raised))?;
        want.credit -= 1.0;
        if is_waiting {
            want.wanted.waiting -= 1;
        } else {
            want.wanted.expected -= 1;
        }
        Some((*member, *want))
    }
}
