//! Request bodies as the stand-ins take them.
//!
//! A prompt begins with text that all requests of its group share, so that prefix caches have something to find,
//! followed by the request's tag. The answer's length stands in the metadata, where only a stand-in engine reads
//! it.

use bytes::Bytes;
use carob_wire::create::BYTES_PER_TOKEN;
use serde_json::json;

use crate::{RequestSpec, workload::Kind};

/// Text that prompts are filled up with.
const FILLER: &str = "beeswax taper ";
/// What stands before and after the tag within a prompt.
const MARK: char = '#';

/// The body of a request to the stand-ins.
pub fn standin(spec: &RequestSpec) -> Bytes {
    match spec.kind {
        Kind::Generation => generation(spec),
        Kind::Lookup | Kind::Order => plain(spec),
    }
}

/// The [tag](RequestSpec::tag) of the request that has this prompt.
pub fn tag_of(prompt: &str) -> Option<&str> {
    prompt.split(MARK).nth(1)
}

fn generation(spec: &RequestSpec) -> Bytes {
    let length = spec.prompt as usize * BYTES_PER_TOKEN;
    let shared = fill(format!("{} ", spec.group), length / 2);
    let input = fill(format!("{shared}{MARK}{}{MARK} ", spec.tag), length);
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

fn plain(spec: &RequestSpec) -> Bytes {
    let text = fill(format!("{} ", spec.tag), spec.prompt as usize);
    Bytes::from(json!({ "order": text }).to_string())
}

/// `text` with filler up to about `length` bytes.
fn fill(mut text: String, length: usize) -> String {
    while text.len() + FILLER.len() <= length {
        text.push_str(FILLER);
    }
    text
}
