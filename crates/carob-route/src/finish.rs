//! Progress and completion of requests.

use carob_base::{RequestKey, Time, UpstreamKey};

use crate::{
    router::Router,
    state::{OpenRequest, Phase},
    upstream::EndedRequest,
};

carob_base::plain! {
    /// How a request ended on its upstream.
    pub enum End {
        /// The answer is complete.
        Complete {
            /// Answer length, in tokens.
            tokens: u32,
        },
        /// The answer was cut off, so that its full length is unknown.
        Interrupted {
            /// Answer tokens so far.
            tokens: u32,
        },
        /// The caller cancelled the request.
        Cancelled {
            /// Answer tokens so far.
            tokens: u32,
        },
        /// The upstream refused the request or failed to answer it.
        Failed,
        /// The upstream's process or its connection is gone.
        UpstreamDied,
    }
}

impl Router {
    /// Records that the answer has reached `tokens` tokens. Calls for requests that are not running, or with
    /// no more tokens than before, have no effect.
    pub fn progress(&mut self, id: u64, tokens: u32, now: Time) {
        let Some(&key) = self.ids.get(&id) else {
            return;
        };
        let request = &mut self.requests[key];
        let Phase::Running {
            upstream, progressed, ..
        } = &mut request.phase
        else {
            return;
        };
        let (before, previous, upstream) = (request.produced, *progressed, *upstream);
        if tokens <= before {
            return;
        }
        request.produced = tokens;
        *progressed = now;
        self.lengths.record_growth(request.group, before, tokens);
        let upstream = &mut self.upstreams[upstream];
        if before > 0 {
            upstream.record_decode_rate(tokens - before, now.since(previous).as_secs_f32());
        } else {
            upstream.breaker.record_success();
        }
    }

    /// Records the end of a request and removes its state; a queued one is dequeued. Unknown ids are ignored.
    pub fn finish(&mut self, id: u64, end: End, now: Time) {
        let Some(&key) = self.ids.get(&id) else {
            return;
        };
        self.dequeue(key, false);
        self.detach_from_upstream(key, end, now);
        self.close_request(key);
    }

    /// Cancels a queued or running request.
    pub fn cancel(&mut self, id: u64, now: Time) {
        let Some(&key) = self.ids.get(&id) else {
            return;
        };
        let tokens = self.requests[key].produced;
        self.finish(id, End::Cancelled { tokens }, now);
    }

    /// Detaches a running request from its upstream and returns the upstream; `None` if it was not running.
    /// Updates the answer lengths and the circuit breaker with the way it ended.
    pub(crate) fn detach_from_upstream(
        &mut self,
        key: RequestKey,
        end: End,
        now: Time,
    ) -> Option<UpstreamKey> {
        self.due = true;
        let request = &mut self.requests[key];
        let Phase::Running { upstream, placed, .. } = request.phase else {
            return None;
        };
        if let End::Complete { tokens } | End::Interrupted { tokens } | End::Cancelled { tokens } = end {
            let before = request.produced;
            request.produced = tokens.max(before);
            self.lengths
                .record_growth(request.group, before, request.produced);
        }
        let ended = EndedRequest {
            placed,
            ended: now,
            tokens: request.held_tokens(),
        };
        request.phase = Phase::Unassigned;
        self.record_length(key, end);
        let forecast = self.requests[key].forecast(self.lengths.table(self.requests[key].group));
        let state = &mut self.upstreams[upstream];
        state.forecast.subtract(&forecast);
        state.detach(key, ended);
        match end {
            End::Complete { .. } => state.breaker.record_success(),
            End::Interrupted { .. } | End::Cancelled { .. } => state.breaker.record_inconclusive(now),
            End::Failed => state.breaker.record_failure(now),
            End::UpstreamDied => {
                state.breaker.record_death(now);
                self.prefixes.remove_upstream(upstream);
            }
        }
        Some(upstream)
    }

    fn record_length(&mut self, key: RequestKey, end: End) {
        let request: &OpenRequest = &self.requests[key];
        let is_natural_end = matches!(end, End::Complete { .. }) && request.produced < request.max_tokens;
        if is_natural_end {
            self.lengths.record_end(request.group, request.produced);
        } else if request.produced > 0 {
            self.lengths.record_censored(request.group, request.produced);
        }
    }
}
