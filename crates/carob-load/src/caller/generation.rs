//! Runs the state machine of a generation's exchange over sockets.

use std::{thread, time::Duration};

use bytes::{Bytes, BytesMut};
use carob_base::Time;
use carob_http::client::{self, Chunk, Error, Request, Stream};
use carob_wire::{header, sse};

use super::{
    Context, Record,
    exchange::{Exchange, Step},
};
use crate::{RequestSpec, arrivals::Arrival, check::Refusal};

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Number of bytes after which reading a refusal's body stops.
const REFUSAL_BODY_LIMIT: usize = 1 << 16;
/// HTTP status of a response that carries a stream.
const OK: u16 = 200;

/// Runs the exchange of `arrival` and blocks until it ends.
pub fn run(context: &Context, arrival: Arrival) -> Record {
    let class = context.class(&arrival);
    let spec = RequestSpec::new(&arrival, &context.workload);
    let body = context.target.body(&spec);
    let now = context.clock.now();
    let driver = Driver {
        context,
        deadline: arrival.at + class.timeout,
        body,
    };
    let mut exchange = Exchange::new(arrival, class, now);
    loop {
        let request = driver.request(&exchange, &arrival, &class.path);
        match driver.run_connection(&mut exchange, &request) {
            Step::Reconnect(pause) => thread::sleep(pause),
            Step::Read | Step::Pause(_) => {}
            Step::End => return exchange.into_record(spec.tag, context.clock.now()),
        }
    }
}

struct Driver<'a> {
    context: &'a Context,
    /// When the caller gives up on the exchange.
    deadline: Time,
    body: Bytes,
}

impl Driver<'_> {
    fn request(&self, exchange: &Exchange, arrival: &Arrival, path: &str) -> Request {
        let attempt = exchange.attempts();
        let request = match exchange.resume_path() {
            Some(path) => self.context.request(arrival, attempt, "GET", &path),
            None => self
                .context
                .request(arrival, attempt, "POST", path)
                .with_header("content-type", "application/json")
                .with_body(self.body.clone()),
        };
        // The waits below enforce the caller's deadline, so the client's own must be later.
        request.with_deadline(self.time_left() + Duration::from_secs(1))
    }

    /// Time until the caller gives up.
    fn time_left(&self) -> Duration {
        self.deadline.since(self.context.clock.now())
    }

    /// Sends `request` and reads until the exchange needs another connection or has ended.
    fn run_connection(&self, exchange: &mut Exchange, request: &Request) -> Step {
        let stream = match client::start(request).wait(self.time_left()) {
            Ok(Ok(stream)) => stream,
            Ok(Err(Error::Refused(_) | Error::NotSent(_))) => return exchange.on_unreachable(),
            Ok(Err(Error::Unknown(_))) => return exchange.on_disconnect(),
            Err(pending) => {
                pending.close();
                return exchange.on_timeout();
            }
        };
        if stream.status == OK {
            return self.read(exchange, stream);
        }
        let refusal = self.read_refusal(&stream);
        stream.close();
        exchange.on_refusal(&refusal, self.context.clock.now())
    }

    fn read(&self, exchange: &mut Exchange, stream: Stream) -> Step {
        let mut decoder = sse::Decoder::new(MAX_EVENT_BYTES);
        loop {
            let step = match stream.next(self.time_left()) {
                Chunk::Data(bytes) => {
                    decoder.feed(&bytes);
                    self.process_events(exchange, &mut decoder)
                }
                Chunk::End => exchange.on_end(),
                Chunk::Failed(_) => exchange.on_disconnect(),
                Chunk::TimedOut => exchange.on_timeout(),
            };
            if !matches!(step, Step::Read | Step::Pause(_)) {
                stream.close();
                return step;
            }
        }
    }

    /// Passes all completely received events to the exchange.
    fn process_events(&self, exchange: &mut Exchange, decoder: &mut sse::Decoder) -> Step {
        loop {
            let data = match decoder.next_data() {
                Ok(Some(data)) => data,
                Ok(None) => return Step::Read,
                Err(_too_large) => return exchange.on_disconnect(),
            };
            match exchange.on_data(data, self.context.clock.now()) {
                Step::Read => {}
                Step::Pause(pause) => thread::sleep(pause.min(self.time_left())),
                step => return step,
            }
        }
    }

    fn read_refusal(&self, stream: &Stream) -> Refusal {
        let mut body = BytesMut::new();
        while body.len() < REFUSAL_BODY_LIMIT
            && let Chunk::Data(bytes) = stream.next(self.time_left())
        {
            body.extend_from_slice(&bytes);
        }
        Refusal {
            status: stream.status,
            media_type: stream.headers.get("content-type").map(str::to_owned),
            outcome: stream.headers.get(header::OUTCOME).map(str::to_owned),
            body: body.freeze(),
        }
    }
}
