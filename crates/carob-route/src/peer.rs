//! What instances tell each other about work that load reports do not show yet.

use std::collections::HashMap;

use carob_base::{Name, Time, UpstreamKey};

use crate::{router::Router, state::Phase, upstream::Crowd};

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
    by_instance: HashMap<Name, Told>,
    /// Other instances, if their number is known.
    others: Option<usize>,
}

/// One instance's shares.
#[derive(Debug)]
struct Told {
    received: Time,
    shares: Vec<(UpstreamKey, Crowd)>,
}

impl Peers {
    /// Other instances; without a number, those that have told their shares.
    pub fn count(&self) -> usize {
        self.others.unwrap_or(self.by_instance.len())
    }

    /// When they told them, on average.
    pub fn mean_received(&self) -> Time {
        let count = self.by_instance.len().max(1) as u64;
        let total: u64 = self
            .by_instance
            .values()
            .map(|told| told.received.as_micros())
            .sum();
        Time::from_micros(total / count)
    }
}

impl Router {
    /// Sets the number of other instances, for a caller whose shares come added up under one name.
    pub fn set_peer_count(&mut self, count: usize) {
        self.peers.others = Some(count);
    }

    /// Takes in the shares of another instance, which replace its earlier ones.
    pub fn update_peer_load(&mut self, instance: &Name, shares: &[UnreportedLoad], now: Time) {
        let known = |share: &UnreportedLoad| {
            let key = *self.upstream_names.get(&share.upstream)?;
            let crowd = Crowd {
                count: share.requests as f32,
                tokens: share.tokens as f32,
            };
            Some((key, crowd))
        };
        let shares = shares.iter().filter_map(known).collect();
        let told = Told {
            received: now,
            shares,
        };
        if let Some(old) = self.peers.by_instance.insert(instance.clone(), told) {
            self.add_shares(&old.shares, -1.0);
        }
        self.add_told(instance);
        self.ripe = true;
    }

    /// Forgets the shares of instances that have fallen silent.
    pub(crate) fn forget_silent_peers(&mut self, now: Time) {
        let limit = self.options.peer_timeout;
        let silent = |told: &Told| now.since(told.received) > limit;
        if !self.peers.by_instance.values().any(silent) {
            return;
        }
        let mut old = Vec::new();
        self.peers.by_instance.retain(|_, told| {
            let keep = !silent(told);
            if !keep {
                old.append(&mut told.shares);
            }
            keep
        });
        self.add_shares(&old, -1.0);
    }

    fn add_told(&mut self, instance: &Name) {
        let Some(told) = self.peers.by_instance.get(instance) else {
            return;
        };
        let shares = told.shares.clone();
        self.add_shares(&shares, 1.0);
    }

    fn add_shares(&mut self, shares: &[(UpstreamKey, Crowd)], sign: f32) {
        if !self.options.mechanisms.peers {
            return;
        }
        for (key, crowd) in shares {
            let Some(upstream) = self.upstreams.get_mut(*key) else {
                continue;
            };
            upstream.peers.count = (upstream.peers.count + sign * crowd.count).max(0.0);
            upstream.peers.tokens = (upstream.peers.tokens + sign * crowd.tokens).max(0.0);
        }
    }

    /// This instance's shares, to be sent to the others.
    pub fn unreported_load(&self) -> Vec<UnreportedLoad> {
        let share = |upstream: &crate::upstream::Upstream| {
            let sampled = upstream.seen.as_ref().map_or(Time::ZERO, |seen| seen.sampled);
            let unseen = upstream.own.iter().filter_map(|&key| {
                let open = self.open.get(key)?;
                let Phase::Running { placed, .. } = open.phase else {
                    return None;
                };
                (placed > sampled).then(|| open.tokens())
            });
            let (requests, tokens) = unseen.fold((0, 0), |(n, sum), tokens| (n + 1, sum + tokens));
            (requests > 0).then(|| UnreportedLoad {
                upstream: upstream.name.clone(),
                requests,
                tokens,
            })
        };
        self.upstreams.values().filter_map(share).collect()
    }
}
