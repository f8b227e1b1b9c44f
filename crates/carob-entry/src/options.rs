//! What an instance is told at its start.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use carob_base::Name;
use carob_http::listen;

/// What an instance is told at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// The instance's name, unique in the fleet.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Its region.
    pub region: Name,
    /// The callers' listener.
    pub callers: listen::Options,
    /// Operators' address.
    pub admin: SocketAddr,
    /// Key that operators send with change tickets; without one the operators' address accepts none.
    pub operator_key: Option<Bytes>,
    /// Address for datagrams and transfers from other instances.
    pub peers: SocketAddr,
    /// Key that authenticates instances to each other.
    pub peer_key: Bytes,
    /// Key that authenticates answers' ids; the same on every instance.
    pub answer_key: Bytes,
    /// Addresses of the platform's key-value service, tried in this order.
    pub store: Vec<SocketAddr>,
    /// Address of the platform's instance list.
    pub list: Option<SocketAddr>,
    /// Time between two load reports of an upstream. Default 1 s.
    pub poll_every: Duration,
    /// How long the balancer may still send requests after the instance has said that it is leaving. Default 5 s.
    pub leave_delay: Duration,
    /// Time limit of one call to the store. Default 2 s.
    pub store_timeout: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Options {
    /// Options of an instance on loopback with free ports and the defaults for the rest.
    pub fn new(name: Name, domain: Name, region: Name) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name,
            domain,
            region,
            callers: listen::Options::new(any),
            admin: any,
            operator_key: None,
            peers: any,
            peer_key: Bytes::new(),
            answer_key: Bytes::new(),
            store: Vec::new(),
            list: None,
            poll_every: Duration::from_secs(1),
            leave_delay: Duration::from_secs(5),
            store_timeout: Duration::from_secs(2),
            seed: 1,
        }
    }
}
