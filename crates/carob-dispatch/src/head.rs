//! Request metadata taken from the headers.

use std::time::Duration;

use bytes::Bytes;
use smallvec::SmallVec;

/// Maximum number of parts in [`Head::parts`] and [`Head::prefix`]; further ones are not looked at.
pub const MAX_PARTS: usize = 32;

carob_base::plain! {
    /// Token counts that a caller declares for a generation.
    pub struct Usage {
        /// Length of the prompt.
        pub prompt_tokens: u32,
        /// Maximum number of tokens to generate.
        pub max_output: u32,
        /// The caller's estimate of the generated tokens: right at the median, but often far off for a single
        /// request.
        pub length_hint: Option<u32>,
    }
}

carob_base::plain! {
    /// A part of a prompt that requests may share, as an engine may have it cached.
    pub struct PromptPart {
        /// Hash of the part's id. With 32 bits, one in ten million searches among 400 parts finds another part; it is sent
        /// to all other instances, so that its length counts.
        pub id: u32,
        /// Number of its tokens, as the client says.
        pub tokens: u32,
    }
}

carob_base::plain! {
    /// What a client says of the events that it has of a stream.
    pub enum LastEvent {
        /// Nothing: it wants the whole stream.
        Absent,
        /// It has all events up to the one with this id.
        Id(u64),
        /// Something that is no single id.
        Malformed,
    }
}

carob_base::value! {
    /// The header values that decide how a request is handled.
    pub struct Head {
        /// Request id, unique for each attempt of a client; empty if the request has none.
        pub id: Bytes,
        /// How long the client waits for the answer, counted from the arrival of the request; `None` if the
        /// client gave no deadline.
        pub client_timeout: Option<Duration>,
        /// Token counts; `None` for requests that generate nothing.
        pub usage: Option<Usage>,
        /// API key of the client account, as sent.
        pub key: Option<Box<str>>,
        /// Hashes of the prompt's parts in their order, each once. The last part is left out: it belongs to the
        /// request or its session alone.
        pub parts: SmallVec<[u64; 4]>,
        /// The prompt's parts with their tokens, in their order, other than the last; ends before the first entry without
        /// an id or a number of tokens.
        pub prefix: SmallVec<[PromptPart; 4]>,
        /// Hash of the ids of all parts of the prompt, the last one included; zero if the request has none.
        pub prompt: u64,
        /// Events that the client has from an earlier attempt.
        pub last_event: LastEvent,
    }
}
