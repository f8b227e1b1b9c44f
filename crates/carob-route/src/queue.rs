//! Requests that wait at the entry for room, with fair shares between accounts.
//!
//! Each account has a lane. Lanes are served by start-time fair queueing: a lane's virtual time grows by the cost of
//! what it was served divided by its share, and the lane that is furthest behind comes first (Goyal, Vin and Cheng,
//! "Start-time Fair Queuing", 1996). Within a lane the order is by submission time plus a delay that grows with the
//! expected length, so that short answers overtake long ones and nothing is overtaken for ever.

use std::collections::{BTreeMap, BTreeSet};

use carob_base::{AccountKey, RequestKey, Time};
use smallvec::SmallVec;

/// Position within a lane.
pub type Rank = (Time, RequestKey);

/// The waiting requests of one service.
#[derive(Debug, Default)]
pub struct Queue {
    lanes: Vec<Lane>,
    expiry: BTreeSet<Rank>,
    /// Virtual time of the lane that was served last.
    virtual_time: f64,
}

/// The waiting requests of one account.
#[derive(Debug)]
struct Lane {
    account: Option<AccountKey>,
    share: f64,
    virtual_time: f64,
    /// Waiting requests by rank.
    waiting: BTreeMap<Rank, Entry>,
    /// Work of all of them, in tokens.
    cost: f32,
}

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// The request.
    pub key: RequestKey,
    /// The lane; `None` is one common lane.
    pub account: Option<AccountKey>,
    /// The account's share.
    pub share: u16,
    /// Place within the lane.
    pub rank: Time,
    /// When the wait ends in a refusal.
    pub expiry: Time,
    /// Expected work, in tokens.
    pub cost: f32,
}

impl Queue {
    /// Waiting requests.
    pub fn len(&self) -> usize {
        self.expiry.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.expiry.is_empty()
    }

    /// Adds a request.
    pub fn push(&mut self, entry: &Entry) {
        let virtual_time = self.virtual_time;
        let lane = self.lane_mut(entry.account);
        lane.share = f64::from(entry.share.max(1));
        if lane.waiting.is_empty() {
            lane.virtual_time = lane.virtual_time.max(virtual_time);
        }
        lane.waiting.insert((entry.rank, entry.key), *entry);
        lane.cost += entry.cost;
        self.expiry.insert((entry.expiry, entry.key));
    }

    fn lane_mut(&mut self, account: Option<AccountKey>) -> &mut Lane {
        if let Some(at) = self.lanes.iter().position(|lane| lane.account == account) {
            return &mut self.lanes[at];
        }
        self.lanes.push(Lane {
            account,
            share: 1.0,
            virtual_time: 0.0,
            waiting: BTreeMap::new(),
            cost: 0.0,
        });
        self.lanes.last_mut().expect("a lane was just added")
    }

    /// Removes a request; `served` charges its cost to its lane.
    pub fn remove(&mut self, entry: &Entry, served: bool) {
        self.expiry.remove(&(entry.expiry, entry.key));
        let Some(at) = self.lanes.iter().position(|lane| lane.account == entry.account) else {
            return;
        };
        let lane = &mut self.lanes[at];
        lane.waiting.remove(&(entry.rank, entry.key));
        lane.cost -= entry.cost;
        if lane.waiting.is_empty() {
            lane.cost = 0.0;
        }
        if served {
            self.virtual_time = self.virtual_time.max(lane.virtual_time);
            lane.virtual_time += f64::from(entry.cost) / lane.share;
        }
    }

    /// Drops lanes in which nothing waits and that are owed nothing.
    pub fn drop_idle_flows(&mut self) {
        let now = self.virtual_time;
        self.lanes
            .retain(|lane| !lane.waiting.is_empty() || lane.virtual_time > now);
    }

    /// The first request of each lane, the lane furthest behind first, into `heads`.
    pub fn heads(&self, heads: &mut Vec<RequestKey>) {
        heads.clear();
        let mut lanes: SmallVec<[&Lane; 16]> = self
            .lanes
            .iter()
            .filter(|lane| !lane.waiting.is_empty())
            .collect();
        lanes.sort_by(|a, b| a.virtual_time.total_cmp(&b.virtual_time));
        heads.extend(
            lanes
                .iter()
                .filter_map(|lane| Some(lane.waiting.first_key_value()?.0.1)),
        );
    }

    /// The request whose wait ends first.
    pub fn first_expiry(&self) -> Option<Rank> {
        self.expiry.first().copied()
    }

    /// The last request of each lane.
    pub fn tails(&self) -> impl Iterator<Item = Entry> {
        self.lanes
            .iter()
            .filter_map(|lane| Some(*lane.waiting.last_key_value()?.1))
    }

    /// Work of everything that waits, in tokens.
    pub fn cost(&self) -> f32 {
        self.lanes.iter().map(|lane| lane.cost).sum()
    }

    /// Work to be done before a request, in tokens, if the lanes are served by share.
    pub fn cost_ahead(&self, entry: &Entry) -> f32 {
        let share = f32::from(entry.share.max(1));
        let lane = self.lanes.iter().find(|lane| lane.account == entry.account);
        let own = lane.map_or(0.0, |lane| lane.cost_before(entry));
        let others = self.lanes.iter().filter(|lane| lane.account != entry.account);
        let rest: f32 = others
            .map(|lane| lane.cost.min(own * lane.share as f32 / share))
            .sum();
        own + rest
    }
}

impl Lane {
    /// Work before a request of this lane, in tokens.
    fn cost_before(&self, entry: &Entry) -> f32 {
        let before = self.waiting.range(..(entry.rank, entry.key));
        before.map(|(_, entry)| entry.cost).sum()
    }
}
