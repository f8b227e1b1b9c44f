//! A minimal client that streams answers and sends orders.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use carob_http::client::{self, Chunk};
use carob_wire::{
    event::{Event, Kind},
    header, sse,
};
use serde_json::Value;

use super::world::CALLER_KEY;
use crate::exit::{Exit, failure};

/// Maximum time between two reads of a stream.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An answer as the client received it.
#[derive(Debug, Default)]
pub struct Answer {
    /// Concatenated deltas.
    pub text: String,
    /// Number of events.
    pub events: u64,
    /// Every sequence number was received once and in order.
    pub in_order: bool,
    /// The event `response.completed` was received.
    pub complete: bool,
}

/// Requests an answer and reads its stream; `on_event` is called after each event with the number of events
/// so far.
pub fn generate(address: SocketAddr, body: &str, mut on_event: impl FnMut(u64)) -> eyre::Result<Answer> {
    let request = client::Request::post(address, "/v1/responses", body.to_owned())
        .with_header("authorization", format!("Bearer {CALLER_KEY}"))
        .with_deadline(Duration::from_mins(2));
    let stream = client::open(&request)?;
    if stream.status != 200 {
        return Err(failure(
            Exit::Refused,
            format!("the answer was refused with status {}", stream.status),
        ));
    }
    let mut decoder = sse::Decoder::new(MAX_EVENT_BYTES);
    let mut answer = Answer {
        in_order: true,
        ..Answer::default()
    };
    loop {
        match stream.next(READ_TIMEOUT) {
            Chunk::Data(data) => decoder.feed(&data),
            Chunk::End => return Ok(answer),
            Chunk::Failed(reason) => {
                return Err(failure(Exit::Refused, format!("the stream broke: {reason}")));
            }
            Chunk::TimedOut => return Err(failure(Exit::Refused, "the stream fell silent")),
        }
        while let Some(data) = decoder.next_data()? {
            answer.record(&Event::parse(data)?);
            on_event(answer.events);
        }
    }
}

impl Answer {
    fn record(&mut self, event: &Event) {
        self.in_order &= event.head.sequence == self.events;
        self.events += 1;
        self.complete |= event.kind() == Kind::Completed;
        if event.kind() == Kind::Delta {
            let value: Value = serde_json::from_slice(&event.data).unwrap_or_default();
            self.text += value["delta"].as_str().unwrap_or_default();
        }
    }
}

/// Sends an order with an idempotency key; returns the status and body of the response.
pub fn order(address: SocketAddr, key: &str) -> eyre::Result<(u16, Bytes)> {
    let request = client::Request::post(address, "/orders", "{\"item\":\"incense\"}")
        .with_header("authorization", format!("Bearer {CALLER_KEY}"))
        .with_header("content-type", "application/json")
        .with_header(header::IDEMPOTENCY_KEY, key);
    let response = client::call(&request)?;
    Ok((response.status, response.body))
}
