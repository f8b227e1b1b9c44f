//! Request bodies in the stand-ins' format.
//!
//! A prompt begins with text that all requests of its group share, so that prefix caches get hits, followed
//! by the request's tag, by which the request is found in the upstreams' records. The answer's length is in
//! the metadata, which only a stand-in engine reads.

use bytes::Bytes;
use carob_wire::create::BYTES_PER_TOKEN;
use serde_json::json;

use crate::{RequestSpec, workload::Kind};

/// Arbitrary text that pads prompts to their length.
const FILLER: &str = "beeswax taper ";
/// Delimiter before and after the tag within a prompt.
const TAG_DELIMITER: char = '#';

/// Builds the body of a request to the stand-ins.
pub fn standin(spec: &RequestSpec) -> Bytes {
    match spec.kind {
        Kind::Generation => generation(spec),
        Kind::Lookup | Kind::Order => plain_request(spec),
    }
}

/// Extracts the [tag](RequestSpec::tag) from a prompt; `None` if the prompt has none.
pub fn tag_of(prompt: &str) -> Option<&str> {
    prompt.split(TAG_DELIMITER).nth(1)
}

fn generation(spec: &RequestSpec) -> Bytes {
    let length = spec.prompt as usize * BYTES_PER_TOKEN;
    let shared = pad(format!("{} ", spec.group), length / 2);
    let input = pad(
        format!("{shared}{TAG_DELIMITER}{}{TAG_DELIMITER} ", spec.tag),
        length,
    );
    let mut body = json!({
        "input": input,
        "stream": true,
        "prompt_cache_key": spec.group,
        "metadata": { "tokens": spec.output.to_string() },
    });
    if let Some(model) = &spec.model {
        body["model"] = json!(model);
    }
    Bytes::from(body.to_string())
}

/// Body of a request that does not generate: a lookup or an order, padded to about `spec.prompt` bytes.
fn plain_request(spec: &RequestSpec) -> Bytes {
    let text = pad(format!("{} ", spec.tag), spec.prompt as usize);
    Bytes::from(json!({ "order": text }).to_string())
}

/// Appends filler to `text` while the result does not exceed `length` bytes.
fn pad(mut text: String, length: usize) -> String {
    while text.len() + FILLER.len() <= length {
        text.push_str(FILLER);
    }
    text
}
