//! Clients that break off streams of a resumable route, and come back to other gateways for the rest.

use std::{ops::Range, thread, time::Duration, time::Instant};

use carob_platform_standin::client::Outcome;
use rand::{RngExt as _, rngs::StdRng};

use super::{
    roaming,
    traffic::{Clients, Kind, Observation, draw_resumable},
};

/// Number of clients that resume streams.
pub const RESUMERS: u64 = 3;

/// Milliseconds after which a client breaks off.
const BREAK_AFTER: Range<u64> = 20..900;

/// Share of the responses that a client breaks off.
const BREAK_SHARE: f64 = 0.5;

/// Responses that a client asks for until it has the whole stream.
const MAX_RESPONSES: u32 = 4;

/// Pause between two streams, in milliseconds.
const PAUSE: Range<u64> = 50..400;

impl Clients {
    /// Asks for streams at `path`, each until it is whole or has been asked for too often.
    pub fn resume_streams(&self, rng: &mut StdRng, path: &str) {
        while !self.is_stopped() {
            let (mut from, events) = (0, rng.random_range(1..40));
            for _ in 0..MAX_RESPONSES {
                let observation = self.ask_for_rest(rng, path, from, events);
                from = observation.outcome.events().last().copied().unwrap_or(from);
                let is_whole = observation.outcome.complete && observation.outcome.status == 200;
                self.record(observation);
                if is_whole || self.is_stopped() {
                    break;
                }
            }
            thread::sleep(Duration::from_millis(rng.random_range(PAUSE)));
        }
    }

    /// Asks any gateway for the events after `from`, and may break the response off.
    fn ask_for_rest(&self, rng: &mut StdRng, path: &str, from: u64, events: u64) -> Observation {
        let mut request = draw_resumable(rng, &self.next_request_id(), from, events);
        path.clone_into(&mut request.path);
        request = request.with_key(roaming::key(path));
        let gateway = self.pick_gateway(rng);
        let opened = Instant::now();
        let mut held = self.open(gateway);
        let connected = Instant::now();
        let breaks = rng.random_bool(BREAK_SHARE);
        let time = if breaks {
            Duration::from_millis(rng.random_range(BREAK_AFTER))
        } else {
            request.timeout
        };
        let (mut sent, mut outcome) = (None, Outcome::default());
        if let Some(held) = &mut held {
            (sent, outcome) = held.send(&request, opened + time);
        }
        let given_up = breaks && !outcome.complete;
        Observation {
            request,
            kind: Kind::Resumable { from, events },
            outcome,
            gateway,
            opened: (opened, connected),
            begun: opened,
            sent,
            ended: Instant::now(),
            given_up,
            position: 0,
        }
    }
}
