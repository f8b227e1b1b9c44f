//! Messages by which an instance asks another one for a connection to an upstream.
//!
//! They are part of other messages between instances, and of those that earlier builds send and read: fields are added, and
//! an unknown state counts as [`RelayState::Unknown`].

use carob_dispatch::{fleet::RelayedRequest, regions::Regions, residence};
use prost::Message;

/// Asks the receiver to connect to an upstream and to forward bytes.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RelayRequest {
    /// Address under which the sender is registered.
    #[prost(string, tag = "1")]
    pub sender: String,
    /// The sender's random number, which only instances know that it announces itself to.
    #[prost(fixed64, tag = "2")]
    pub boot_id: u64,
    /// Stable hash that identifies the upstream and its incarnation.
    #[prost(fixed64, tag = "3")]
    pub upstream_hash: u64,
    /// Id of the client's request; empty if there is none.
    #[prost(bytes = "bytes", tag = "4")]
    pub request: bytes::Bytes,
    /// Whether the connection is for a call about the upstream and not for a client's request.
    #[prost(bool, tag = "5")]
    pub is_control: bool,
    /// Where the request may run by the sender's configuration; absent if the sender does not say, as in messages of earlier
    /// builds. The fields that follow count only with it.
    #[prost(message, optional, tag = "6")]
    pub residence: Option<Residence>,
    /// Host that the request names.
    #[prost(string, tag = "7")]
    pub host: String,
    /// Path of the request.
    #[prost(string, tag = "8")]
    pub path: String,
    /// Hash of the request's key; absent without one.
    #[prost(fixed64, optional, tag = "9")]
    pub key_hash: Option<u64>,
    /// Stable hash of the upstream to which the call copies the memory of a generation; absent if it copies none.
    #[prost(fixed64, optional, tag = "10")]
    pub target_hash: Option<u64>,
}

/// Where a request may run, by the configuration of a version.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Residence {
    /// The version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Regions that its route permits.
    #[prost(message, optional, tag = "2")]
    pub route: Option<RegionList>,
    /// Regions that its account permits.
    #[prost(message, optional, tag = "3")]
    pub account: Option<RegionList>,
    /// Name of the account; absent for a request without one.
    #[prost(string, optional, tag = "4")]
    pub owner: Option<String>,
}

/// Regions that are permitted; no names stand for none.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RegionList {
    /// Whether all regions are permitted.
    #[prost(bool, tag = "1")]
    pub is_any: bool,
    /// Their names.
    #[prost(string, repeated, tag = "2")]
    pub names: Vec<String>,
}

/// Answers a [`RelayRequest`]; after [`RelayState::Open`] the connection is the upstream's.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RelayReply {
    /// A [`RelayState`].
    // Other numbers than those of `Content`, which an instance that does not relay sends.
    #[prost(enumeration = "RelayState", tag = "15")]
    pub state: i32,
    /// With [`RelayState::Region`], where the request may run by the sender's configuration.
    #[prost(message, optional, tag = "16")]
    pub residence: Option<Residence>,
}

/// What became of a [`RelayRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum RelayState {
    /// The receiver does not know.
    Unknown = 0,
    /// The upstream is connected.
    Open = 1,
    /// The upstream cannot be reached.
    Unreachable = 2,
    /// The upstream has asked the receiver for a pause.
    Paused = 3,
    /// The upstream leaves.
    Leaving = 4,
    /// The receiver relays as many connections as it may.
    Full = 5,
    /// The receiver shuts down.
    Closing = 6,
    /// The receiver does not know the sender or the upstream.
    Stranger = 7,
    /// The upstream's failure domain is out of service.
    Evacuated = 8,
    /// The request may not run in the upstream's region, or not pass through the receiver's.
    Region = 9,
}

impl RelayState {
    /// Name in metrics and log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Open => "open",
            Self::Unreachable => "unreachable",
            Self::Paused => "paused",
            Self::Leaving => "leaving",
            Self::Full => "full",
            Self::Closing => "closing",
            Self::Stranger => "stranger",
            Self::Evacuated => "evacuated",
            Self::Region => "region",
        }
    }
}

impl RelayRequest {
    /// What the sender says of the request; `None` if it does not say by which configuration it sends it.
    pub fn request(&self) -> Option<RelayedRequest> {
        Some(RelayedRequest {
            residence: self.residence.as_ref()?.decode()?,
            host: self.host.as_str().into(),
            path: self.path.as_str().into(),
            key_hash: self.key_hash,
        })
    }

    /// Adds what is known of the request.
    #[must_use]
    pub fn with_request(self, request: &RelayedRequest) -> Self {
        Self {
            residence: Some((&request.residence).into()),
            host: request.host.to_string(),
            path: request.path.to_string(),
            key_hash: request.key_hash,
            ..self
        }
    }
}

impl Residence {
    /// `None` if it does not say what the route and the account permit.
    pub fn decode(&self) -> Option<residence::Residence> {
        let [route, account] = [&self.route, &self.account].map(|list| list.as_ref().map(Regions::from));
        let residence = residence::Residence::with_regions(route?, account?, self.version);
        Some(residence.with_owner(self.owner.as_deref().map(Into::into)))
    }
}

impl From<&residence::Residence> for Residence {
    fn from(residence: &residence::Residence) -> Self {
        Self {
            version: residence.version(),
            route: Some(residence.route_regions().into()),
            account: Some(residence.account_regions().into()),
            owner: residence.owner().map(ToOwned::to_owned),
        }
    }
}

impl From<&Regions> for RegionList {
    fn from(regions: &Regions) -> Self {
        let names = regions.names().unwrap_or_default();
        Self {
            is_any: regions.is_any(),
            names: names.iter().map(ToString::to_string).collect(),
        }
    }
}

impl From<&RegionList> for Regions {
    fn from(list: &RegionList) -> Self {
        if list.is_any {
            Self::any()
        } else {
            Self::only(list.names.iter().map(|name| name.as_str().into()))
        }
    }
}
