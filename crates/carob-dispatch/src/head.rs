//! Request metadata taken from the headers.

use std::time::Duration;

use bytes::Bytes;

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
        /// Hash of the prompt's first part, which many requests have in common; zero if there is none.
        pub prefix_hash: u64,
    }
}
