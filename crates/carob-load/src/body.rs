//! Request bodies as the stand-ins take them.
//!
//! A prompt begins with text that all requests of its group share, so that prefix caches have something to find,
//! followed by the request's tag. The answer's length stands in the metadata, where only a stand-in engine reads
//! it.

use bytes::Bytes;
use carob_wire::create::BYTES_PER_TOKEN;
use serde_json::json;

use crate::{Ask, workload::Kind};

/// Text that prompts are filled up with.
const FILLER: &str = "beeswax taper ";
/// What stands before and after the tag within a prompt.
const MARK: char = '#';

/// The body of a request to the stand-ins.
pub fn standin(ask: &Ask) -> Bytes {
    match ask.kind {
        Kind::Generation => generation(ask),
        Kind::Lookup | Kind::Order => plain(ask),
    }
}

/// The [tag](Ask::tag) of the request that has this prompt.
pub fn tag_of(prompt: &str) -> Option<&str> {
    prompt.split(MARK).nth(1)
}

fn generation(ask: &Ask) -> Bytes {
    let length = ask.prompt as usize * BYTES_PER_TOKEN;
    let shared = fill(format!("{} ", ask.group), length / 2);
    let input = fill(format!("{shared}{MARK}{}{MARK} ", ask.tag), length);
    let mut body = json!({
        "input": input,
        "stream": true,
        "prompt_cache_key": ask.group,
        "metadata": { "tokens": ask.output.to_string() },
    });
    if let Some(model) = &ask.model {
        body["model"] = json!(model);
    }
    Bytes::from(body.to_string())
}

fn plain(ask: &Ask) -> Bytes {
    let text = fill(format!("{} ", ask.tag), ask.prompt as usize);
    Bytes::from(json!({ "order": text }).to_string())
}

/// `text` with filler up to about `length` bytes.
fn fill(mut text: String, length: usize) -> String {
    while text.len() + FILLER.len() <= length {
        text.push_str(FILLER);
    }
    text
}
