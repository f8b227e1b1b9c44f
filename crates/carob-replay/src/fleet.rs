//! The configuration that a trace describes.

use std::net::{Ipv4Addr, SocketAddr};

use carob_config::{Config, Fencing, Revision};

use crate::trace::Trace;

/// The configuration that a trace describes.
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
    for (at, upstream) in trace.upstreams.iter().enumerate() {
        let object = carob_config::Upstream {
            name: upstream.name.clone(),
            service: upstream.service.clone(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1 + at as u16)),
            domain: upstream.domain.clone(),
            region: upstream.region.clone(),
            fencing: Fencing::Checks,
            memory: upstream.model.memory,
            slots: upstream.model.slots,
        };
        config.upstreams.insert(object.name.clone(), object);
    }
    config
}
