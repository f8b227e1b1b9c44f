//! A fake engine that generates at a constant rate.

use std::time::Duration;

use bytes::Bytes;
use carob_base::Time;
use carob_wire::event::Event;

/// Time between two events of a generation.
pub const INTERVAL: Duration = Duration::from_millis(40);
/// Events of an answer besides its text deltas: created, added, done, completed.
const FRAMING_EVENTS: u64 = 4;

/// One generation. `number` is unique within a test case and used only by the oracle; `id` is the engine's
/// own.
#[derive(Clone, Debug)]
pub struct Generation {
    pub number: u64,
    pub id: u64,
    pub deltas: u64,
    pub produced: u64,
    pub cancelled: bool,
    next_at: Time,
}

#[derive(Debug)]
pub struct Engine {
    pub incarnation: u64,
    pub up: bool,
    /// Whether the machine has disappeared, so that connections neither break nor are refused.
    pub disappeared: bool,
    pub stalled_until: Time,
    pub cut_until: Time,
    pub generations: Vec<Generation>,
}

impl Engine {
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            up: true,
            disappeared: false,
            stalled_until: Time::ZERO,
            cut_until: Time::ZERO,
            generations: Vec::new(),
        }
    }

    /// Restarts with the next incarnation. Ids are numbered from 0 again and thus reused.
    pub fn restart(&mut self) {
        *self = Self::new(self.incarnation + 1);
    }

    pub fn start(&mut self, number: u64, deltas: u64, now: Time) -> u64 {
        let id = self.generations.len() as u64;
        self.generations.push(Generation {
            number,
            id,
            deltas,
            produced: 0,
            cancelled: false,
            next_at: now,
        });
        id
    }

    pub fn run(&mut self, now: Time) {
        if !self.up || now < self.stalled_until {
            return;
        }
        for generation in &mut self.generations {
            if now >= generation.next_at && !generation.is_over() {
                generation.produced += 1;
                generation.next_at = now + INTERVAL;
            }
        }
    }
}

impl Generation {
    pub fn is_over(&self) -> bool {
        self.cancelled || self.produced == self.deltas + FRAMING_EVENTS
    }

    /// The event with this sequence number, if it has been produced.
    pub fn event(&self, sequence: u64) -> Option<Event> {
        if self.cancelled && sequence == self.produced {
            return Some(self.encode(sequence, "response.failed", &self.response("failed")));
        }
        if sequence >= self.produced {
            return None;
        }
        let delta_index = sequence.saturating_sub(2);
        Some(match sequence {
            0 => self.encode(0, "response.created", &self.response("in_progress")),
            1 => self.encode(1, "response.output_item.added", r#""output_index":0"#),
            _ if delta_index < self.deltas => {
                let delta = format!(r#""item_id":"m{}","delta":"{delta_index} ""#, self.id);
                self.encode(sequence, "response.output_text.delta", &delta)
            }
            _ if delta_index == self.deltas => {
                self.encode(sequence, "response.output_text.done", r#""output_index":0"#)
            }
            _ => self.encode(sequence, "response.completed", &self.response("completed")),
        })
    }

    fn response(&self, status: &str) -> String {
        format!(r#""response":{{"id":"r{}","status":"{status}"}}"#, self.id)
    }

    fn encode(&self, sequence: u64, kind: &str, rest: &str) -> Event {
        let number = self.number;
        let json =
            format!(r#"{{"type":"{kind}","sequence_number":{sequence},"generation":{number},{rest}}}"#);
        Event::parse(Bytes::from(json)).expect("the fake engine sends valid events")
    }
}
