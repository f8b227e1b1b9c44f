//! Request bodies as the stand-ins take them.

use bytes::Bytes;
use serde_json::json;

use crate::{Ask, workload::Kind};

/// Bytes of text per token of a prompt.
const BYTES_PER_TOKEN: usize = carob_wire::create::BYTES_PER_TOKEN;
/// Text that prompts are filled up with.
const FILLER: &str = "beeswax taper ";

/// The body of a request to the stand-ins.
pub fn standin(ask: &Ask) -> Bytes {
    match ask.kind {
        Kind::Generation => generation(ask),
        Kind::Lookup | Kind::Order => plain(ask),
    }
}

fn generation(ask: &Ask) -> Bytes {
    let input = fill(&ask.tag, ask.prompt as usize * BYTES_PER_TOKEN);
    let mut body = json!({ "input": input, "stream": true, "max_output_tokens": ask.output });
    if let Some(model) = &ask.model {
        body["model"] = json!(model);
    }
    Bytes::from(body.to_string())
}

fn plain(ask: &Ask) -> Bytes {
    let text = fill(&ask.tag, ask.prompt as usize);
    Bytes::from(json!({ "order": text }).to_string())
}

/// `start` with filler up to `length` bytes.
fn fill(start: &str, length: usize) -> String {
    let mut text = format!("{start} ");
    while text.len() < length {
        text.push_str(FILLER);
    }
    text.truncate(length.max(start.len()));
    text
}
