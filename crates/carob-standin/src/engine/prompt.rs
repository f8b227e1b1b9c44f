//! Planning of an answer. The answer is a pure function of the engine's seed, the incarnation and the
//! request, so that a test can compute the text that it expects.

use bytes::Bytes;
use carob_wire::create::{self, CreateRequest};
use serde_json::Value;

use super::Options;

/// Vocabulary of the answers.
const WORDS: [&str; 16] = [
    "beeswax", "taper", "altar", "incense", "pillar", "advent", "quote", "pallet", "oven", "syllabus",
    "course", "term", "dough", "branch", "place", "fee",
];

/// Request with the answer that will be generated for it.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub(super) prompt: String,
    pub(super) prompt_tokens: u32,
    pub(super) model: Option<String>,
    pub(super) stream: bool,
    /// Lower values run first.
    pub(super) priority: i64,
    /// Text of the answer, one string for each token. Empty if the request is invalid.
    pub(super) tokens: Vec<String>,
    /// The answer was shortened to the request's token limit.
    pub(super) is_truncated: bool,
}

/// Plans the answer to a request. The answer to a malformed request has no tokens.
pub(super) fn plan(options: &Options, incarnation: u64, body: &[u8]) -> Plan {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let create = CreateRequest::parse(Bytes::copy_from_slice(body)).ok();
    let prompt = create::prompt_text(&value["input"]).into_owned();
    let mut random = splitmix64(options.seed ^ incarnation.rotate_left(32) ^ fnv1a(prompt.as_bytes()));
    let length = requested_length(&value).unwrap_or_else(|| {
        let (min, max) = options.output_tokens;
        min + (random % u64::from(max.saturating_sub(min) + 1)) as u32
    });
    let limit = create
        .as_ref()
        .and_then(|create| create.max_tokens)
        .unwrap_or(u32::MAX);
    let tokens = (0..length.min(limit)).map(|index| {
        random = splitmix64(random);
        format!("{}{index} ", WORDS[(random % WORDS.len() as u64) as usize])
    });
    Plan {
        tokens: if create.is_some() {
            tokens.collect()
        } else {
            Vec::new()
        },
        prompt_tokens: create.as_ref().map_or(0, |create| create.prompt_tokens),
        stream: create.as_ref().is_some_and(|create| create.stream),
        model: create.and_then(|create| create.model),
        priority: value["priority"].as_i64().unwrap_or_default(),
        is_truncated: length > limit,
        prompt,
    }
}

/// Returns the length in the request's metadata, which may be a string or a number.
fn requested_length(value: &Value) -> Option<u32> {
    let tokens = &value["metadata"]["tokens"];
    match tokens.as_str() {
        Some(text) => text.parse().ok(),
        None => tokens.as_u64().map(|tokens| tokens as u32),
    }
}

/// 64-bit FNV-1a hash.
pub(super) fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// One step of the `SplitMix64` generator.
pub(super) const fn splitmix64(seed: u64) -> u64 {
    let z = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
