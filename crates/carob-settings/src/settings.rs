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
    /// Identity and place of the instance.
    pub struct Instance {
        /// Name, unique in the fleet.
        pub name: Name,
        /// Failure domain that the instance runs in.
        pub domain: Name,
        /// Region of the failure domain.
        pub region: Name,
        /// How long requests are still accepted after SIGTERM, while the load balancer detects the shutdown.
        pub leave_delay: Duration,
    }

    /// The operators' listener.
    pub struct Admin {
        /// Address to listen on.
        pub address: SocketAddr,
        /// Key that operators send with change tickets; without one, no tickets are accepted here.
        pub key: Option<Secret>,
    }

    /// Traffic between instances.
    pub struct Peers {
        /// Address for datagrams and transfers, as other instances reach it.
        pub address: SocketAddr,
        /// Key that authenticates instances to each other.
        pub key: Secret,
    }

    /// The platform's key-value service.
    pub struct Store {
        /// Addresses, tried in this order.
        pub endpoints: Vec<SocketAddr>,
        /// Timeout of one call.
        pub timeout: Duration,
    }

    /// The platform's instance list.
    pub struct InstanceList {
        /// Its address; without one, only peers that contact this instance are found.
        pub address: Option<SocketAddr>,
    }

    /// Ids of answers.
    pub struct AnswerIds {
        /// Key that authenticates the ids; the same on every instance.
        pub key: Secret,
    }

    /// Polling of upstreams.
    pub struct Upstreams {
        /// Time between two requests for the load report of an upstream.
        pub poll_interval: Duration,
    }

    /// Logging.
    pub struct Log {
        /// Least severe level that is written to standard error.
        pub level: LevelFilter,
    }

    /// The settings of an instance, one field per section of the file.
    pub struct Settings {
        /// Identity and place of the instance.
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
        /// Ids of answers.
        pub answers: AnswerIds,
        /// Polling of upstreams.
        pub upstreams: Upstreams,
        /// Logging.
        pub log: Log,
    }
}

impl Settings {
    /// Placeholder values. A key's default or its value in the file overwrites each of them before use.
    pub(crate) fn placeholder() -> Self {
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
