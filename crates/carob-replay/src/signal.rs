//! Load reports, cache events and instances' messages on their way.

use carob_route::cache;
use rand::RngExt;

use crate::{event::Event, run::Replay};

impl Replay<'_> {
    pub(crate) fn sample(&mut self, upstream: usize) {
        let signals = self.trace.signals;
        self.push(self.now + signals.report_interval, Event::Sample(upstream));
        if self.down[upstream] {
            return;
        }
        let report = self.engines[upstream].report();
        let events = self.take_cache_events(upstream);
        let sampled = self.now;
        for instance in 0..self.deciders.len() {
            let way = self.way(instance, upstream);
            if !self.loses(signals.report_loss) {
                let report = report.clone();
                self.push(
                    self.now + self.lag + way,
                    Event::Load {
                        instance,
                        upstream,
                        report,
                        sampled,
                    },
                );
            }
            if !events.is_empty() && !self.loses(signals.cache_loss) {
                let events = events.clone();
                self.push(
                    self.now + signals.cache_delay + way,
                    Event::Cache {
                        instance,
                        upstream,
                        events,
                    },
                );
            }
        }
    }

    fn loses(&mut self, percent: u8) -> bool {
        self.random.random_range(0..100) < percent
    }

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

    pub(crate) fn tell(&mut self, instance: usize) {
        let signals = self.trace.signals;
        let Some(router) = self.deciders[instance].router() else {
            return;
        };
        let shares = router.unreported_load();
        self.push(self.now + signals.peer_interval, Event::Tell(instance));
        for other in (0..self.deciders.len()).filter(|&other| other != instance) {
            let near = self.trace.instances[other].region == self.trace.instances[instance].region;
            let way = if near {
                signals.local_latency
            } else {
                signals.remote_latency
            };
            let told = Event::Told {
                instance: other,
                from: instance,
                shares: shares.clone(),
            };
            self.push(self.now + way, told);
        }
    }
}
