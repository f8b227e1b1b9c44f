//! What upstreams report and health checks find.

use carob_base::{Name, Time, UpstreamKey};
use carob_wire::load::Report;

use crate::{
    cache,
    router::Router,
    state::Phase,
    upstream::{Load, SampledReport},
};

impl Router {
    /// Takes in a load report that the engine made at `sampled`; an older one than the newest seen is dropped.
    pub fn apply_report(&mut self, name: &Name, report: Report, sampled: Time, now: Time) {
        let Some(&key) = self.upstream_names.get(name) else {
            return;
        };
        let known = self.upstreams[key].last_report.as_ref();
        if known.is_some_and(|last| last.sampled >= sampled) {
            return;
        }
        let last = known.map(|last| (last.report.incarnation, last.report.preemptions));
        if last.is_some_and(|(incarnation, _)| incarnation != report.incarnation) {
            self.reset_upstream(key);
        }
        let own = self.own_load_at(key, sampled, now);
        let upstream = &mut self.upstreams[key];
        if let Some((incarnation, preemptions)) = last
            && incarnation == report.incarnation
            && report.preemptions > preemptions
        {
            upstream.record_preemptions(report.preemptions - preemptions, now);
        }
        upstream.reported = background_load(&report, own);
        // A late report does not undo an announcement; only a new process does.
        upstream.leaving = report.leaving || (upstream.leaving && last.is_some());
        if report.memory > 0 {
            upstream.memory = report.memory;
        }
        upstream.last_report = Some(SampledReport { report, sampled });
        self.due = true;
    }

    /// The upstream runs a new process: what was known of its load and cache is void.
    fn reset_upstream(&mut self, key: UpstreamKey) {
        self.prefixes.remove_upstream(key);
        let upstream = &mut self.upstreams[key];
        upstream.reset_load();
        upstream.leaving = false;
    }

    /// The own requests that an engine's report of `sampled` counts.
    fn own_load_at(&mut self, key: UpstreamKey, sampled: Time, now: Time) -> Load {
        let mut load = self.upstreams[key].ended_after(sampled);
        let upstream = &self.upstreams[key];
        for own in &upstream.own {
            let request = &self.requests[*own];
            let Phase::Running { placed, .. } = request.phase else {
                continue;
            };
            if placed <= sampled {
                load.count += 1.0;
                let prompt = request.prompt as f32;
                load.tokens += prompt + upstream.tokens_at(request.produced, now, sampled);
            }
        }
        load
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
            self.upstreams[key].breaker.mark_down();
            self.prefixes.remove_upstream(key);
        }
    }

    /// Health checks found the upstream up.
    pub fn mark_up(&mut self, name: &Name, _now: Time) {
        if let Some(&key) = self.upstream_names.get(name) {
            self.upstreams[key].breaker.mark_up();
            self.due = true;
        }
    }
}

/// What others run on an engine with this report, of which `own` is ours.
fn background_load(report: &Report, own: Load) -> Load {
    let count = (report.running + report.waiting) as f32;
    let used = report.used as f32;
    // Waiting requests hold no memory yet but will want as much as the running ones.
    let wanted = if report.running == 0 {
        0.0
    } else {
        used / report.running as f32 * report.waiting as f32
    };
    let count_of_others = (count - own.count).max(0.0);
    let tokens = (used + wanted - own.tokens).max(0.0);
    Load {
        count: count_of_others,
        tokens: if count_of_others > 0.0 { tokens } else { 0.0 },
    }
}
