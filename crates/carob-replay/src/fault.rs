//! Faults of a trace: upstreams that die or fail, instances that restart.

use carob_route::End;

use crate::{
    event::Event,
    policy::PolicyState,
    run::{Phase, Replay},
    trace::FaultKind,
};

impl Replay<'_> {
    pub(crate) fn fault(&mut self, fault: usize) {
        match &self.trace.faults[fault].kind {
            FaultKind::Crash { upstream, duration } => {
                let upstream = self.names[upstream];
                self.down[upstream] = true;
                self.generations[upstream] += 1;
                self.stepping[upstream] = false;
                self.push(self.now + *duration, Event::Mend(upstream));
                for request in self.engines[upstream].restart() {
                    self.fail(request, End::UpstreamDied);
                }
            }
            FaultKind::Fail { upstream, duration } => {
                let upstream = self.names[upstream];
                self.failing[upstream] = true;
                self.push(self.now + *duration, Event::Mend(upstream));
            }
            FaultKind::ReportDelay(lag) => self.lag = *lag,
            FaultKind::Restart { instance } => {
                let found = self
                    .trace
                    .instances
                    .iter()
                    .position(|other| &other.name == instance);
                if let Some(at) = found {
                    self.forget(at);
                }
            }
        }
    }

    /// Restarts an instance gracefully: its running requests go on with the old process, which decides no more.
    fn forget(&mut self, at: usize) {
        let seed = self.seed.wrapping_mul(7_919).wrapping_add(at as u64);
        let instance = &self.trace.instances[at];
        self.deciders[at] = PolicyState::new(self.policy, self.trace, instance, seed, self.now);
        for request in 0..self.phases.len() {
            let own =
                self.trace.requests[request].instance == at && self.trace.requests[request].at < self.now;
            if own && self.phases[request] == Phase::Waiting {
                self.phases[request] = Phase::Over;
                self.ledger.refused(request, self.now);
            }
        }
    }

    pub(crate) fn mend(&mut self, upstream: usize) {
        self.down[upstream] = false;
        self.failing[upstream] = false;
    }

    /// The request's upstream failed: an answer that has begun is lost, any other is retried.
    pub(crate) fn fail(&mut self, request: usize, end: End) {
        let instance = self.desk(request);
        if self.ledger.has_begun(request) {
            self.phases[request] = Phase::Over;
            self.ledger.lost();
            self.deciders[instance].finish(request as u64, end, self.now);
            self.plan_poll(instance);
            return;
        }
        self.ledger.retried();
        self.phases[request] = Phase::Waiting;
        let verdict = self.deciders[instance].retry(request as u64, end, self.now, &self.names);
        self.obey(verdict, instance);
        self.plan_poll(instance);
    }
}
