//! The router's state.

use std::collections::HashMap;

use carob_base::{AccountKey, Name, RequestKey, ServiceKey, Time, UpstreamKey};
use rand::{SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;

use crate::{
    cache::PrefixIndex,
    length::LengthModel,
    options::Options,
    peer::Peers,
    state::{Account, OpenRequest, Service},
    submit::Event,
    upstream::Upstream,
};

/// Decides where requests run and which of them wait or are refused.
///
/// Methods take the current time, never block and do no I/O. The same options and sequence of calls give the
/// same decisions.
#[derive(Debug)]
pub struct Router {
    pub(crate) options: Options,
    pub(crate) services: SlotMap<ServiceKey, Service>,
    pub(crate) accounts: SlotMap<AccountKey, Account>,
    pub(crate) upstreams: SlotMap<UpstreamKey, Upstream>,
    pub(crate) requests: SlotMap<RequestKey, OpenRequest>,
    pub(crate) service_names: HashMap<Name, ServiceKey>,
    pub(crate) account_names: HashMap<Name, AccountKey>,
    pub(crate) upstream_names: HashMap<Name, UpstreamKey>,
    pub(crate) ids: HashMap<u64, RequestKey>,
    pub(crate) lengths: LengthModel,
    pub(crate) prefixes: PrefixIndex,
    pub(crate) peers: Peers,
    pub(crate) rng: SmallRng,
    /// A change since the last poll may let a queued request be placed, so the next poll is due at once.
    pub(crate) due: bool,
    /// When the queues were last polled or a configuration was applied.
    pub(crate) last_poll: Time,
    /// Placements and refusals of queued requests that [`poll`](Self::poll) returns.
    pub(crate) events: Vec<Event>,
    /// Reused buffer for the candidate upstreams of one decision.
    pub(crate) candidates: Vec<UpstreamKey>,
    /// Reused buffer for the first requests of a queue's flows.
    pub(crate) first_requests: Vec<RequestKey>,
}

impl Router {
    /// Creates a router without a configuration, which refuses every request.
    pub fn new(options: Options) -> Self {
        Self {
            lengths: LengthModel::new(options.mechanisms.lengths),
            rng: SmallRng::seed_from_u64(options.seed),
            options,
            services: SlotMap::with_key(),
            accounts: SlotMap::with_key(),
            upstreams: SlotMap::with_key(),
            requests: SlotMap::with_key(),
            service_names: HashMap::new(),
            account_names: HashMap::new(),
            upstream_names: HashMap::new(),
            ids: HashMap::new(),
            prefixes: PrefixIndex::default(),
            peers: Peers::default(),
            due: false,
            last_poll: Time::ZERO,
            events: Vec::new(),
            candidates: Vec::new(),
            first_requests: Vec::new(),
        }
    }
}
