//! One event of a generation's stream, in the shape of the OpenAI Responses API.
//!
//! An event's JSON is passed on as it came. Only the few fields that delivery needs are read, by a hand-written
//! visitor that skips the others, because one event goes through here for every generated token.

use std::fmt;

use bytes::Bytes;
use serde::{
    Deserialize, Deserializer,
    de::{IgnoredAny, MapAccess, Visitor},
};
use serde_json::{Value, json};

/// Type of the first event, which carries the answer's id.
pub const CREATED: &str = "response.created";
/// Type of an event with one piece of text.
pub const DELTA: &str = "response.output_text.delta";
/// Type of the event that ends a whole answer.
pub const COMPLETED: &str = "response.completed";
/// Type of the event that ends an answer at its token limit.
pub const INCOMPLETE: &str = "response.incomplete";
/// Type of the event that ends a failed answer.
pub const FAILED: &str = "response.failed";

carob_base::plain! {
    /// What an event means for delivery.
    pub enum Kind {
        /// First event; carries the engine's id of the answer.
        Created,
        /// One piece of text.
        Delta,
        /// Any event that is passed on unread.
        Other,
        /// The answer is whole.
        Completed,
        /// The answer ends at its token limit.
        Incomplete,
        /// The engine gives up on the answer.
        Failed,
    }
}

carob_base::value! {
    /// The fields of an event that delivery needs.
    #[derive(Default)]
    pub struct Head {
        /// The event's type, such as `response.created`.
        pub kind: String,
        /// Position in the answer's stream, counted from 0.
        pub sequence: u64,
        /// The output item that a delta belongs to; the same throughout one generation.
        pub item_id: Option<String>,
        /// The engine's id of the answer, in events that carry the response object.
        pub answer_id: Option<String>,
        /// Tokens generated in all, in the last event.
        pub output_tokens: Option<u32>,
    }

    /// An event with its unread JSON.
    pub struct Event {
        /// The fields that delivery needs.
        pub head: Head,
        /// The whole JSON as it came.
        pub data: Bytes,
    }
}

/// The data is no event of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not an event: {reason}")]
pub struct Error {
    /// What the parser expected.
    pub reason: String,
}

impl Event {
    /// Reads the fields that delivery needs from an event's JSON.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the data is no JSON object with a type and a sequence number.
    pub fn parse(data: Bytes) -> Result<Self, Error> {
        let head = serde_json::from_slice(&data).map_err(|error| Error {
            reason: error.to_string(),
        })?;
        Ok(Self { head, data })
    }

    /// What the event means for delivery.
    pub fn kind(&self) -> Kind {
        match self.head.kind.as_str() {
            CREATED => Kind::Created,
            DELTA => Kind::Delta,
            COMPLETED => Kind::Completed,
            INCOMPLETE => Kind::Incomplete,
            FAILED => Kind::Failed,
            _ => Kind::Other,
        }
    }

    /// The event's JSON with `response.id` replaced by the id that callers use.
    ///
    /// Events without a response object come back as they are.
    pub fn data_for_caller(&self, answer: &str) -> Bytes {
        if self.head.answer_id.is_none() {
            return self.data.clone();
        }
        let Ok(mut value) = serde_json::from_slice::<Value>(&self.data) else {
            return self.data.clone();
        };
        value["response"]["id"] = Value::from(answer);
        Bytes::from(value.to_string())
    }

    /// The failure event that ends an answer whose rest is lost.
    pub fn failure(sequence: u64, answer: &str, problem: &crate::Problem) -> Self {
        let value = json!({
            "type": FAILED,
            "sequence_number": sequence,
            "response": {
                "id": answer,
                "status": "failed",
                "error": { "code": problem.code, "message": problem.detail, "outcome": problem.outcome },
            },
        });
        let head = Head {
            kind: FAILED.to_owned(),
            sequence,
            answer_id: Some(answer.to_owned()),
            ..Head::default()
        };
        Self {
            head,
            data: Bytes::from(value.to_string()),
        }
    }
}

impl Kind {
    /// Whether the event ends the stream.
    pub const fn is_last(self) -> bool {
        matches!(self, Self::Completed | Self::Incomplete | Self::Failed)
    }
}

impl<'de> Deserialize<'de> for Head {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(HeadVisitor)
    }
}

struct HeadVisitor;

impl<'de> Visitor<'de> for HeadVisitor {
    type Value = Head;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an event with `type` and `sequence_number`")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Head, A::Error> {
        let mut head = Head::default();
        let mut sequence = None;
        while let Some(key) = map.next_key::<std::borrow::Cow<'de, str>>()? {
            match key.as_ref() {
                "type" => head.kind = map.next_value()?,
                "sequence_number" => sequence = Some(map.next_value()?),
                "item_id" => head.item_id = map.next_value()?,
                "response" => {
                    let body = map.next_value::<Body>()?;
                    head.answer_id = body.id;
                    head.output_tokens = body.usage.and_then(|usage| usage.output_tokens);
                }
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        if head.kind.is_empty() {
            return Err(serde::de::Error::missing_field("type"));
        }
        head.sequence = sequence.ok_or_else(|| serde::de::Error::missing_field("sequence_number"))?;
        Ok(head)
    }
}

#[derive(Deserialize)]
struct Body {
    id: Option<String>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    output_tokens: Option<u32>,
}
