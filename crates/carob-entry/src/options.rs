//! Start-up options of an instance.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use carob_base::Name;
use carob_http::listen;

/// Start-up options of an instance.
#[derive(Clone, Debug)]
pub struct Options {
    /// The instance's name, unique in the fleet.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Its region.
    pub region: Name,
    /// Address and limits of the listener for callers.
    pub caller_listener: listen::Options,
    /// Address of the operators' interface.
    pub admin_address: SocketAddr,
    /// Key that operators send with change tickets; if absent, no ticket is accepted.
    pub operator_key: Option<Bytes>,
    /// Address for datagrams and connections from other instances.
    pub peer_address: SocketAddr,
    /// Key that authenticates instances to each other.
    pub peer_key: Bytes,
    /// Key that authenticates answer ids; the same on every instance.
    pub answer_key: Bytes,
    /// Addresses of the platform's key-value service, tried in this order.
    pub store_addresses: Vec<SocketAddr>,
    /// Address of the platform's instance list; if absent, the list is not polled.
    pub list_address: Option<SocketAddr>,
    /// Time between two load reports of an upstream. Default 1 s.
    pub poll_interval: Duration,
    /// How long the balancer may still send requests after the instance has announced that it is leaving.
    /// Default 5 s.
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
            caller_listener: listen::Options::new(any),
            admin_address: any,
            operator_key: None,
            peer_address: any,
            peer_key: Bytes::new(),
            answer_key: Bytes::new(),
            store_addresses: Vec::new(),
            list_address: None,
            poll_interval: Duration::from_secs(1),
            leave_delay: Duration::from_secs(5),
            store_timeout: Duration::from_secs(2),
            seed: 1,
        }
    }
}
