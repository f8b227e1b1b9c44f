//! Converts the fleet of a trace into a configuration for the router.

use std::net::{Ipv4Addr, SocketAddr};

use carob_config::{Config, Fencing, Revision};

use crate::trace::Trace;

/// Builds a configuration at revision 1; each upstream gets a distinct placeholder address, which is never
/// contacted.
pub fn config(trace: &Trace) -> Config {
    let mut config = Config {
        revision: Revision(1),
        ..Config::default()
    };
    for service in &trace.services {
        config.services.insert(service.name.clone(), service.clone());
    }
    for account in &trace.accounts {
        config.accounts.insert(account.name.clone(), account.clone());
    }
    for (index, upstream) in trace.upstreams.iter().enumerate() {
        let entry = carob_config::Upstream {
            name: upstream.name.clone(),
            service: upstream.service.clone(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1 + index as u16)),
            domain: upstream.domain.clone(),
            region: upstream.region.clone(),
            fencing: Fencing::Checks,
            memory: upstream.model.memory,
            slots: upstream.model.slots,
        };
        config.upstreams.insert(entry.name.clone(), entry);
    }
    config
}
