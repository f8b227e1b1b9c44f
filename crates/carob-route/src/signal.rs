//! What upstreams report and health checks find.

use carob_base::{Name, Time, UpstreamKey};
use carob_wire::load::Report;

use crate::{
    cache,
    router::Router,
    state::Phase,
    upstream::{Crowd, Seen},
};

impl Router {
    /// Takes in a load report that the engine made at `sampled`; an older one than the newest seen is dropped.
    pub fn apply_report(&mut self, name: &Name, report: Report, sampled: Time, now: Time) {
        let Some(&key) = self.upstream_names.get(name) else {
            return;
        };
        let known = self.upstreams[key].seen.as_ref();
        if known.is_some_and(|seen| seen.sampled >= sampled) {
            return;
        }
        let last = known.map(|seen| (seen.report.incarnation, seen.report.preemptions));
        if last.is_some_and(|(incarnation, _)| incarnation != report.incarnation) {
            self.restarted(key);
        }
        let own = self.own_at(key, sampled, now);
        let upstream = &mut self.upstreams[key];
        if let Some((incarnation, preemptions)) = last
            && incarnation == report.incarnation
            && report.preemptions > preemptions
        {
            upstream.preempted(report.preemptions - preemptions, now);
        }
        upstream.foreign = foreign(&report, own);
        // A late report does not undo an announcement; only a new process does.
        upstream.leaving = report.leaving || (upstream.leaving && last.is_some());
        if report.memory > 0 {
            upstream.memory = report.memory;
        }
        upstream.seen = Some(Seen { report, sampled });
        self.ripe = true;
    }

    /// The upstream runs a new process: what was known of its load and cache is void.
    fn restarted(&mut self, key: UpstreamKey) {
        self.prefixes.remove_upstream(key);
        let upstream = &mut self.upstreams[key];
        upstream.reset_load();
        upstream.leaving = false;
    }

    /// The own requests that an engine's report of `sampled` counts.
    fn own_at(&mut self, key: UpstreamKey, sampled: Time, now: Time) -> Crowd {
        let mut crowd = self.upstreams[key].ended_after(sampled);
        let upstream = &self.upstreams[key];
        for own in &upstream.own {
            let open = &self.open[*own];
            let Phase::Running { placed, .. } = open.phase else {
                continue;
            };
            if placed <= sampled {
                crowd.count += 1.0;
                let prompt = open.prompt as f32;
                crowd.tokens += prompt + upstream.tokens_then(open.produced, now, sampled);
            }
        }
        crowd
    }

    /// Takes in an upstream's cache events.
    pub fn apply_cache_events(&mut self, name: &Name, events: &[cache::Event], _now: Time) {
        if let Some(&key) = self.upstream_names.get(name) {
            self.prefixes.apply_events(key, events);
        }
    }

    /// The upstream is leaving and gets no new work until a report of a new process says otherwise.
    pub fn mark_leaving(&mut self, name: &Name) {
        if let Some(&key) = self.upstream_names.get(name) {
            self.upstreams[key].leaving = true;
        }
    }

    /// Health checks found the upstream down.
    pub fn mark_down(&mut self, name: &Name, _now: Time) {
        if let Some(&key) = self.upstream_names.get(name) {
            self.upstreams[key].breaker.down();
            self.prefixes.remove_upstream(key);
        }
    }

    /// Health checks found the upstream up.
    pub fn mark_up(&mut self, name: &Name, _now: Time) {
        if let Some(&key) = self.upstream_names.get(name) {
            self.upstreams[key].breaker.up();
            self.ripe = true;
        }
    }
}

/// What others run on an engine with this report, of which `own` is ours.
fn foreign(report: &Report, own: Crowd) -> Crowd {
    let count = (report.running + report.waiting) as f32;
    let used = report.used as f32;
    // Waiting requests hold no memory yet but will want as much as the running ones.
    let wanted = if report.running == 0 {
        0.0
    } else {
        used / report.running as f32 * report.waiting as f32
    };
    let foreign = (count - own.count).max(0.0);
    let tokens = (used + wanted - own.tokens).max(0.0);
    Crowd {
        count: foreign,
        tokens: if foreign > 0.0 { tokens } else { 0.0 },
    }
}
