//! A small caller.

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

/// Longest silence that the caller accepts.
const SILENCE: Duration = Duration::from_secs(10);
/// Largest event that the caller accepts, in bytes.
const EVENT_LIMIT: usize = 1 << 20;

/// An answer as the caller got it.
#[derive(Debug, Default)]
pub struct Answer {
    /// The text.
    pub text: String,
    /// Number of events.
    pub events: u64,
    /// Whether every sequence number came once and in order.
    pub ordered: bool,
    /// Whether the answer's end came.
    pub whole: bool,
}

/// Streams an answer; `seen` is called after each event with the number of events so far.
pub fn generate(address: SocketAddr, body: &str, mut seen: impl FnMut(u64)) -> eyre::Result<Answer> {
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
    let mut decoder = sse::Decoder::new(EVENT_LIMIT);
    let mut answer = Answer {
        ordered: true,
        ..Answer::default()
    };
    loop {
        match stream.next(SILENCE) {
            Chunk::Data(data) => decoder.feed(&data),
            Chunk::End => return Ok(answer),
            Chunk::Failed(reason) => {
                return Err(failure(Exit::Refused, format!("the stream broke: {reason}")));
            }
            Chunk::TimedOut => return Err(failure(Exit::Refused, "the stream fell silent")),
        }
        while let Some(data) = decoder.next_data()? {
            answer.take(&Event::parse(data)?);
            seen(answer.events);
        }
    }
}

impl Answer {
    fn take(&mut self, event: &Event) {
        self.ordered &= event.head.sequence == self.events;
        self.events += 1;
        self.whole |= event.kind() == Kind::Completed;
        if event.kind() == Kind::Delta {
            let value: Value = serde_json::from_slice(&event.data).unwrap_or_default();
            self.text += value["delta"].as_str().unwrap_or_default();
        }
    }
}

/// Sends an order with an idempotency key.
pub fn order(address: SocketAddr, key: &str) -> eyre::Result<(u16, Bytes)> {
    let request = client::Request::post(address, "/orders", "{\"item\":\"incense\"}")
        .with_header("authorization", format!("Bearer {CALLER_KEY}"))
        .with_header("content-type", "application/json")
        .with_header(header::IDEMPOTENCY_KEY, key);
    let response = client::call(&request)?;
    Ok((response.status, response.body))
}
