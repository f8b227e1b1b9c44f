//! What other threads tell the control thread, and what it answers.

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

use super::health::Miss;

/// What other threads tell the control thread.
#[derive(Debug)]
pub enum Event {
    /// A worker asks where a request should go.
    Submit {
        /// The request.
        request: Request,
        /// Digest of its content, by which crashes are attributed.
        fingerprint: Fingerprint,
        /// Where directives for the request go until it is finished.
        reply: Sender<Directive>,
    },
    /// A worker asks for another upstream.
    Retry {
        /// The request.
        id: u64,
        /// How it ended on the upstream before.
        end: End,
        /// The upstream's incarnation, if it was seen.
        incarnation: Option<u64>,
    },
    /// An answer has grown.
    Progress {
        /// The request.
        id: u64,
        /// Tokens so far.
        tokens: u32,
    },
    /// A request has ended on its upstream.
    Finish {
        /// The request.
        id: u64,
        /// How.
        end: End,
        /// The upstream's incarnation, if it was seen.
        incarnation: Option<u64>,
        /// The gaps between events that the answer showed.
        pace: Option<Box<EventIntervals>>,
    },
    /// The engine has named the answer to a request.
    Named {
        /// The request.
        id: u64,
        /// The upstream's name and the engine's id of the answer.
        answer: (String, String),
    },
    /// A caller resumed an answer through this instance.
    Resumed {
        /// The upstream's name and the engine's id of the answer.
        answer: (String, String),
        /// Where a directive goes if the answer is resumed elsewhere.
        reply: Sender<Directive>,
        /// The resuming request.
        id: u64,
    },
    /// An upstream has sent its load report.
    Report {
        /// The upstream.
        upstream: Name,
        /// The report.
        report: Report,
        /// When it was asked for.
        sampled: Time,
    },
    /// An engine has published events of its prefix cache.
    Cached {
        /// The upstream.
        upstream: Name,
        /// The events, in order.
        events: Vec<carob_route::cache::Event>,
    },
    /// A plain upstream answered a health check.
    Reachable {
        /// The upstream.
        upstream: Name,
        /// When it was asked.
        asked: Time,
    },
    /// An upstream did not answer a health check.
    Unreachable {
        /// The upstream.
        upstream: Name,
        /// When it was asked.
        asked: Time,
        /// Why.
        miss: Miss,
    },
    /// A worker says something about a claim.
    Claim(crate::control::claims::Event),
    /// The order thread says something.
    Order(crate::control::orders::Event),
    /// A store call has ended.
    Stored(crate::control::stored::Stored),
    /// A watch of the configuration says something.
    Follow(carob_ticket::follow::Event),
    /// An operator's ticket is being submitted.
    Ledger {
        /// Where the ledger goes, from which the submission starts.
        reply: Sender<carob_ticket::Ledger>,
    },
    /// A peer asks for what follows the revision that it holds.
    Serve {
        /// The revision.
        held: Revision,
        /// Where the encoded heads or snapshots go.
        reply: Sender<Vec<Bytes>>,
    },
    /// Something has happened to membership.
    Member(carob_member::Event),
    /// The platform's instance list.
    Listed(Vec<ListEntry>),
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
    /// The instance is leaving.
    Leave,
    /// The control thread ends.
    Stop,
}

/// What the control thread answers a worker.
#[derive(Debug)]
pub enum Directive {
    /// Send the request to this upstream now.
    Go(Box<Go>),
    /// Tell the caller; the request did not run on another upstream.
    Refuse(Problem),
    /// The caller has resumed the answer through another connection.
    ResumedElsewhere,
}

/// Where a request goes.
#[derive(Clone, Debug)]
pub struct Go {
    /// The upstream.
    pub upstream: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Priority at the engine; lower runs first.
    pub priority: i32,
    /// The engine's usual pace.
    pub pace: EventIntervals,
}
