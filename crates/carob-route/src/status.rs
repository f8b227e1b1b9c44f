//! A snapshot for operators.

use std::time::Duration;

use carob_base::{Name, Time};

use crate::{breaker::State, forecast::MemoryForecast, router::Router, upstream::Upstream};

carob_base::value! {
    /// A snapshot for operators.
    pub struct Status {
        /// The services, in the order of their names.
        pub services: Vec<ServiceStatus>,
        /// The upstreams, in the order of their names.
        pub upstreams: Vec<UpstreamStatus>,
    }

    /// A service's queue.
    pub struct ServiceStatus {
        /// Name.
        pub name: Name,
        /// Requests that wait.
        pub waiting: usize,
        /// Retries and hedges left, in whole ones.
        pub retries: u32,
    }

    /// An upstream's load as this instance believes it to be.
    pub struct UpstreamStatus {
        /// Name.
        pub name: Name,
        /// Its service.
        pub service: Name,
        /// Own requests in progress.
        pub own: u32,
        /// Requests in progress in all.
        pub batch: u32,
        /// Predicted peak of memory, in tokens, without caution.
        pub peak: u32,
        /// Memory, in tokens.
        pub memory: u32,
        /// State of its circuit breaker.
        pub breaker: State,
        /// Whether it is leaving.
        pub leaving: bool,
        /// Age of its newest load report.
        pub report_age: Option<Duration>,
        /// Tokens a second per request.
        pub decode_rate: u32,
    }
}

impl Router {
    /// A snapshot for operators.
    pub fn status(&self, now: Time) -> Status {
        let service = |service: &crate::state::Service| ServiceStatus {
            name: service.name.clone(),
            waiting: service.queue.len(),
            retries: service.budget.balance() as u32,
        };
        let listed = self.services.values().filter(|service| !service.removed);
        let mut services: Vec<ServiceStatus> = listed.map(service).collect();
        services.sort_by(|a, b| a.name.cmp(&b.name));
        let listed = self.upstreams.values().filter(|upstream| !upstream.removed);
        let mut upstreams: Vec<UpstreamStatus> = listed
            .map(|upstream| self.upstream_status(upstream, now))
            .collect();
        upstreams.sort_by(|a, b| a.name.cmp(&b.name));
        Status { services, upstreams }
    }

    fn upstream_status(&self, upstream: &Upstream, now: Time) -> UpstreamStatus {
        let service = &self.services[upstream.service];
        let others = upstream.others();
        let mut curve = self.own_curve(upstream);
        curve.add(&MemoryForecast::of_background(
            &service.residual,
            others.count,
            others.tokens,
        ));
        UpstreamStatus {
            name: upstream.name.clone(),
            service: service.name.clone(),
            own: upstream.own.len() as u32,
            batch: upstream.own.len() as u32 + others.count as u32,
            peak: curve.peak(0.0) as u32,
            memory: upstream.memory,
            breaker: upstream.breaker.state(),
            leaving: upstream.leaving,
            report_age: upstream.seen.as_ref().map(|seen| now.since(seen.sampled)),
            decode_rate: upstream.decode_rate as u32,
        }
    }
}
