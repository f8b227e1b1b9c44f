//! Events of an answer's stream, in the format of the OpenAI Responses API.
//!
//! The JSON of an event is passed on unchanged. Only the few fields that delivery needs are parsed, by a
//! hand-written visitor that skips all others, because there is an event for every generated token.

use std::fmt;

use bytes::Bytes;
use serde::{
    Deserialize, Deserializer,
    de::{IgnoredAny, MapAccess, Visitor},
};
use serde_json::{Value, json};

/// Type of the first event, which contains the answer's id.
pub const CREATED: &str = "response.created";
/// Type of an event with a piece of text.
pub const DELTA: &str = "response.output_text.delta";
/// Type of the last event of a complete answer.
pub const COMPLETED: &str = "response.completed";
/// Type of the last event of an answer that reached its token limit.
pub const INCOMPLETE: &str = "response.incomplete";
/// Type of the last event of an answer that failed.
pub const FAILED: &str = "response.failed";

carob_base::plain! {
    /// What an event means for delivery.
    pub enum Kind {
        /// First event, which contains the engine's id of the answer.
        Created,
        /// A piece of text.
        Delta,
        /// Any other event; it is only passed on.
        Other,
        /// Last event of a complete answer.
        Completed,
        /// Last event of an answer that reached its token limit.
        Incomplete,
        /// Last event of an answer that the engine failed to generate.
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
        /// The id of the answer, in events with a response object. It is the engine's id until it is replaced
        /// for the caller.
        pub answer_id: Option<String>,
        /// Total number of generated tokens, in the last event.
        pub output_tokens: Option<u32>,
    }

    /// An event and its JSON.
    pub struct Event {
        /// The fields that delivery needs.
        pub head: Head,
        /// The complete JSON, as received.
        pub data: Bytes,
    }
}

/// Why data is not accepted as an event.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not an event: {reason}")]
pub struct Error {
    /// The parser's message.
    pub reason: String,
}

impl Event {
    /// Parses the fields of an event's JSON that delivery needs.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the data is not a JSON object with a type and a sequence number.
    pub fn parse(data: Bytes) -> Result<Self, Error> {
        let head = serde_json::from_slice(&data).map_err(|error| Error {
            reason: error.to_string(),
        })?;
        Ok(Self { head, data })
    }

    /// The kind of the event, from its type.
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

    /// The event's JSON, with `answer` as `response.id` in place of the engine's id.
    ///
    /// Events without a response object are returned unchanged.
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

    /// Creates the last event of an answer that cannot be completed.
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
                    let response = map.next_value::<ResponseObject>()?;
                    head.answer_id = response.id;
                    head.output_tokens = response.usage.and_then(|usage| usage.output_tokens);
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

/// The response object of an event.
#[derive(Deserialize)]
struct ResponseObject {
    id: Option<String>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    output_tokens: Option<u32>,
}
