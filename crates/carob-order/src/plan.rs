//! The desired state of upstreams.

use carob_base::Name;
use carob_config::{Config, Fencing, ServiceKind, Upstream};

use crate::Order;

carob_base::value! {
    /// The desired state of an upstream.
    pub struct Target {
        /// Name of the upstream.
        pub upstream: Name,
        /// Whether it checks fencing numbers.
        pub fencing: Fencing,
        /// Model that its service needs.
        pub model: String,
    }

    /// The state that an upstream reports about itself.
    pub struct Observed {
        /// Name of the upstream.
        pub upstream: Name,
        /// Model that it has loaded, if any.
        pub model: Option<String>,
    }
}

/// Returns the targets of a configuration: one for every upstream of a generation service that has a model.
pub fn targets(config: &Config) -> Vec<Target> {
    let target = |upstream: &Upstream| {
        let service = config.services.get(&upstream.service)?;
        let model = service
            .model
            .as_ref()
            .filter(|_| service.kind == ServiceKind::Generation)?;
        Some(Target {
            upstream: upstream.name.clone(),
            fencing: upstream.fencing,
            model: model.to_string(),
        })
    };
    config.upstreams.values().filter_map(target).collect()
}

impl Target {
    /// The order that an upstream with this model loaded needs; `None` if it is in the desired state.
    pub fn order(&self, loaded: Option<&str>) -> Option<Order> {
        (loaded != Some(self.model.as_str())).then(|| Order::LoadModel(self.model.clone()))
    }
}
