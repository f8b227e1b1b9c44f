//! Sends load reports and cache events of upstreams and load messages between peers, with their delays and
//! losses.

use carob_route::cache;
use rand::RngExt;

use crate::{event::Event, run::Replay};

impl Replay<'_> {
    /// Sends the load and the cache changes of an upstream to every instance; a crashed upstream sends
    /// nothing.
    pub(crate) fn sample_load(&mut self, upstream: usize) {
        let signals = self.trace.signals;
        self.schedule(self.now + signals.report_interval, Event::SampleLoad(upstream));
        if self.down[upstream] {
            return;
        }
        let report = self.engines[upstream].report();
        let events = self.take_cache_events(upstream);
        let sampled = self.now;
        for instance in 0..self.policies.len() {
            let latency = self.one_way_latency(instance, upstream);
            if !self.is_lost(signals.report_loss) {
                let report = report.clone();
                self.schedule(
                    self.now + self.report_delay + latency,
                    Event::LoadReport {
                        instance,
                        upstream,
                        report,
                        sampled,
                    },
                );
            }
            if !events.is_empty() && !self.is_lost(signals.cache_loss) {
                let events = events.clone();
                self.schedule(
                    self.now + signals.cache_delay + latency,
                    Event::CacheEvents {
                        instance,
                        upstream,
                        events,
                    },
                );
            }
        }
    }

    /// Draws whether a message is lost.
    fn is_lost(&mut self, percent: u8) -> bool {
        self.random.random_range(0..100) < percent
    }

    /// Converts the changes of an engine's prefix cache into at most two numbered events.
    fn take_cache_events(&mut self, upstream: usize) -> Vec<cache::Event> {
        let change = self.engines[upstream].take_cache_change();
        let stored = cache::Change::Stored(change.stored.into_iter().collect());
        let removed = cache::Change::Removed(change.removed.into_iter().collect());
        let mut events = Vec::new();
        for change in [stored, removed] {
            let (cache::Change::Stored(hashes) | cache::Change::Removed(hashes)) = &change else {
                continue;
            };
            if hashes.is_empty() {
                continue;
            }
            self.cache_sequences[upstream] += 1;
            events.push(cache::Event {
                sequence: self.cache_sequences[upstream],
                change,
            });
        }
        events
    }

    /// Sends the unreported load of an instance to its peers; only the product's router has any.
    pub(crate) fn send_peer_load(&mut self, instance: usize) {
        let signals = self.trace.signals;
        let Some(router) = self.policies[instance].router() else {
            return;
        };
        let loads = router.unreported_load();
        self.schedule(self.now + signals.peer_interval, Event::SendPeerLoad(instance));
        for target in (0..self.policies.len()).filter(|&target| target != instance) {
            let same_region = self.trace.instances[target].region == self.trace.instances[instance].region;
            let latency = if same_region {
                signals.local_latency
            } else {
                signals.remote_latency
            };
            let message = Event::PeerLoad {
                instance: target,
                peer: instance,
                loads: loads.clone(),
            };
            self.schedule(self.now + latency, message);
        }
    }
}
