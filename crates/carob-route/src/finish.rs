//! Progress and ends of requests.

use carob_base::{RequestKey, Time, UpstreamKey};

use crate::{
    router::Router,
    state::{Open, Phase},
    upstream::Ended,
};

carob_base::plain! {
    /// How a request ended on its upstream.
    pub enum End {
        /// The answer is whole.
        Complete {
            /// Its length.
            tokens: u32,
        },
        /// The answer was cut off; how long it would have become is unknown.
        Interrupted {
            /// Its length so far.
            tokens: u32,
        },
        /// The caller cancelled it.
        Cancelled {
            /// Its length so far.
            tokens: u32,
        },
        /// The upstream refused it or failed to answer.
        Failed,
        /// The upstream's process or connection is gone.
        UpstreamDied,
    }
}

impl Router {
    /// The request's answer has `tokens` by now.
    pub fn progress(&mut self, id: u64, tokens: u32, now: Time) {
        let Some(&key) = self.ids.get(&id) else {
            return;
        };
        let open = &mut self.open[key];
        let Phase::Running { upstream, moved, .. } = &mut open.phase else {
            return;
        };
        let (before, last, upstream) = (open.produced, *moved, *upstream);
        if tokens <= before {
            return;
        }
        open.produced = tokens;
        *moved = now;
        self.lengths.record_growth(open.group, before, tokens);
        let upstream = &mut self.upstreams[upstream];
        if before > 0 {
            upstream.note_pace(tokens - before, now.since(last).as_secs_f32());
        } else {
            upstream.breaker.succeeded();
        }
    }

    /// The request has ended; nothing of it is kept.
    pub fn finish(&mut self, id: u64, end: End, now: Time) {
        let Some(&key) = self.ids.get(&id) else {
            return;
        };
        self.dequeue(key, false);
        self.leave_upstream(key, end, now);
        self.close_request(key);
    }

    /// Takes a waiting request back; a running one is cancelled.
    pub fn cancel(&mut self, id: u64, now: Time) {
        let Some(&key) = self.ids.get(&id) else {
            return;
        };
        let tokens = self.open[key].produced;
        self.finish(id, End::Cancelled { tokens }, now);
    }

    /// Takes a running request off its upstream and learns from its end; returns the upstream.
    pub(crate) fn leave_upstream(&mut self, key: RequestKey, end: End, now: Time) -> Option<UpstreamKey> {
        self.ripe = true;
        let open = &mut self.open[key];
        let Phase::Running { upstream, placed, .. } = open.phase else {
            return None;
        };
        if let End::Complete { tokens } | End::Interrupted { tokens } | End::Cancelled { tokens } = end {
            let before = open.produced;
            open.produced = tokens.max(before);
            self.lengths.record_growth(open.group, before, open.produced);
        }
        let ended = Ended {
            placed,
            left: now,
            tokens: open.tokens(),
        };
        open.phase = Phase::Loose;
        self.learn(key, end);
        let curve = self.open[key].curve(self.lengths.table(self.open[key].group));
        let state = &mut self.upstreams[upstream];
        state.curve.subtract(&curve);
        state.detach(key, ended);
        match end {
            End::Complete { .. } => state.breaker.succeeded(),
            End::Interrupted { .. } | End::Cancelled { .. } => state.breaker.ended(now),
            End::Failed => state.breaker.failed(now),
            End::UpstreamDied => {
                state.breaker.died(now);
                self.prefixes.remove_upstream(upstream);
            }
        }
        Some(upstream)
    }

    fn learn(&mut self, key: RequestKey, end: End) {
        let open: &Open = &self.open[key];
        let by_itself = matches!(end, End::Complete { .. }) && open.produced < open.cap;
        if by_itself {
            self.lengths.record_end(open.group, open.produced);
        } else if open.produced > 0 {
            self.lengths.record_censored(open.group, open.produced);
        }
    }
}
