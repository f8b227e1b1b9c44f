//! Load that instances report to each other because no load report covers it yet.

use std::collections::HashMap;

use carob_base::{Name, Time, UpstreamKey};

use crate::{router::Router, state::Phase, upstream::Load};

carob_base::value! {
    /// An instance's requests on one upstream that were sent after the newest load report known to it.
    pub struct UnreportedLoad {
        /// Name of the upstream.
        pub upstream: Name,
        /// Number of requests.
        pub requests: u32,
        /// Tokens of their prompts and answers so far.
        pub tokens: u32,
    }
}

/// The latest unreported load of the other instances.
#[derive(Debug, Default)]
pub struct Peers {
    by_instance: HashMap<Name, PeerLoad>,
    /// Number of other instances, if the caller has set it.
    known_count: Option<usize>,
}

/// Unreported load of one other instance, by upstream.
#[derive(Debug)]
struct PeerLoad {
    received: Time,
    loads: Vec<(UpstreamKey, Load)>,
}

impl Peers {
    /// Number of other instances: as set by the caller, or else those that have sent their load.
    pub fn count(&self) -> usize {
        self.known_count.unwrap_or(self.by_instance.len())
    }

    /// Mean time at which their loads were received; [`Time::ZERO`] if none was.
    pub fn mean_received(&self) -> Time {
        let count = self.by_instance.len().max(1) as u64;
        let total: u64 = self
            .by_instance
            .values()
            .map(|peer| peer.received.as_micros())
            .sum();
        Time::from_micros(total / count)
    }
}

impl Router {
    /// Sets the number of other instances, for a caller that passes the sum of their loads under one name.
    pub fn set_peer_count(&mut self, count: usize) {
        self.peers.known_count = Some(count);
    }

    /// Replaces the unreported load of another instance. Upstreams that are not configured here are ignored.
    pub fn update_peer_load(&mut self, instance: &Name, loads: &[UnreportedLoad], now: Time) {
        let resolve = |unreported: &UnreportedLoad| {
            let key = *self.upstream_names.get(&unreported.upstream)?;
            let load = Load {
                count: unreported.requests as f32,
                tokens: unreported.tokens as f32,
            };
            Some((key, load))
        };
        let loads = loads.iter().filter_map(resolve).collect();
        let peer = PeerLoad { received: now, loads };
        if let Some(old) = self.peers.by_instance.insert(instance.clone(), peer) {
            self.adjust_unreported(&old.loads, -1.0);
        }
        self.add_peer_load(instance);
        self.due = true;
    }

    /// Removes the load of unresponsive instances, whose last message is older than the peer timeout.
    pub(crate) fn remove_expired_peers(&mut self, now: Time) {
        let limit = self.options.peer_timeout;
        let is_expired = |peer: &PeerLoad| now.since(peer.received) > limit;
        if !self.peers.by_instance.values().any(is_expired) {
            return;
        }
        let mut old = Vec::new();
        self.peers.by_instance.retain(|_, peer| {
            let keep = !is_expired(peer);
            if !keep {
                old.append(&mut peer.loads);
            }
            keep
        });
        self.adjust_unreported(&old, -1.0);
    }

    fn add_peer_load(&mut self, instance: &Name) {
        let Some(peer) = self.peers.by_instance.get(instance) else {
            return;
        };
        let loads = peer.loads.clone();
        self.adjust_unreported(&loads, 1.0);
    }

    /// Adds the loads to their upstreams, or subtracts them if `sign` is -1.
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

    /// This instance's unreported load, to be sent to the other instances.
    pub fn unreported_load(&self) -> Vec<UnreportedLoad> {
        let load = |upstream: &crate::upstream::Upstream| {
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
        self.upstreams.values().filter_map(load).collect()
    }
}
