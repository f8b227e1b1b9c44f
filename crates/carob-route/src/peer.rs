//! What instances tell each other about work that load reports do not show yet.

use std::collections::HashMap;

use carob_base::{Name, Time, UpstreamKey};

use crate::{router::Router, state::Phase, upstream::Load};

carob_base::value! {
    /// An instance's requests on one upstream that were sent after the newest load report it has seen.
    pub struct UnreportedLoad {
        /// The upstream.
        pub upstream: Name,
        /// Requests.
        pub requests: u32,
        /// Tokens of their prompts and answers so far.
        pub tokens: u32,
    }
}

/// The newest shares of the other instances.
#[derive(Debug, Default)]
pub struct Peers {
    by_peer: HashMap<Name, PeerLoad>,
    /// Other instances, if their number is known.
    reported_count: Option<usize>,
}

/// One instance's shares.
#[derive(Debug)]
struct PeerLoad {
    received: Time,
    loads: Vec<(UpstreamKey, Load)>,
}

impl Peers {
    /// Other instances; without a number, those that have told their shares.
    pub fn count(&self) -> usize {
        self.reported_count.unwrap_or(self.by_peer.len())
    }

    /// When they told them, on average.
    pub fn mean_received(&self) -> Time {
        let count = self.by_peer.len().max(1) as u64;
        let total: u64 = self.by_peer.values().map(|load| load.received.as_micros()).sum();
        Time::from_micros(total / count)
    }
}

impl Router {
    /// Sets the number of other instances, for a caller whose shares come added up under one name.
    pub fn set_peer_count(&mut self, count: usize) {
        self.peers.reported_count = Some(count);
    }

    /// Takes in the shares of another instance, which replace its earlier ones.
    pub fn update_peer_load(&mut self, instance: &Name, loads: &[UnreportedLoad], now: Time) {
        let known = |share: &UnreportedLoad| {
            let key = *self.upstream_names.get(&share.upstream)?;
            let load = Load {
                count: share.requests as f32,
                tokens: share.tokens as f32,
            };
            Some((key, load))
        };
        let loads = loads.iter().filter_map(known).collect();
        let load = PeerLoad { received: now, loads };
        if let Some(old) = self.peers.by_peer.insert(instance.clone(), load) {
            self.adjust_unreported(&old.loads, -1.0);
        }
        self.add_told(instance);
        self.due = true;
    }

    /// Forgets the shares of instances that have fallen silent.
    pub(crate) fn remove_expired_peers(&mut self, now: Time) {
        let limit = self.options.peer_timeout;
        let is_expired = |load: &PeerLoad| now.since(load.received) > limit;
        if !self.peers.by_peer.values().any(is_expired) {
            return;
        }
        let mut old = Vec::new();
        self.peers.by_peer.retain(|_, load| {
            let keep = !is_expired(load);
            if !keep {
                old.append(&mut load.loads);
            }
            keep
        });
        self.adjust_unreported(&old, -1.0);
    }

    fn add_told(&mut self, instance: &Name) {
        let Some(load) = self.peers.by_peer.get(instance) else {
            return;
        };
        let loads = load.loads.clone();
        self.adjust_unreported(&loads, 1.0);
    }

    fn adjust_unreported(&mut self, loads: &[(UpstreamKey, Load)], sign: f32) {
        if !self.options.mechanisms.peers {
            return;
        }
        for (key, load) in loads {
            let Some(upstream) = self.upstreams.get_mut(*key) else {
                continue;
            };
            upstream.unreported.count = (upstream.unreported.count + sign * load.count).max(0.0);
            upstream.unreported.tokens = (upstream.unreported.tokens + sign * load.tokens).max(0.0);
        }
    }

    /// This instance's shares, to be sent to the others.
    pub fn unreported_load(&self) -> Vec<UnreportedLoad> {
        let share = |upstream: &crate::upstream::Upstream| {
            let sampled = upstream
                .last_report
                .as_ref()
                .map_or(Time::ZERO, |last| last.sampled);
            let uncovered = upstream.own.iter().filter_map(|&key| {
                let request = self.requests.get(key)?;
                let Phase::Running { placed, .. } = request.phase else {
                    return None;
                };
                (placed > sampled).then(|| request.held_tokens())
            });
            let (requests, tokens) = uncovered.fold((0, 0), |(n, sum), tokens| (n + 1, sum + tokens));
            (requests > 0).then(|| UnreportedLoad {
                upstream: upstream.name.clone(),
                requests,
                tokens,
            })
        };
        self.upstreams.values().filter_map(share).collect()
    }
}
