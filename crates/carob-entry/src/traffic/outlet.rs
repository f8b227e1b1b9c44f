//! Where a delivery's events go: to the caller as a stream, or into one whole answer.

use bytes::Bytes;
use carob_http::{
    Headers,
    listen::{Exchange, SendError, Writer},
};
use carob_wire::{
    Problem,
    event::{Event, Kind},
    header, sse,
};
use serde_json::Value;

/// Where a delivery's events go.
#[derive(Debug)]
pub enum ResponseWriter {
    /// Nothing has been sent, and the caller wants a stream.
    Pending(Exchange),
    /// Events are being sent.
    Streaming(Writer),
    /// The caller wants the whole answer in one body.
    Buffered(Exchange, Option<Event>),
}

impl ResponseWriter {
    /// An outlet for a caller that wants a stream, or one whole body.
    pub const fn new(exchange: Exchange, stream: bool) -> Self {
        if stream {
            Self::Pending(exchange)
        } else {
            Self::Buffered(exchange, None)
        }
    }

    /// Whether the caller has closed its connection.
    pub fn is_gone(&self) -> bool {
        match self {
            Self::Pending(exchange) | Self::Buffered(exchange, _) => exchange.is_gone(),
            Self::Streaming(writer) => writer.is_gone(),
        }
    }

    /// Sends one event; `answer` is the id that the caller uses.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`] if the caller has gone or reads too slowly; its connection is closed then.
    pub fn send(self, event: Event, answer: &str, request: u64) -> Result<Self, SendError> {
        match self {
            Self::Pending(exchange) => {
                let writer = exchange.stream(200, &stream_headers(request));
                Self::Streaming(writer).send(event, answer, request)
            }
            Self::Streaming(mut writer) => {
                let data = event.data_for_caller(answer);
                writer.send(sse::encode(&event.head.kind, &data))?;
                Ok(Self::Streaming(writer))
            }
            Self::Buffered(exchange, last) => {
                let last = if event.kind().is_last() { Some(event) } else { last };
                Ok(Self::Buffered(exchange, last))
            }
        }
    }

    /// Keeps a silent stream's connection alive.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`] if the caller has gone or reads too slowly.
    pub fn keep_alive(&mut self) -> Result<(), SendError> {
        match self {
            Self::Streaming(writer) => writer.send(Bytes::from_static(sse::KEEP_ALIVE)),
            Self::Pending(_) | Self::Buffered(..) => Ok(()),
        }
    }

    /// Every event has been sent.
    pub fn close(self, answer: &str, request: u64) {
        match self {
            Self::Streaming(writer) => writer.close(),
            Self::Pending(exchange) => exchange.stream(200, &stream_headers(request)).close(),
            Self::Buffered(exchange, last) => respond_buffered(exchange, last, answer, request),
        }
    }

    /// Tells the caller that the answer has failed: by a refusal if nothing has been sent, otherwise by a last
    /// event with sequence number `sequence`.
    pub fn fail(self, problem: &Problem, sequence: u64, answer: &str) {
        match self {
            Self::Pending(exchange) | Self::Buffered(exchange, _) => super::admit::refuse(exchange, problem),
            Self::Streaming(mut writer) => {
                let event = Event::failure(sequence, answer, problem);
                let sent = writer.send(sse::encode(&event.head.kind, &event.data));
                match sent {
                    Ok(()) => writer.close(),
                    // Dropping the writer aborts the connection, which no caller takes for a whole answer.
                    Err(error) => log::debug!("stream: the failure did not reach the caller: {error}"),
                }
            }
        }
    }
}

fn stream_headers(request: u64) -> Headers {
    Headers::new()
        .with("content-type", "text/event-stream")
        .with("cache-control", "no-store")
        .with(header::REQUEST, request.to_string())
}

/// The response object of the last event, as the Responses API sends it when nothing is streamed.
fn respond_buffered(exchange: Exchange, last: Option<Event>, answer: &str, request: u64) {
    let headers = Headers::new()
        .with("content-type", "application/json")
        .with(header::REQUEST, request.to_string());
    let Some(event) = last else {
        return exchange.respond(502, &headers, Bytes::new());
    };
    let status = if event.kind() == Kind::Failed { 502 } else { 200 };
    let data = event.data_for_caller(answer);
    let body = serde_json::from_slice::<Value>(&data)
        .ok()
        .and_then(|mut value| value.get_mut("response").map(Value::take))
        .map_or(data, |body| Bytes::from(body.to_string()));
    exchange.respond(status, &headers, body);
}
