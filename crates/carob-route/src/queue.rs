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
pub type TimeKey = (Time, RequestKey);

/// The waiting requests of one service.
#[derive(Debug, Default)]
pub struct Queue {
    flows: Vec<Flow>,
    expiries: BTreeSet<TimeKey>,
    /// Virtual time of the lane that was served last.
    virtual_time: f64,
}

/// The waiting requests of one account.
#[derive(Debug)]
struct Flow {
    account: Option<AccountKey>,
    share: f64,
    virtual_time: f64,
    /// Waiting requests by rank.
    waiting: BTreeMap<TimeKey, Entry>,
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
        self.expiries.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.expiries.is_empty()
    }

    /// Adds a request.
    pub fn push(&mut self, entry: &Entry) {
        let virtual_time = self.virtual_time;
        let flow = self.flow_mut(entry.account);
        flow.share = f64::from(entry.share.max(1));
        if flow.waiting.is_empty() {
            flow.virtual_time = flow.virtual_time.max(virtual_time);
        }
        flow.waiting.insert((entry.rank, entry.key), *entry);
        flow.cost += entry.cost;
        self.expiries.insert((entry.expiry, entry.key));
    }

    fn flow_mut(&mut self, account: Option<AccountKey>) -> &mut Flow {
        if let Some(at) = self.flows.iter().position(|flow| flow.account == account) {
            return &mut self.flows[at];
        }
        self.flows.push(Flow {
            account,
            share: 1.0,
            virtual_time: 0.0,
            waiting: BTreeMap::new(),
            cost: 0.0,
        });
        self.flows.last_mut().expect("a flow was just added")
    }

    /// Removes a request; `served` charges its cost to its lane.
    pub fn remove(&mut self, entry: &Entry, served: bool) {
        self.expiries.remove(&(entry.expiry, entry.key));
        let Some(at) = self.flows.iter().position(|flow| flow.account == entry.account) else {
            return;
        };
        let flow = &mut self.flows[at];
        flow.waiting.remove(&(entry.rank, entry.key));
        flow.cost -= entry.cost;
        if flow.waiting.is_empty() {
            flow.cost = 0.0;
        }
        if served {
            self.virtual_time = self.virtual_time.max(flow.virtual_time);
            flow.virtual_time += f64::from(entry.cost) / flow.share;
        }
    }

    /// Drops lanes in which nothing waits and that are owed nothing.
    pub fn drop_idle_flows(&mut self) {
        let now = self.virtual_time;
        self.flows
            .retain(|flow| !flow.waiting.is_empty() || flow.virtual_time > now);
    }

    /// The first request of each lane, the lane furthest behind first, into `heads`.
    pub fn heads(&self, heads: &mut Vec<RequestKey>) {
        heads.clear();
        let mut flows: SmallVec<[&Flow; 16]> = self
            .flows
            .iter()
            .filter(|flow| !flow.waiting.is_empty())
            .collect();
        flows.sort_by(|a, b| a.virtual_time.total_cmp(&b.virtual_time));
        heads.extend(
            flows
                .iter()
                .filter_map(|flow| Some(flow.waiting.first_key_value()?.0.1)),
        );
    }

    /// The request whose wait ends first.
    pub fn first_expiry(&self) -> Option<TimeKey> {
        self.expiries.first().copied()
    }

    /// The last request of each lane.
    pub fn tails(&self) -> impl Iterator<Item = Entry> {
        self.flows
            .iter()
            .filter_map(|flow| Some(*flow.waiting.last_key_value()?.1))
    }

    /// Work of everything that waits, in tokens.
    pub fn cost(&self) -> f32 {
        self.flows.iter().map(|flow| flow.cost).sum()
    }

    /// Work to be done before a request, in tokens, if the lanes are served by share.
    pub fn cost_ahead(&self, entry: &Entry) -> f32 {
        let share = f32::from(entry.share.max(1));
        let flow = self.flows.iter().find(|flow| flow.account == entry.account);
        let own = flow.map_or(0.0, |flow| flow.cost_before(entry));
        let others = self.flows.iter().filter(|flow| flow.account != entry.account);
        let rest: f32 = others
            .map(|flow| flow.cost.min(own * flow.share as f32 / share))
            .sum();
        own + rest
    }
}

impl Flow {
    /// Work before a request of this lane, in tokens.
    fn cost_before(&self, entry: &Entry) -> f32 {
        let before = self.waiting.range(..(entry.rank, entry.key));
        before.map(|(_, entry)| entry.cost).sum()
    }
}
