//! Snapshot of services and upstreams for operators.

use std::time::Duration;

use carob_base::{Name, Time};

use crate::{breaker::State, forecast::MemoryForecast, router::Router, upstream::Upstream};

carob_base::value! {
    /// Snapshot of the configured services and upstreams.
    pub struct Status {
        /// The services, sorted by name.
        pub services: Vec<ServiceStatus>,
        /// The upstreams, sorted by name.
        pub upstreams: Vec<UpstreamStatus>,
    }

    /// Queue and retry budget of a service.
    pub struct ServiceStatus {
        /// Name of the service.
        pub name: Name,
        /// Number of queued requests.
        pub waiting: usize,
        /// Retries and hedges left in the budget, rounded down.
        pub retries: u32,
    }

    /// State of an upstream as estimated by this instance.
    pub struct UpstreamStatus {
        /// Name of the upstream.
        pub name: Name,
        /// Name of its service.
        pub service: Name,
        /// Number of this instance's requests running there.
        pub own: u32,
        /// Estimated number of requests of all instances running there.
        pub batch: u32,
        /// Forecast peak of its memory, in tokens, without safety margin.
        pub peak: u32,
        /// Memory, in tokens.
        pub memory: u32,
        /// State of its circuit breaker.
        pub breaker: State,
        /// Whether it has announced that it leaves.
        pub leaving: bool,
        /// Time since its newest load report was sampled; `None` before the first one.
        pub report_age: Option<Duration>,
        /// Decode rate, in tokens per second and request.
        pub decode_rate: u32,
    }
}

impl Router {
    /// Takes a snapshot for operators.
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
        let others = upstream.background();
        let mut forecast = self.own_forecast(upstream);
        forecast.add(&MemoryForecast::of_background(
            &service.residual,
            others.count,
            others.tokens,
        ));
        UpstreamStatus {
            name: upstream.name.clone(),
            service: service.name.clone(),
            own: upstream.own.len() as u32,
            batch: upstream.own.len() as u32 + others.count as u32,
            peak: forecast.peak(0.0) as u32,
            memory: upstream.memory,
            breaker: upstream.breaker.state(),
            leaving: upstream.leaving,
            report_age: upstream.last_report.as_ref().map(|last| now.since(last.sampled)),
            decode_rate: upstream.decode_rate as u32,
        }
    }
}
