//! What a request says of itself.

use std::time::Duration;

use bytes::Bytes;

carob_base::plain! {
    /// Sizes of a generation, in tokens.
    pub struct Usage {
        /// Tokens of the prompt.
        pub prompt_tokens: u32,
        /// The most tokens that it may generate.
        pub max_output: u32,
        /// The caller's estimate of generated tokens; right at the median, often far off.
        pub length_hint: Option<u32>,
    }
}

carob_base::value! {
    /// The parts of a request's head that decide how it is handled.
    pub struct Head {
        /// The request's id, unique for each attempt of a client; empty if it has none.
        pub id: Bytes,
        /// How long the client waits, from the arrival of the request.
        pub client_timeout: Option<Duration>,
        /// Sizes, for generations.
        pub usage: Option<Usage>,
        /// The client account's key, as sent.
        pub key: Option<Box<str>>,
        /// Hash of the prompt's first part, which many requests share; zero if there is none.
        pub prefix_hash: u64,
    }
}
