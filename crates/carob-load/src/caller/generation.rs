//! The driver of a generation's exchange over sockets.

use std::{thread, time::Duration};

use bytes::{Bytes, BytesMut};
use carob_base::Time;
use carob_http::client::{self, Chunk, Error, Request, Stream};
use carob_wire::{header, sse};

use super::{
    Context, Record,
    exchange::{Exchange, Step},
};
use crate::{Ask, arrivals::Arrival, check::Refusal};

/// Largest event, in bytes.
const EVENT_LIMIT: usize = 1 << 20;
/// Largest body of a refusal that is read, in bytes.
const REFUSAL_LIMIT: usize = 1 << 16;
/// HTTP status of a stream.
const OK: u16 = 200;

/// Runs the exchange of `arrival` to its end.
pub fn run(context: &Context, arrival: Arrival) -> Record {
    let class = context.class(&arrival);
    let ask = Ask::new(&arrival, &context.workload);
    let body = context.target.body(&ask);
    let now = context.clock.now();
    let driver = Driver {
        context,
        deadline: arrival.at + class.patience,
        body,
    };
    let mut exchange = Exchange::new(arrival, class, now);
    loop {
        let request = driver.request(&exchange, &arrival, &class.path);
        match driver.connection(&mut exchange, &request) {
            Step::Reconnect(pause) => thread::sleep(pause),
            Step::Read | Step::Pause(_) => {}
            Step::End => return exchange.close(ask.tag, context.clock.now()),
        }
    }
}

struct Driver<'a> {
    context: &'a Context,
    /// End of the caller's patience.
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
        // The caller's own deadline is kept by the waits below.
        request.with_deadline(self.left() + Duration::from_secs(1))
    }

    /// Time until the caller's patience ends.
    fn left(&self) -> Duration {
        self.deadline.since(self.context.clock.now())
    }

    /// Sends `request` and reads until the exchange needs another connection or is over.
    fn connection(&self, exchange: &mut Exchange, request: &Request) -> Step {
        let stream = match client::start(request).wait(self.left()) {
            Ok(Ok(stream)) => stream,
            Ok(Err(Error::Refused(_) | Error::NotSent(_))) => return exchange.unreachable(),
            Ok(Err(Error::Unknown(_))) => return exchange.interrupted(),
            Err(pending) => {
                pending.close();
                return exchange.expired();
            }
        };
        if stream.status == OK {
            return self.read(exchange, stream);
        }
        let refusal = self.refusal(&stream);
        stream.close();
        exchange.refused(&refusal, self.context.clock.now())
    }

    fn read(&self, exchange: &mut Exchange, stream: Stream) -> Step {
        let mut decoder = sse::Decoder::new(EVENT_LIMIT);
        loop {
            let step = match stream.next(self.left()) {
                Chunk::Data(bytes) => {
                    decoder.feed(&bytes);
                    self.events(exchange, &mut decoder)
                }
                Chunk::End => exchange.ended(),
                Chunk::Failed(_) => exchange.interrupted(),
                Chunk::TimedOut => exchange.expired(),
            };
            if !matches!(step, Step::Read | Step::Pause(_)) {
                stream.close();
                return step;
            }
        }
    }

    /// Hands over all events that are whole.
    fn events(&self, exchange: &mut Exchange, decoder: &mut sse::Decoder) -> Step {
        loop {
            let data = match decoder.next_data() {
                Ok(Some(data)) => data,
                Ok(None) => return Step::Read,
                Err(_too_large) => return exchange.interrupted(),
            };
            match exchange.data(data, self.context.clock.now()) {
                Step::Read => {}
                Step::Pause(pause) => thread::sleep(pause.min(self.left())),
                step => return step,
            }
        }
    }

    fn refusal(&self, stream: &Stream) -> Refusal {
        let mut body = BytesMut::new();
        while body.len() < REFUSAL_LIMIT
            && let Chunk::Data(bytes) = stream.next(self.left())
        {
            body.extend_from_slice(&bytes);
        }
        Refusal {
            status: stream.status,
            media: stream.headers.get("content-type").map(str::to_owned),
            outcome: stream.headers.get(header::OUTCOME).map(str::to_owned),
            body: body.freeze(),
        }
    }
}
