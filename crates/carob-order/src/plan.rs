//! What upstreams should have loaded.

use carob_base::Name;
use carob_config::{Config, Fencing, Kind, Upstream};

use crate::Order;

carob_base::value! {
    /// An upstream with the order that brings it to its desired state.
    pub struct Target {
        /// The upstream.
        pub upstream: Name,
        /// Whether it checks fencing numbers.
        pub fencing: Fencing,
        /// The model that its service needs.
        pub model: String,
    }

    /// What an upstream reports about itself.
    pub struct Observed {
        /// The upstream.
        pub upstream: Name,
        /// The model that it has loaded, if any.
        pub model: Option<String>,
    }
}

/// The targets of a configuration: every upstream of a generation service with a model.
pub fn targets(config: &Config) -> Vec<Target> {
    let target = |upstream: &Upstream| {
        let service = config.services.get(&upstream.service)?;
        let model = service
            .model
            .as_ref()
            .filter(|_| service.kind == Kind::Generation)?;
        Some(Target {
            upstream: upstream.name.clone(),
            fencing: upstream.fencing,
            model: model.to_string(),
        })
    };
    config.upstreams.values().filter_map(target).collect()
}

impl Target {
    /// The order that an upstream with this state needs; `None` if it has what it should.
    pub fn order(&self, loaded: Option<&str>) -> Option<Order> {
        (loaded != Some(self.model.as_str())).then(|| Order::LoadModel(self.model.clone()))
    }
}
