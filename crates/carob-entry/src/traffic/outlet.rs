//! Writing of a delivery's events to the caller, as a stream or as one complete response.

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

/// The response to the caller.
#[derive(Debug)]
pub enum ResponseWriter {
    /// The caller asked for a stream, and nothing has been sent yet.
    Pending(Exchange),
    /// Events are sent as they arrive.
    Streaming(Writer),
    /// The caller asked for the complete answer in one body; the last event is kept until then.
    Buffered(Exchange, Option<Event>),
}

impl ResponseWriter {
    /// A response to `exchange`: a stream if `stream`, otherwise one body.
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
            Self::Pending(exchange) | Self::Buffered(exchange, _) => exchange.is_disconnected(),
            Self::Streaming(writer) => writer.is_disconnected(),
        }
    }

    /// Sends one event; `answer` is the answer's id for the caller.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`] if the caller has gone or reads too slowly; its connection is then closed.
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

    /// Sends a comment that keeps the connection of a stream without events alive.
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

    /// Ends the response after the last event.
    pub fn close(self, answer: &str, request: u64) {
        match self {
            Self::Streaming(writer) => writer.close(),
            Self::Pending(exchange) => exchange.stream(200, &stream_headers(request)).close(),
            Self::Buffered(exchange, last) => respond_buffered(exchange, last, answer, request),
        }
    }

    /// Reports to the caller that the answer has failed: by a problem response if nothing has been sent,
    /// otherwise by a last event with sequence number `sequence`.
    pub fn fail(self, problem: &Problem, sequence: u64, answer: &str) {
        match self {
            Self::Pending(exchange) | Self::Buffered(exchange, _) => super::admit::refuse(exchange, problem),
            Self::Streaming(mut writer) => {
                let event = Event::failure(sequence, answer, problem);
                let sent = writer.send(sse::encode(&event.head.kind, &event.data));
                match sent {
                    Ok(()) => writer.close(),
                    // Dropping the writer aborts the connection, so that the answer does not look complete.
                    Err(error) => log::debug!("stream: the failure was not sent to the caller: {error}"),
                }
            }
        }
    }
}

fn stream_headers(request: u64) -> Headers {
    Headers::new()
        .with("content-type", "text/event-stream")
        .with("cache-control", "no-store")
        .with(header::REQUEST_ID, request.to_string())
}

/// Responds with the response object of the last event, which is what the Responses API returns without
/// streaming.
fn respond_buffered(exchange: Exchange, last: Option<Event>, answer: &str, request: u64) {
    let headers = Headers::new()
        .with("content-type", "application/json")
        .with(header::REQUEST_ID, request.to_string());
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
