//! Applying a configuration to the router's services, accounts and upstreams.

use carob_base::{ServiceKey, Time, UpstreamKey};
use carob_config::Config;

use crate::{
    budget::Budget,
    router::Router,
    state::{Account, DecayingRate, Service},
    submit::Locality,
    upstream::Upstream,
};

impl Router {
    /// Applies a configuration. Objects that keep their names keep their learned state. Removed upstreams get
    /// no new work, and requests queued for a removed service are refused by the next poll.
    pub fn apply_config(&mut self, config: &Config, now: Time) {
        self.apply_services(config);
        self.apply_accounts(config);
        self.apply_upstreams(config);
        let services: Vec<ServiceKey> = self.services.keys().collect();
        for service in services {
            self.list_upstreams(service);
        }
        self.last_poll = now;
        self.due = true;
    }

    fn apply_services(&mut self, config: &Config) {
        for service in self.services.values_mut() {
            service.removed = !config.services.contains_key(&service.name);
        }
        for (name, object) in &config.services {
            if let Some(service) = self
                .service_names
                .get(name)
                .and_then(|&key| self.services.get_mut(key))
            {
                service.kind = object.kind;
                service.weights = object.weights;
                service.queue_timeout = object.response_timeout;
                service.max_tokens = object.max_tokens;
                service.retry_percent = object.retry_percent;
                continue;
            }
            let key = self.services.insert(Service {
                name: name.clone(),
                kind: object.kind,
                weights: object.weights,
                queue_timeout: object.response_timeout,
                max_tokens: object.max_tokens,
                retry_percent: object.retry_percent,
                removed: false,
                upstreams: Vec::new(),
                tier_ends: [0; 2],
                max_memory: 0,
                queue: crate::queue::Queue::default(),
                budget: Budget::new(),
                placement_rate: DecayingRate::default(),
                residual: crate::forecast::ResidualSurvival::default(),
                residual_at: None,
            });
            self.service_names.insert(name.clone(), key);
        }
    }

    fn apply_accounts(&mut self, config: &Config) {
        for account in self.accounts.values_mut() {
            account.removed = !config.accounts.contains_key(&account.name);
        }
        for (name, object) in &config.accounts {
            if let Some(account) = self
                .account_names
                .get(name)
                .and_then(|&key| self.accounts.get_mut(key))
            {
                account.share = object.weight;
                account.max_open = object.max_requests;
                continue;
            }
            let key = self.accounts.insert(Account {
                name: name.clone(),
                share: object.weight,
                max_open: object.max_requests,
                open: 0,
                removed: false,
            });
            self.account_names.insert(name.clone(), key);
        }
    }

    fn apply_upstreams(&mut self, config: &Config) {
        for upstream in self.upstreams.values_mut() {
            upstream.removed = !config.upstreams.contains_key(&upstream.name);
        }
        for (name, object) in &config.upstreams {
            let Some(&service) = self.service_names.get(&object.service) else {
                continue;
            };
            let locality = self.locality_of(object);
            if let Some(upstream) = self
                .upstream_names
                .get(name)
                .and_then(|&key| self.upstreams.get_mut(key))
            {
                upstream.service = service;
                upstream.address = object.address;
                upstream.locality = locality;
                upstream.memory = object.memory;
                upstream.slots = object.slots;
                continue;
            }
            let key = self.upstreams.insert(Upstream::new(object, service, locality));
            self.upstream_names.insert(name.clone(), key);
        }
        self.sweep_upstreams();
        self.sweep_accounts();
    }

    /// Drops removed upstreams on which none of this instance's requests runs any more.
    fn sweep_upstreams(&mut self) {
        let names = &mut self.upstream_names;
        let prefixes = &mut self.prefixes;
        self.upstreams.retain(|key, upstream| {
            let keep = !upstream.removed || !upstream.own.is_empty();
            if !keep {
                names.remove(&upstream.name);
                prefixes.remove_upstream(key);
            }
            keep
        });
    }

    /// Drops removed accounts without open requests, with their length groups, and idle flows of all queues.
    fn sweep_accounts(&mut self) {
        let names = &mut self.account_names;
        let lengths = &mut self.lengths;
        self.accounts.retain(|key, account| {
            let keep = !account.removed || account.open > 0;
            if !keep {
                names.remove(&account.name);
                lengths.remove_account(key);
            }
            keep
        });
        for service in self.services.values_mut() {
            service.queue.drop_idle_flows();
        }
    }

    fn locality_of(&self, upstream: &carob_config::Upstream) -> Locality {
        if upstream.domain == self.options.domain {
            Locality::Domain
        } else if upstream.region == self.options.region {
            Locality::Region
        } else {
            Locality::Remote
        }
    }

    /// Rebuilds the list of a service's upstreams, sorted by locality and then by name.
    fn list_upstreams(&mut self, key: ServiceKey) {
        let of_service = |(upstream, state): (UpstreamKey, &Upstream)| {
            let listed = state.service == key && !state.removed;
            listed.then(|| (state.locality, state.name.clone(), upstream, state.memory))
        };
        let mut listed: Vec<_> = self.upstreams.iter().filter_map(of_service).collect();
        listed.sort();
        let service = &mut self.services[key];
        service.tier_ends = [
            listed.partition_point(|entry| entry.0 <= Locality::Domain),
            listed.partition_point(|entry| entry.0 <= Locality::Region),
        ];
        service.max_memory = listed.iter().map(|entry| entry.3).max().unwrap_or(0);
        service.upstreams = listed.into_iter().map(|entry| entry.2).collect();
    }
}
