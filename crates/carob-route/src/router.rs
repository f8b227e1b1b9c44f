//! The state behind all decisions.

use std::collections::HashMap;

use carob_base::{AccountKey, Name, RequestKey, ServiceKey, Time, UpstreamKey};
use rand::{SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;

use crate::{
    cache::PrefixIndex,
    length::LengthModel,
    options::Options,
    peer::Peers,
    state::{Account, Open, Service},
    submit::Event,
    upstream::Upstream,
};

/// Decides where requests run and which of them wait or are refused.
///
/// All methods take the present time and return at once; none does I/O. The same options and calls give the same
/// decisions.
#[derive(Debug)]
pub struct Router {
    pub(crate) options: Options,
    pub(crate) services: SlotMap<ServiceKey, Service>,
    pub(crate) accounts: SlotMap<AccountKey, Account>,
    pub(crate) upstreams: SlotMap<UpstreamKey, Upstream>,
    pub(crate) open: SlotMap<RequestKey, Open>,
    pub(crate) service_names: HashMap<Name, ServiceKey>,
    pub(crate) account_names: HashMap<Name, AccountKey>,
    pub(crate) upstream_names: HashMap<Name, UpstreamKey>,
    pub(crate) ids: HashMap<u64, RequestKey>,
    pub(crate) lengths: LengthModel,
    pub(crate) prefixes: PrefixIndex,
    pub(crate) peers: Peers,
    pub(crate) random: SmallRng,
    /// Something has changed that may let a waiting request through.
    pub(crate) ripe: bool,
    /// When the queues were last looked at.
    pub(crate) polled: Time,
    /// Ends of waits that the next poll hands out.
    pub(crate) events: Vec<Event>,
    /// Buffer for the candidates of one decision.
    pub(crate) candidates: Vec<UpstreamKey>,
    /// Buffer for the heads of a queue.
    pub(crate) heads: Vec<RequestKey>,
}

impl Router {
    /// A router that knows no configuration yet and refuses everything.
    pub fn new(options: Options) -> Self {
        Self {
            lengths: LengthModel::new(options.mechanisms.lengths),
            random: SmallRng::seed_from_u64(options.seed),
            options,
            services: SlotMap::with_key(),
            accounts: SlotMap::with_key(),
            upstreams: SlotMap::with_key(),
            open: SlotMap::with_key(),
            service_names: HashMap::new(),
            account_names: HashMap::new(),
            upstream_names: HashMap::new(),
            ids: HashMap::new(),
            prefixes: PrefixIndex::default(),
            peers: Peers::default(),
            ripe: false,
            polled: Time::ZERO,
            events: Vec::new(),
            candidates: Vec::new(),
            heads: Vec::new(),
        }
    }
}
