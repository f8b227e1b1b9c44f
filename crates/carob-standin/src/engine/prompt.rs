//! What an engine generates for a request: a pure function of seed, incarnation and prompt.

use bytes::Bytes;
use carob_wire::create::{self, CreateRequest};
use serde_json::Value;

use super::Options;

const WORDS: [&str; 16] = [
    "beeswax", "taper", "altar", "incense", "pillar", "advent", "quote", "pallet", "oven", "syllabus",
    "course", "term", "dough", "branch", "place", "fee",
];

/// What will be generated.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub(super) prompt: String,
    pub(super) prompt_tokens: u32,
    pub(super) model: Option<String>,
    pub(super) stream: bool,
    /// Lower runs first.
    pub(super) priority: i64,
    /// One token each.
    pub(super) words: Vec<String>,
    /// Whether the words end before the answer because of the request's limit.
    pub(super) cut: bool,
}

/// Plans the answer to a request, of which a malformed one has no words.
pub(super) fn plan(options: &Options, incarnation: u64, body: &[u8]) -> Plan {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let create = CreateRequest::parse(Bytes::copy_from_slice(body)).ok();
    let prompt = create::prompt_text(&value["input"]).into_owned();
    let mut random = mix(options.seed ^ incarnation.rotate_left(32) ^ hash(prompt.as_bytes()));
    let natural = asked(&value).unwrap_or_else(|| {
        let (least, most) = options.output_tokens;
        least + (random % u64::from(most.saturating_sub(least) + 1)) as u32
    });
    let limit = create
        .as_ref()
        .and_then(|create| create.max_tokens)
        .unwrap_or(u32::MAX);
    let words = (0..natural.min(limit)).map(|at| {
        random = mix(random);
        format!("{}{at} ", WORDS[(random % WORDS.len() as u64) as usize])
    });
    Plan {
        words: if create.is_some() {
            words.collect()
        } else {
            Vec::new()
        },
        prompt_tokens: create.as_ref().map_or(0, |create| create.prompt_tokens),
        stream: create.as_ref().is_some_and(|create| create.stream),
        model: create.and_then(|create| create.model),
        priority: value["priority"].as_i64().unwrap_or_default(),
        cut: natural > limit,
        prompt,
    }
}

/// The length that the request asks for in its metadata, as text or as a number.
fn asked(value: &Value) -> Option<u32> {
    let tokens = &value["metadata"]["tokens"];
    match tokens.as_str() {
        Some(text) => text.parse().ok(),
        None => tokens.as_u64().map(|tokens| tokens as u32),
    }
}

/// FNV-1a.
pub(super) fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// One step of the `SplitMix64` generator.
pub(super) const fn mix(seed: u64) -> u64 {
    let z = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
