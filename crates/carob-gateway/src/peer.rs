//! Messages between instances.
//!
//! Each instance tells the others in datagrams what it runs and how much of the store's content it knows. One that
//! the store turns away asks another for what is missing, over a connection, in length-delimited frames.

use carob_dispatch::fleet::PeerLoad;
use carob_platform::store::Item as Change;
use prost::Message;

/// The largest frame: a configuration of the largest value that the store keeps, and the directory.
pub(crate) const FRAME: usize = 4 << 20;

/// What an instance tells all others.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Announce {
    /// Random number of the sender's process.
    #[prost(fixed64, tag = "1")]
    pub life: u64,
    /// Number of the message in that process.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Revision up to which it knows the store's content.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Revision after which `news` holds every change up to `revision`; zero if there is no news.
    #[prost(uint64, tag = "4")]
    pub before: u64,
    /// Whether it watches the store itself, and the store answers.
    #[prost(bool, tag = "5")]
    pub watching: bool,
    /// Whether the loads are all that it runs, and not only what changed.
    #[prost(bool, tag = "6")]
    pub whole: bool,
    /// Its requests by upstream.
    #[prost(message, repeated, tag = "7")]
    pub loads: Vec<Load>,
    /// Small changes of the store's content.
    #[prost(message, repeated, tag = "8")]
    pub news: Vec<Item>,
}

/// Requests at one upstream.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct Load {
    /// Mark of the upstream.
    #[prost(fixed64, tag = "1")]
    pub mark: u64,
    /// Requests.
    #[prost(uint32, tag = "2")]
    pub runs: u32,
    /// Tokens that they are expected to hold.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// Tokens of their prompts that are not read yet.
    #[prost(uint64, tag = "4")]
    pub unread: u64,
}

/// Asks an instance for what it knows of the store's content.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct Ask {
    /// Only items that changed after this revision.
    #[prost(uint64, tag = "1")]
    pub after: u64,
}

/// What an instance knows of the store's content.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct Content {
    /// Revision up to which it knows every change.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Items that changed after the revision that was asked about.
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<Item>,
    /// All keys that are there.
    #[prost(string, repeated, tag = "3")]
    pub keys: Vec<String>,
}

/// An item of the store.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct Item {
    /// Key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Revision of its last change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Value; absent if the key was removed.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub value: Option<bytes::Bytes>,
}

impl From<Change> for Item {
    fn from(change: Change) -> Self {
        Self {
            key: change.key,
            revision: change.revision,
            value: change.value,
        }
    }
}

impl From<Item> for Change {
    fn from(item: Item) -> Self {
        Self {
            key: item.key,
            revision: item.revision,
            value: item.value,
        }
    }
}

impl From<PeerLoad> for Load {
    fn from(load: PeerLoad) -> Self {
        Self {
            mark: load.upstream_hash,
            runs: load.requests,
            tokens: load.tokens,
            unread: load.prefill,
        }
    }
}

impl From<Load> for PeerLoad {
    fn from(load: Load) -> Self {
        Self {
            upstream_hash: load.mark,
            requests: load.runs,
            tokens: load.tokens,
            prefill: load.unread,
        }
    }
}
