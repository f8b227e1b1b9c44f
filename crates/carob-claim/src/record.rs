//! The stored form of claims, in Protocol Buffers.

use bytes::Bytes;
use prost::Message;

use crate::Outcome;

/// State of a claim whose holder has not recorded an outcome.
pub const RESERVED: u32 = 0;
/// State of a claim with a recorded outcome.
pub const DONE: u32 = 1;
/// State of a claim whose call was sent and whose outcome cannot be known.
pub const UNKNOWN: u32 = 2;

/// A claim as it is stored.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Record {
    /// Upper half of the key's digest.
    #[prost(fixed64, tag = "1")]
    pub id_high: u64,
    /// Lower half of the key's digest.
    #[prost(fixed64, tag = "2")]
    pub id_low: u64,
    /// The process that holds the claim.
    #[prost(fixed64, tag = "3")]
    pub holder: u64,
    /// Number of the claim at its holder; the two form the nonce.
    #[prost(uint64, tag = "4")]
    pub serial: u64,
    /// Digest of the request, see [`fingerprint`](crate::key::fingerprint).
    #[prost(fixed64, tag = "5")]
    pub fingerprint: u64,
    /// [`RESERVED`], [`DONE`] or [`UNKNOWN`].
    #[prost(uint32, tag = "6")]
    pub state: u32,
    /// HTTP status of the outcome.
    #[prost(uint32, tag = "7")]
    pub status: u32,
    /// `Content-Type` of the outcome.
    #[prost(string, tag = "8")]
    pub media: String,
    /// Body of the outcome; absent if it was too large to be kept.
    #[prost(bytes = "bytes", optional, tag = "9")]
    pub body: Option<Bytes>,
}

/// A stored value: the claims of one slot.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Page {
    /// The lease that the value is attached to, which has to be given again each time the value is put.
    #[prost(sfixed64, tag = "1")]
    pub lease: i64,
    /// The claims, in the order of their creation.
    #[prost(message, repeated, tag = "2")]
    pub records: Vec<Record>,
}

impl Record {
    /// Whether this is the claim on the key with the digest `id`.
    pub const fn is_for(&self, id: u128) -> bool {
        self.id_high == (id >> 64) as u64 && self.id_low == id as u64
    }

    /// The recorded outcome.
    pub fn outcome(&self) -> Outcome {
        Outcome {
            status: self.status as u16,
            media: self.media.clone(),
            body: self.body.clone(),
        }
    }
}

impl Page {
    /// The claim on the key with the digest `id`.
    pub fn find(&self, id: u128) -> Option<&Record> {
        self.records.iter().find(|record| record.is_for(id))
    }

    /// Like [`find`](Self::find), for modification.
    pub fn find_mut(&mut self, id: u128) -> Option<&mut Record> {
        self.records.iter_mut().find(|record| record.is_for(id))
    }
}
