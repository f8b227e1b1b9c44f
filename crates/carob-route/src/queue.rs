//! Queue of a service: requests wait at the instance for room at an upstream, with fair shares per account.
//!
//! Each account has a flow. Flows are served by start-time fair queueing: the virtual time of a flow grows by
//! the cost of each request served divided by the account's share, and the flow with the lowest virtual time
//! is served first (Goyal, Vin and Cheng, "Start-time Fair Queuing", 1996). Within a flow, requests are
//! ordered by submission time plus a bounded delay that grows with the expected length: short answers
//! overtake long ones, but no request is overtaken for ever.

use std::collections::{BTreeMap, BTreeSet};

use carob_base::{AccountKey, RequestKey, Time};
use smallvec::SmallVec;

/// Sort key of a request: a point in time, made unique by the request's key.
pub type TimeKey = (Time, RequestKey);

/// The queued requests of one service.
#[derive(Debug, Default)]
pub struct Queue {
    flows: Vec<Flow>,
    /// All queued requests by expiry.
    expiries: BTreeSet<TimeKey>,
    /// Highest virtual start time of a request served so far; flows that become active start from it.
    virtual_time: f64,
}

/// The queued requests of one account.
#[derive(Debug)]
struct Flow {
    account: Option<AccountKey>,
    share: f64,
    virtual_time: f64,
    /// Queued requests by rank.
    waiting: BTreeMap<TimeKey, Entry>,
    /// Expected work of the queued requests, in tokens.
    cost: f32,
}

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// The request.
    pub key: RequestKey,
    /// The account whose flow it is in; `None` is a flow common to all accounts.
    pub account: Option<AccountKey>,
    /// Weight of the account.
    pub share: u16,
    /// Position within the flow; the lowest is served first.
    pub rank: Time,
    /// When it is refused if it is still queued.
    pub expiry: Time,
    /// Expected work, in tokens.
    pub cost: f32,
}

impl Queue {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.expiries.len()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.expiries.is_empty()
    }

    /// Adds a request to its account's flow.
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

    /// Removes a request; if it is `served`, its flow is charged its cost.
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

    /// Drops empty flows that are not ahead of the queue's virtual time; they would start from there anyway.
    pub fn drop_idle_flows(&mut self) {
        let now = self.virtual_time;
        self.flows
            .retain(|flow| !flow.waiting.is_empty() || flow.virtual_time > now);
    }

    /// Fills `heads` with the first request of each flow, the flow with the lowest virtual time first.
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

    /// The request that expires first.
    pub fn first_expiry(&self) -> Option<TimeKey> {
        self.expiries.first().copied()
    }

    /// The last request of each flow.
    pub fn tails(&self) -> impl Iterator<Item = Entry> {
        self.flows
            .iter()
            .filter_map(|flow| Some(*flow.waiting.last_key_value()?.1))
    }

    /// Expected work of all queued requests, in tokens.
    pub fn cost(&self) -> f32 {
        self.flows.iter().map(|flow| flow.cost).sum()
    }

    /// Expected work served before `entry`, in tokens, if each flow is served in proportion to its share.
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
    /// Expected work of the requests ahead of `entry` in this flow, in tokens.
    fn cost_before(&self, entry: &Entry) -> f32 {
        let before = self.waiting.range(..(entry.rank, entry.key));
        before.map(|(_, entry)| entry.cost).sum()
    }
}
