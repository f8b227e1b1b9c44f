//! Messages between instances.
//!
//! Each instance reports to the others in UDP datagrams which requests it runs and up to which revision it
//! knows the store's content. An instance that cannot get missing changes from the store requests them from a
//! peer over TCP, in length-delimited frames.

mod cold;

use std::time::Duration;

use carob_dispatch::{
    crashes::{CrashReport, MAX_SUSPECTS, Part, SoundReport, Suspect, TrialReport, WHOLE_REQUEST},
    fleet::{self, PeerLoad, PrefixReport, urgency::QueuedLoad},
    limits::{Origin, Report as LimitReport},
};
use carob_platform::store::Item as StoreItem;
use prost::Message;

pub(crate) use cold::{Cold, ColdPermits, ColdWant};

use crate::relaying::RelayRequest;

/// Maximum length of a frame in bytes: enough for a configuration of the store's maximum value size and the
/// whole directory.
pub(crate) const MAX_FRAME_LENGTH: usize = 4 << 20;

/// Datagram that an instance sends to all others.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Announcement {
    /// Random number drawn at the start of the sender's process.
    #[prost(fixed64, tag = "1")]
    pub boot_id: u64,
    /// Sequence number of the message within that process.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Revision up to which the sender knows the store's content.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Revision after which `updates` begins: it holds every change from there up to `revision`. Zero if
    /// `updates` is empty.
    #[prost(uint64, tag = "4")]
    pub base: u64,
    /// Whether the sender watches the store itself, and the store answers.
    #[prost(bool, tag = "5")]
    pub watching: bool,
    /// Whether `loads` holds everything that the sender runs, not only what changed since its previous
    /// message.
    #[prost(bool, tag = "6")]
    pub complete: bool,
    /// Requests of the sender by upstream; absolute figures, not differences.
    #[prost(message, repeated, tag = "7")]
    pub loads: Vec<Load>,
    /// Small changes of the store's content; larger ones are requested over TCP.
    #[prost(message, repeated, tag = "8")]
    pub updates: Vec<Item>,
    /// Upstreams that crashed under requests.
    #[prost(message, repeated, tag = "9")]
    pub crashes: Vec<Crash>,
    /// Latest sound answers under parts that are suspected.
    #[prost(message, repeated, tag = "10")]
    pub sound: Vec<Sound>,
    /// Latest trials of parts that are refused.
    #[prost(message, repeated, tag = "11")]
    pub trials: Vec<Trial>,
    /// Limits that upstreams name.
    #[prost(message, repeated, tag = "12")]
    pub limits: Vec<Limit>,
    /// Permits that the sender wants. A message with these or `permits` holds nothing else.
    #[prost(message, repeated, tag = "13")]
    pub wants: Vec<Want>,
    /// Permits that the sender issues to the receiver.
    #[prost(message, repeated, tag = "14")]
    pub permits: Vec<Permits>,
    /// Stable hashes of upstreams that have said themselves that they leave.
    #[prost(fixed64, repeated, tag = "15")]
    pub leaving: Vec<u64>,
    /// Whether the sender relays connections to upstreams; absent if the message does not say.
    #[prost(message, optional, tag = "16")]
    pub relays: Option<RelayOffer>,
    /// Upstreams that have asked the receiver for a pause, in answers that it has relayed to the sender.
    #[prost(message, repeated, tag = "17")]
    pub pauses: Vec<Pause>,
    /// Upstreams that say that they are brittle; their rates are rejections in a second that they endure.
    #[prost(message, repeated, tag = "18")]
    pub brittle: Vec<Limit>,
    /// Places that the sender holds and wants. A message with these or `grants` holds nothing else.
    #[prost(message, repeated, tag = "19")]
    pub claims: Vec<Claim>,
    /// Places that the receiver gets.
    #[prost(message, repeated, tag = "20")]
    pub grants: Vec<Grant>,
    /// Era of `revision` and `base`; absent in messages of builds that know no eras.
    #[prost(uint64, optional, tag = "21")]
    pub era: Option<u64>,
    /// Like `updates`, of which some are differences; then `updates` is empty, so that an instance of an earlier build
    /// fetches the changes itself.
    #[prost(message, repeated, tag = "22")]
    pub changes: Vec<Item>,
    /// Revision after which `changes` begins; zero if that is empty.
    #[prost(uint64, tag = "23")]
    pub changes_base: u64,
    /// Upstreams that are cold.
    #[prost(message, repeated, tag = "24")]
    pub cold: Vec<Cold>,
    /// How fast upstreams work, as the sender's own requests have shown.
    #[prost(message, repeated, tag = "25")]
    pub paces: Vec<Pace>,
    /// What the sender has in its queue; absent in messages of builds that do not tell, and if no service has requests with
    /// different priorities.
    #[prost(message, optional, tag = "27")]
    pub queued: Option<Queue>,
    /// Parts of prompts that were sent to upstreams since the previous message; repeated once in a complete one.
    #[prost(message, repeated, tag = "26")]
    pub prefixes: Vec<Prefix>,
    /// Whether the sender keeps the keys of evacuated failure domains. Builds that do not leave them out of what they pass
    /// on.
    #[prost(bool, tag = "28")]
    pub keeps_evacuations: bool,
    /// Version of the configuration that is in force at the sender, or a newer one that it has heard of while the store answers
    /// nobody; zero in messages of builds that do not tell.
    #[prost(uint64, tag = "29")]
    pub config_version: u64,
    /// Like `changes`, of which some are patches, or which are not all; then `updates` and `changes` are empty.
    #[prost(message, repeated, tag = "30")]
    pub patched: Vec<Item>,
    /// Revision after which `patched` begins, or `revision` if that holds some of the latest changes only; zero if it is empty.
    #[prost(uint64, tag = "31")]
    pub patched_base: u64,
}

/// How fast an upstream works.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct Pace {
    /// Stable hash that identifies the upstream and its incarnation.
    #[prost(fixed64, tag = "1")]
    pub upstream_hash: u64,
    /// Microseconds for one event of an engine that runs one request, or for one plain call.
    #[prost(uint64, tag = "2")]
    pub time_us: u64,
    /// Number of observations that it rests on.
    #[prost(uint32, tag = "3")]
    pub observations: u32,
    /// Milliseconds since the last one.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

/// Requests in the queue of an instance.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct Queue {
    /// By service and priority.
    #[prost(message, repeated, tag = "1")]
    pub loads: Vec<Queued>,
}

/// Requests of one service and priority in the queue of an instance.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct Queued {
    /// Hash of the service's name.
    #[prost(fixed64, tag = "1")]
    pub service: u64,
    /// Priority; 0 goes first.
    #[prost(uint32, tag = "2")]
    pub priority: u32,
    /// Number of requests.
    #[prost(uint32, tag = "3")]
    pub requests: u32,
    /// Their prompt tokens.
    #[prost(uint64, tag = "4")]
    pub tokens: u64,
}

/// Places at a brittle upstream that an instance holds and wants.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct Claim {
    #[prost(fixed64, tag = "1")]
    pub upstream_hash: u64,
    /// Places beyond those that it holds.
    #[prost(uint32, tag = "2")]
    pub wanted: u32,
    /// Requests that run, and places that are free.
    #[prost(uint32, tag = "3")]
    pub held: u32,
    /// Number of places that the sender has got from the process of `issuer`.
    #[prost(uint64, tag = "4")]
    pub seen: u64,
    /// Random number of that process.
    #[prost(fixed64, tag = "5")]
    pub issuer: u64,
    /// Requests that the upstream has rejected, since the start of the sender's process.
    #[prost(uint64, tag = "6")]
    pub rejected: u64,
}

/// Places at a brittle upstream that the receiver gets.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct Grant {
    #[prost(fixed64, tag = "1")]
    pub upstream_hash: u64,
    /// Number of places that the receiver has got from this process.
    #[prost(uint64, tag = "2")]
    pub total: u64,
    /// Random number of the sender's process.
    #[prost(fixed64, tag = "3")]
    pub issuer: u64,
}

/// Whether an instance relays connections, and to what.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct RelayOffer {
    /// Whether it relays connections now.
    #[prost(bool, tag = "1")]
    pub is_open: bool,
    /// Its failure domain.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// Hashes of services whose upstreams it cannot reach.
    #[prost(fixed64, repeated, tag = "3")]
    pub cut: Vec<u64>,
}

/// A pause that an upstream asks for.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct Pause {
    #[prost(fixed64, tag = "1")]
    pub upstream_hash: u64,
    /// Milliseconds that are left of it.
    #[prost(uint64, tag = "2")]
    pub left_ms: u64,
}

/// What an upstream said of its limit.
#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct Limit {
    /// Stable hash that identifies the upstream and its incarnation.
    #[prost(fixed64, tag = "1")]
    pub upstream_hash: u64,
    /// Requests a second from all instances together; absent if the upstream names no limit any more.
    #[prost(double, optional, tag = "2")]
    pub rate: Option<f64>,
    /// Milliseconds since then.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
    /// Random number drawn at the start of the process that got the answer.
    #[prost(fixed64, tag = "4")]
    pub origin: u64,
    /// Sequence number of the statement within that process.
    #[prost(uint64, tag = "5")]
    pub number: u64,
}

/// Permits for requests to an upstream that an instance wants; replaces what it wanted before.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct Want {
    #[prost(fixed64, tag = "1")]
    pub upstream_hash: u64,
    #[prost(uint32, tag = "2")]
    pub count: u32,
    /// Present if the permits are wanted since the upstream is cold; `count` is zero then, so that instances of earlier
    /// builds issue none.
    #[prost(message, optional, tag = "3")]
    pub cold: Option<ColdWant>,
}

/// Permits for requests to an upstream, beyond those sent before.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct Permits {
    #[prost(fixed64, tag = "1")]
    pub upstream_hash: u64,
    #[prost(uint32, tag = "2")]
    pub count: u32,
    /// Present if they are for a cold upstream.
    #[prost(message, optional, tag = "3")]
    pub cold: Option<ColdPermits>,
}

/// An upstream that crashed under requests.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct Crash {
    /// Stable hash that identifies the upstream and its incarnation.
    #[prost(fixed64, tag = "1")]
    pub upstream_hash: u64,
    /// Milliseconds since the crash.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Parts that may be the cause.
    #[prost(fixed64, repeated, tag = "3")]
    pub parts: Vec<u64>,
    /// Their positions in the request, in the order of `parts`.
    #[prost(uint32, repeated, tag = "4")]
    pub ranks: Vec<u32>,
}

/// A part of requests under which an upstream wrote an answer.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct Sound {
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Milliseconds since then.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// A refused part of requests that was tried again.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct Trial {
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Milliseconds since the last trial.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Number of trials so far.
    #[prost(uint32, tag = "3")]
    pub count: u32,
}

/// Requests of one instance at one upstream.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct Load {
    /// Stable hash that identifies the upstream and its incarnation.
    #[prost(fixed64, tag = "1")]
    pub upstream_hash: u64,
    /// Number of requests; zero if the last one has ended.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Tokens that the requests are expected to hold in memory when they end.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// Tokens of their prompts that the upstream has not processed yet.
    #[prost(uint64, tag = "4")]
    pub pending_prefill: u64,
}

/// Parts of a prompt that an upstream was sent.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct Prefix {
    /// Stable hash that identifies the upstream and its incarnation.
    #[prost(fixed64, tag = "1")]
    pub upstream_hash: u64,
    /// Hashes of the parts' ids.
    #[prost(fixed32, repeated, tag = "2")]
    pub parts: Vec<u32>,
}

/// Asks for the receiver's copy of the store's content, or the part that changed after a revision; or for a connection
/// to an upstream.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct ContentRequest {
    /// Only items that changed after this revision are sent.
    #[prost(uint64, tag = "1")]
    pub after: u64,
    /// If present, no content is wanted.
    #[prost(message, optional, tag = "2")]
    pub relay: Option<RelayRequest>,
    /// Era of `after`; absent in messages of builds that know no eras.
    #[prost(uint64, optional, tag = "3")]
    pub era: Option<u64>,
    /// Hashes of the items that the sender has from an earlier era; their values need not be sent.
    #[prost(fixed64, repeated, tag = "4")]
    pub held: Vec<u64>,
    /// Large values that the sender has; newer ones may be sent as patches of them.
    #[prost(message, repeated, tag = "5")]
    pub signed: Vec<Signed>,
}

/// A large value that an instance has.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct Signed {
    #[prost(string, tag = "1")]
    pub key: String,
    /// Identifies its blocks.
    #[prost(bytes = "vec", tag = "2")]
    pub signature: Vec<u8>,
    /// Hash of the value.
    #[prost(fixed64, tag = "3")]
    pub hash: u64,
}

/// An instance's copy of the store's content, or the part that changed after a revision.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct Content {
    /// Revision up to which the sender knows every change.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Items that changed after the requested revision.
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<Item>,
    /// All existing keys; a key that is not listed was removed.
    #[prost(string, repeated, tag = "3")]
    pub keys: Vec<String>,
    /// Era of all revisions in the message; absent in messages of builds that know no eras.
    #[prost(uint64, optional, tag = "4")]
    pub era: Option<u64>,
    /// See [`Announcement::keeps_evacuations`].
    #[prost(bool, tag = "5")]
    pub keeps_evacuations: bool,
}

/// A key of the store with its value.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct Item {
    #[prost(string, tag = "1")]
    pub key: String,
    /// Revision at which the key last changed.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Absent if the key was removed.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub value: Option<bytes::Bytes>,
    /// Whether the receiver has the value, which is left out then.
    #[prost(bool, tag = "4")]
    pub is_held: bool,
    /// Difference of the value, which is left out then, from the value before; in datagrams only.
    #[prost(bytes = "bytes", optional, tag = "5")]
    pub delta: Option<bytes::Bytes>,
    /// Hash of the value before, with `delta`.
    #[prost(fixed64, tag = "6")]
    pub known_hash: u64,
    /// What leads from the value with `known_hash` to this one; then the value is absent. Instances of earlier builds are sent
    /// none.
    #[prost(bytes = "bytes", optional, tag = "7")]
    pub patch: Option<bytes::Bytes>,
    /// Hash of the value, if that is absent and the item is not removed; zero in messages of builds that do not tell.
    #[prost(fixed64, tag = "8")]
    pub value_hash: u64,
}

impl From<&fleet::RelayOffer> for RelayOffer {
    fn from(offer: &fleet::RelayOffer) -> Self {
        Self {
            is_open: true,
            domain: offer.domain.to_string(),
            cut: offer.cut.to_vec(),
        }
    }
}

impl From<QueuedLoad> for Queued {
    fn from(load: QueuedLoad) -> Self {
        Self {
            service: load.service,
            priority: u32::from(load.priority),
            requests: load.requests,
            tokens: load.tokens,
        }
    }
}

impl From<Queued> for QueuedLoad {
    fn from(queued: Queued) -> Self {
        Self {
            service: queued.service,
            priority: u8::try_from(queued.priority).unwrap_or(u8::MAX),
            requests: queued.requests,
            tokens: queued.tokens,
        }
    }
}

impl From<StoreItem> for Item {
    fn from(item: StoreItem) -> Self {
        Self {
            key: item.key,
            revision: item.revision,
            value: item.value,
            is_held: false,
            delta: None,
            known_hash: 0,
            patch: None,
            value_hash: 0,
        }
    }
}

impl From<Item> for StoreItem {
    fn from(item: Item) -> Self {
        Self {
            key: item.key,
            revision: item.revision,
            value: item.value,
        }
    }
}

impl From<TrialReport> for Trial {
    fn from(report: TrialReport) -> Self {
        Self {
            part: report.part.0,
            age_ms: report.age.as_millis() as u64,
            count: report.count,
        }
    }
}

impl From<Trial> for TrialReport {
    fn from(trial: Trial) -> Self {
        Self {
            part: Part(trial.part),
            age: Duration::from_millis(trial.age_ms),
            count: trial.count,
        }
    }
}

impl From<CrashReport> for Crash {
    fn from(report: CrashReport) -> Self {
        let (parts, ranks) = report
            .suspects
            .iter()
            .map(|suspect| (suspect.part.0, u32::from(suspect.rank)))
            .unzip();
        Self {
            upstream_hash: report.incarnation,
            age_ms: report.age.as_millis() as u64,
            parts,
            ranks,
        }
    }
}

impl From<Crash> for CrashReport {
    fn from(crash: Crash) -> Self {
        let suspects = crash.parts.iter().zip(crash.ranks).map(|(part, rank)| Suspect {
            part: Part(*part),
            rank: u8::try_from(rank).unwrap_or(WHOLE_REQUEST),
        });
        Self {
            incarnation: crash.upstream_hash,
            age: Duration::from_millis(crash.age_ms),
            suspects: suspects.take(MAX_SUSPECTS).collect(),
        }
    }
}

impl From<SoundReport> for Sound {
    fn from(report: SoundReport) -> Self {
        Self {
            part: report.part.0,
            age_ms: report.age.as_millis() as u64,
        }
    }
}

impl From<Sound> for SoundReport {
    fn from(sound: Sound) -> Self {
        Self {
            part: Part(sound.part),
            age: Duration::from_millis(sound.age_ms),
        }
    }
}

impl From<PeerLoad> for Load {
    fn from(load: PeerLoad) -> Self {
        Self {
            upstream_hash: load.upstream_hash,
            requests: load.requests,
            tokens: load.tokens,
            pending_prefill: load.prefill,
        }
    }
}

impl From<Load> for PeerLoad {
    fn from(load: Load) -> Self {
        Self {
            upstream_hash: load.upstream_hash,
            requests: load.requests,
            tokens: load.tokens,
            prefill: load.pending_prefill,
        }
    }
}

impl From<PrefixReport> for Prefix {
    fn from(report: PrefixReport) -> Self {
        Self {
            upstream_hash: report.upstream_hash,
            parts: report.parts.into_vec(),
        }
    }
}

impl From<Prefix> for PrefixReport {
    fn from(prefix: Prefix) -> Self {
        Self {
            upstream_hash: prefix.upstream_hash,
            parts: prefix.parts.into(),
        }
    }
}

impl From<LimitReport> for Limit {
    fn from(report: LimitReport) -> Self {
        Self {
            upstream_hash: report.incarnation,
            rate: report.rate,
            age_ms: report.age.as_millis() as u64,
            origin: report.origin.boot_id,
            number: report.origin.number,
        }
    }
}

impl From<Limit> for LimitReport {
    fn from(limit: Limit) -> Self {
        Self {
            incarnation: limit.upstream_hash,
            rate: limit.rate,
            age: Duration::from_millis(limit.age_ms),
            origin: Origin {
                boot_id: limit.origin,
                number: limit.number,
            },
        }
    }
}
