//! Injects the faults of a trace: crashing and failing upstreams, delayed load reports, restarting instances.

use carob_route::End;

use crate::{
    event::Event,
    policy::PolicyState,
    run::{Phase, Replay},
    trace::FaultKind,
};

impl Replay<'_> {
    pub(crate) fn apply_fault(&mut self, fault: usize) {
        match &self.trace.faults[fault].kind {
            FaultKind::Crash { upstream, duration } => {
                let upstream = self.upstream_indices[upstream];
                self.down[upstream] = true;
                self.restarts[upstream] += 1;
                self.stepping[upstream] = false;
                self.schedule(self.now + *duration, Event::Recover(upstream));
                for request in self.engines[upstream].restart() {
                    self.fail_attempt(request, End::UpstreamDied);
                }
            }
            FaultKind::Fail { upstream, duration } => {
                let upstream = self.upstream_indices[upstream];
                self.failing[upstream] = true;
                self.schedule(self.now + *duration, Event::Recover(upstream));
            }
            FaultKind::ReportDelay(delay) => self.report_delay = *delay,
            FaultKind::Restart { instance } => {
                let found = self
                    .trace
                    .instances
                    .iter()
                    .position(|other| &other.name == instance);
                if let Some(index) = found {
                    self.restart_instance(index);
                }
            }
        }
    }

    /// Simulates a graceful restart of an instance: its running requests continue as if in the old process,
    /// which makes no more routing decisions; requests waiting in its queue are refused.
    fn restart_instance(&mut self, index: usize) {
        let seed = self.seed.wrapping_mul(7_919).wrapping_add(index as u64);
        let instance = &self.trace.instances[index];
        self.policies[index] = PolicyState::new(self.policy, self.trace, instance, seed, self.now);
        for request in 0..self.phases.len() {
            let affected =
                self.trace.requests[request].instance == index && self.trace.requests[request].at < self.now;
            if affected && self.phases[request] == Phase::Waiting {
                self.phases[request] = Phase::Finished;
                self.outcomes.record_refused(request, self.now);
            }
        }
    }

    pub(crate) fn recover_upstream(&mut self, upstream: usize) {
        self.down[upstream] = false;
        self.failing[upstream] = false;
    }

    /// Handles the failure of a request's upstream: if its answer has started, the request is lost; otherwise
    /// it is retried.
    pub(crate) fn fail_attempt(&mut self, request: usize, end: End) {
        let instance = self.deciding_instance(request);
        if self.outcomes.has_started(request) {
            self.phases[request] = Phase::Finished;
            self.outcomes.record_lost();
            self.policies[instance].finish(request as u64, end, self.now);
            self.schedule_poll(instance);
            return;
        }
        self.outcomes.record_retry();
        self.phases[request] = Phase::Waiting;
        let decision = self.policies[instance].retry(request as u64, end, self.now, &self.upstream_indices);
        self.apply_decision(decision, instance);
        self.schedule_poll(instance);
    }
}
