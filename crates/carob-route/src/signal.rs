//! Load reports, cache events, departures and health of upstreams.

use carob_base::{Name, Time, UpstreamKey};
use carob_wire::load::Report;

use crate::{
    cache,
    router::Router,
    state::Phase,
    upstream::{Load, SampledReport},
};

impl Router {
    /// Applies a load report that the engine sampled at `sampled`. It is ignored unless it is newer than the
    /// last one.
    pub fn apply_report(&mut self, name: &Name, report: Report, sampled: Time, now: Time) {
        let Some(&key) = self.upstream_names.get(name) else {
            return;
        };
        let newest = self.upstreams[key].last_report.as_ref();
        if newest.is_some_and(|last| last.sampled >= sampled) {
            return;
        }
        let last = newest.map(|last| (last.report.incarnation, last.report.preemptions));
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
        // A report sampled before the announcement must not cancel it; only a new process does. The first
        // report of an upstream decides alone.
        upstream.leaving = report.leaving || (upstream.leaving && last.is_some());
        if report.memory_tokens > 0 {
            upstream.memory = report.memory_tokens;
        }
        upstream.last_report = Some(SampledReport { report, sampled });
        self.due = true;
    }

    /// Discards the load and cache state of an upstream whose process was restarted.
    fn reset_upstream(&mut self, key: UpstreamKey) {
        self.prefixes.remove_upstream(key);
        let upstream = &mut self.upstreams[key];
        upstream.reset_load();
        upstream.leaving = false;
    }

    /// Load of this instance's own requests that a report sampled at `sampled` includes.
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

    /// Applies prefix cache events of an upstream.
    pub fn apply_cache_events(&mut self, name: &Name, events: &[cache::Event], _now: Time) {
        if let Some(&key) = self.upstream_names.get(name) {
            self.prefixes.apply_events(key, events);
        }
    }

    /// Marks an upstream as leaving: it gets no new work until a load report shows a new process.
    pub fn mark_leaving(&mut self, name: &Name) {
        if let Some(&key) = self.upstream_names.get(name) {
            self.upstreams[key].leaving = true;
        }
    }

    /// Marks an upstream as down, as found by health checks; its cache is taken to be lost.
    pub fn mark_down(&mut self, name: &Name, _now: Time) {
        if let Some(&key) = self.upstream_names.get(name) {
            self.upstreams[key].breaker.mark_down();
            self.prefixes.remove_upstream(key);
        }
    }

    /// Marks an upstream as up again, as found by health checks.
    pub fn mark_up(&mut self, name: &Name, _now: Time) {
        if let Some(&key) = self.upstream_names.get(name) {
            self.upstreams[key].breaker.mark_up();
            self.due = true;
        }
    }
}

/// Load of other instances by an engine's report, of which `own` is this instance's.
fn background_load(report: &Report, own: Load) -> Load {
    let count = (report.running + report.waiting) as f32;
    let used = report.used_tokens as f32;
    // Requests waiting in the engine hold no memory yet, but will need as much each as the running ones.
    let needed = if report.running == 0 {
        0.0
    } else {
        used / report.running as f32 * report.waiting as f32
    };
    let others = (count - own.count).max(0.0);
    let tokens = (used + needed - own.tokens).max(0.0);
    Load {
        count: others,
        tokens: if others > 0.0 { tokens } else { 0.0 },
    }
}
