//! How what an upstream has sent of a stream reaches the client.

use bytes::{Bytes, BytesMut};
use carob_dispatch::position::Step;
use tokio::time::{Instant, timeout_at};

use super::{
    super::{framing, link, plain::UPSTREAM_PATIENCE, verdict},
    Stream, StreamEnd,
};

impl Stream {
    /// Passes on the events that are complete with `bytes`. Returns whether the upstream has left out none before them.
    pub(super) async fn forward(&mut self, bytes: &[u8]) -> Result<bool, StreamEnd> {
        self.splitter.push(bytes);
        self.last_sign = Instant::now();
        if self.driver.relay().is_none() {
            link::record_answer(&self.call.shared, self.reservation.upstream);
        }
        let mut chunk = BytesMut::new();
        let mut count = 0;
        let mut is_gapless = true;
        while let Some(event) = self.splitter.next_event() {
            let has_fields = event.has_fields();
            self.owes_event &= !has_fields;
            match self.position.step(event.id, has_fields) {
                Step::Pass => {
                    count += u32::from(has_fields);
                    chunk.extend_from_slice(&event.bytes);
                }
                Step::Drop => {}
                Step::Gap => {
                    is_gapless = false;
                    break;
                }
            }
        }
        if count > 0 {
            self.pace.record(&self.call, &self.reservation, count);
            self.record_events(count);
        }
        self.client.set_partial(self.splitter.remainder().len());
        if chunk.is_empty() {
            return Ok(is_gapless);
        }
        self.client.push(chunk.freeze());
        let begun = Instant::now();
        let ready = timeout_at(self.call.deadline, self.client.ready()).await;
        self.pace.record_wait(begun.elapsed());
        if begun.elapsed() >= UPSTREAM_PATIENCE {
            // The upstream may have sent events meanwhile.
            let now = Instant::now();
            self.paused_until = Some(now);
            self.last_sign = now;
            self.stall_due = now + self.stall_limit();
        }
        match ready {
            Ok(Ok(())) => Ok(is_gapless),
            Ok(Err(_closed)) => Err(StreamEnd::ClientGone),
            Err(_elapsed) => Err(StreamEnd::Late),
        }
    }

    /// Records that `count` events are passed on now.
    pub(super) fn record_events(&mut self, count: u32) {
        let now = Instant::now();
        if self.first_event.is_none() {
            self.first_event = Some(now);
        } else {
            self.longest_pause = self.longest_pause.max(now - self.last_forwarded);
        }
        self.last_forwarded = now;
        self.stall_due = now + self.stall_limit();
        self.writing_since.get_or_insert(now);
        if !self.proved && self.is_sound() {
            self.proved = true;
            verdict::record_sound(&self.call);
        }
        self.events += count;
        if self.call.engine.is_some() {
            let generated = self.generated();
            if self.reservation.size.prefill > 0
                || self.call.held_tokens(generated) > self.reservation.size.tokens
            {
                self.reservation.resize(self.call.size(generated));
            }
        }
    }

    /// Tokens that were generated for the events that were passed on.
    pub(super) fn generated(&self) -> u32 {
        let event_tokens = self.call.engine.as_ref().map_or(0, |engine| engine.event_tokens);
        self.events * event_tokens
    }

    /// Ends a stream whose upstream has ended it, after passing on what follows the last complete event.
    pub(super) fn finish(&mut self) -> StreamEnd {
        framing::count_answer(self.framing, true);
        let rest = Bytes::copy_from_slice(self.splitter.remainder());
        if self.client.closed_by().is_some() {
            return StreamEnd::ClientGone;
        }
        self.client.push(rest);
        if !self.proved && self.framing.is_explicit() {
            verdict::record_sound(&self.call);
        } else if !self.proved {
            verdict::record_sound_later(&self.call, self.reservation.upstream);
        }
        StreamEnd::Complete
    }
}
