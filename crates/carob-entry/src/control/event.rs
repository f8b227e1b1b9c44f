//! Events from other threads to the control thread, and its directives to workers.

use std::net::SocketAddr;

use bytes::Bytes;
use carob_base::{Name, Time};
use carob_config::Revision;
use carob_member::ListEntry;
use carob_route::{End, submit::Request};
use carob_stream::EventIntervals;
use carob_suspect::Fingerprint;
use carob_wire::{Problem, load::Report};
use flume::Sender;

use super::health::ProbeFailure;

/// An event from another thread to the control thread.
#[derive(Debug)]
pub enum Event {
    /// A worker asks for the placement of a request.
    Submit {
        /// The request.
        request: Request,
        /// Digest of its content; crashes of upstreams are attributed by it.
        fingerprint: Fingerprint,
        /// Where directives for the request go until it is finished.
        reply: Sender<Directive>,
    },
    /// A worker asks for another upstream.
    Retry {
        /// Id of the request.
        id: u64,
        /// How the attempt on the previous upstream ended.
        end: End,
        /// The previous upstream's incarnation, if a response showed it.
        incarnation: Option<u64>,
    },
    /// More tokens of an answer have been received.
    Progress {
        /// Id of the request.
        id: u64,
        /// Number of tokens so far.
        tokens: u32,
    },
    /// A request has ended on its upstream.
    Finish {
        /// Id of the request.
        id: u64,
        /// How it ended.
        end: End,
        /// The upstream's incarnation, if a response showed it.
        incarnation: Option<u64>,
        /// Intervals between the answer's events; absent if none were measured.
        intervals: Option<Box<EventIntervals>>,
    },
    /// The engine's id of the answer to a request is known.
    AnswerIdentified {
        /// Id of the request.
        id: u64,
        /// The upstream's name and the engine's id of the answer.
        answer: (String, String),
    },
    /// A caller has resumed an answer through this instance.
    Resumed {
        /// The upstream's name and the engine's id of the answer.
        answer: (String, String),
        /// Where the directive goes if the answer is resumed again elsewhere.
        reply: Sender<Directive>,
        /// The request that resumes the answer.
        id: u64,
    },
    /// An upstream has answered a poll with its load report.
    LoadReport {
        /// Name of the upstream.
        upstream: Name,
        /// The report.
        report: Report,
        /// When the poll was sent.
        sampled_at: Time,
    },
    /// An engine has published events of its prefix cache.
    CacheEvents {
        /// Name of the upstream.
        upstream: Name,
        /// The events, in order.
        events: Vec<carob_route::cache::Event>,
    },
    /// A plain upstream answered a health check.
    Reachable {
        /// Name of the upstream.
        upstream: Name,
        /// When the check was sent.
        checked_at: Time,
    },
    /// An upstream failed a health check.
    Unreachable {
        /// Name of the upstream.
        upstream: Name,
        /// When the check was sent.
        checked_at: Time,
        /// How it failed.
        failure: ProbeFailure,
    },
    /// An event of a worker's claim.
    Claim(crate::control::claims::Event),
    /// An event of the order thread.
    Order(crate::control::orders::Event),
    /// A store call has ended.
    StoreReply(crate::control::stored::StoreReply),
    /// An event of the configuration: from its watch, from a peer, or by time.
    Follow(carob_ticket::follow::Event),
    /// An operator submits a ticket or asks for one.
    Ledger {
        /// Where a copy of the ledger goes.
        reply: Sender<carob_ticket::Ledger>,
    },
    /// A peer asks for the configuration after the revision that it holds.
    ServeConfig {
        /// The peer's revision.
        held: Revision,
        /// Where the encoded heads or snapshots go.
        reply: Sender<Vec<Bytes>>,
    },
    /// An event of membership.
    Member(carob_member::Event),
    /// The platform's instance list was read.
    InstanceList(Vec<ListEntry>),
    /// An operator asks which instances have not confirmed a revision.
    Unconfirmed {
        /// The revision.
        revision: Revision,
        /// Where the names go.
        reply: Sender<Vec<Name>>,
    },
    /// An operator asks for a snapshot.
    Status {
        /// Where it goes.
        reply: Sender<crate::control::status::Status>,
    },
    /// The instance starts to leave.
    Leave,
    /// The control thread has to end.
    Stop,
}

/// Directive of the control thread to the worker that serves a request.
#[derive(Debug)]
pub enum Directive {
    /// Send the request to this upstream now.
    Send(Box<Destination>),
    /// Refuse the request with this problem. No upstream was assigned for this attempt; earlier attempts may
    /// have run.
    Refuse(Problem),
    /// The caller has resumed the answer through another connection.
    ResumedElsewhere,
}

/// The upstream to which a request is sent.
#[derive(Clone, Debug)]
pub struct Destination {
    /// The upstream's name.
    pub upstream: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Priority at the engine; lower runs first.
    pub priority: i32,
    /// Intervals between events measured on the upstream's earlier answers.
    pub intervals: EventIntervals,
}
