//! The body of a request for a generation.

use std::borrow::Cow;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;
use smallvec::SmallVec;

use crate::prefix;

/// Bytes of text that make about one token, for prompts that no tokenizer has counted.
pub const BYTES_PER_TOKEN: usize = 4;

/// The fields of a request for a generation that routing needs, with the whole body.
#[derive(Clone, Debug, PartialEq)]
pub struct CreateRequest {
    /// The model that the caller asks for; the route decides if it is missing.
    pub model: Option<String>,
    /// Whether the caller wants the answer as a stream of events.
    pub stream: bool,
    /// Most tokens that the caller accepts.
    pub max_tokens: Option<u32>,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's prefixes, longest last.
    pub prefix_hashes: SmallVec<[u64; 4]>,
    /// The whole body as it came.
    pub body: Bytes,
}

/// The body is no request for a generation.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The body is not UTF-8 JSON of the expected shape.
    #[error("the body is no valid request: {0}")]
    Json(String),
    /// The prompt is missing.
    #[error("`input` is missing; expected text or a list of items")]
    NoInput,
}

#[derive(Deserialize)]
struct Fields {
    model: Option<String>,
    input: Option<Value>,
    instructions: Option<String>,
    #[serde(default)]
    stream: bool,
    max_output_tokens: Option<u32>,
}

impl CreateRequest {
    /// Reads the fields that routing needs.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the body is not JSON of the expected shape or has no prompt.
    pub fn parse(body: Bytes) -> Result<Self, Error> {
        let fields: Fields = serde_json::from_slice(&body).map_err(|error| Error::Json(error.to_string()))?;
        let input = fields
            .input
            .filter(|input| input.is_string() || input.is_array())
            .ok_or(Error::NoInput)?;
        let bytes = text_bytes(&input) + fields.instructions.map_or(0, |text| text.len());
        Ok(Self {
            model: fields.model,
            stream: fields.stream,
            max_tokens: fields.max_output_tokens,
            prefix_hashes: prefix::prefix_hashes(&prompt_text(&input)),
            prompt_tokens: bytes.div_ceil(BYTES_PER_TOKEN).max(1) as u32,
            body,
        })
    }

    /// The body for the engine: streamed, with the engine's `priority` (lower runs first).
    pub fn body_for_engine(&self, priority: i32) -> Bytes {
        let Ok(Value::Object(mut fields)) = serde_json::from_slice::<Value>(&self.body) else {
            return self.body.clone();
        };
        fields.insert("stream".to_owned(), Value::Bool(true));
        fields.insert("priority".to_owned(), Value::from(priority));
        Bytes::from(Value::Object(fields).to_string())
    }
}

/// The prompt as engines read it: the text itself, or the list of items as JSON.
pub fn prompt_text(input: &Value) -> Cow<'_, str> {
    match input {
        Value::String(text) => Cow::Borrowed(text),
        items => Cow::Owned(items.to_string()),
    }
}

/// Bytes of all text within `value`.
fn text_bytes(value: &Value) -> usize {
    match value {
        Value::String(text) => text.len(),
        Value::Array(items) => items.iter().map(text_bytes).sum(),
        Value::Object(fields) => fields.values().map(text_bytes).sum(),
        _ => 0,
    }
}
