//! The settings, by section.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use carob_base::Name;
use carob_http::listen;
use log::LevelFilter;

use crate::Secret;

carob_base::value! {
    /// Who the instance is.
    pub struct Instance {
        /// Name, unique in the fleet.
        pub name: Name,
        /// Failure domain.
        pub domain: Name,
        /// Region.
        pub region: Name,
        /// How long the balancer may still send requests after the instance has begun to leave.
        pub leave_delay: Duration,
    }

    /// The operators' listener.
    pub struct Admin {
        /// Address to listen on.
        pub address: SocketAddr,
        /// Key that operators send with change tickets; without one, none are taken here.
        pub key: Option<Secret>,
    }

    /// Traffic between instances.
    pub struct Peers {
        /// Address for datagrams and transfers, as the others reach it.
        pub address: SocketAddr,
        /// Key that authenticates instances to each other.
        pub key: Secret,
    }

    /// The platform's key-value service.
    pub struct Store {
        /// Addresses, tried in this order.
        pub endpoints: Vec<SocketAddr>,
        /// Time for one call.
        pub timeout: Duration,
    }

    /// The platform's instance list.
    pub struct InstanceList {
        /// Its address; without one, only peers that make themselves known are found.
        pub address: Option<SocketAddr>,
    }

    /// Answers' ids.
    pub struct AnswerIds {
        /// Key that authenticates the ids; the same on every instance.
        pub key: Secret,
    }

    /// What the instance asks of upstreams.
    pub struct Upstreams {
        /// Time between two load reports of an upstream.
        pub poll_interval: Duration,
    }

    /// Logs.
    pub struct Log {
        /// Least severe level that is written.
        pub level: LevelFilter,
    }

    /// The settings of an instance.
    pub struct Settings {
        /// Who the instance is.
        pub instance: Instance,
        /// The callers' listener.
        pub callers: listen::Options,
        /// The operators' listener.
        pub admin: Admin,
        /// Traffic between instances.
        pub peers: Peers,
        /// The platform's key-value service.
        pub store: Store,
        /// The platform's instance list.
        pub list: InstanceList,
        /// Answers' ids.
        pub answers: AnswerIds,
        /// What the instance asks of upstreams.
        pub upstreams: Upstreams,
        /// Logs.
        pub log: Log,
    }
}

impl Settings {
    /// Settings before any key is read; every field is overwritten by its key's default or by the file.
    pub(crate) fn blank() -> Self {
        let any = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        let name = Name::new("unset").expect("the text is a valid name");
        Self {
            instance: Instance {
                name: name.clone(),
                domain: name.clone(),
                region: name,
                leave_delay: Duration::ZERO,
            },
            callers: listen::Options::new(any),
            admin: Admin {
                address: any,
                key: None,
            },
            peers: Peers {
                address: any,
                key: Secret::default(),
            },
            store: Store {
                endpoints: Vec::new(),
                timeout: Duration::ZERO,
            },
            list: InstanceList { address: None },
            answers: AnswerIds {
                key: Secret::default(),
            },
            upstreams: Upstreams {
                poll_interval: Duration::ZERO,
            },
            log: Log {
                level: LevelFilter::Off,
            },
        }
    }
}
