//! Connections, why they end, and what the driver has to do.

use carob_wire::{Problem, event::Event};
use smallvec::SmallVec;

use crate::Generation;

carob_base::plain! {
    /// Number of a connection to an upstream; never reused within one delivery.
    pub struct ConnId(pub u32);

    /// What a connection requests from the engine.
    pub enum Source {
        /// `POST /v1/responses`: a new generation.
        Create,
        /// `GET /v1/responses/{id}?stream=true`, with `starting_after` if a number is given.
        Resume {
            /// Sequence number of the last event that was received; `None` requests all events.
            after: Option<u64>,
        },
    }

    /// Why a connection ended before the last event of the answer.
    pub enum Cause {
        /// No connection was established, so nothing was sent.
        Refused,
        /// The engine accepts no work at present (HTTP 429 or 503).
        Busy,
        /// The engine answered with another HTTP error.
        Rejected {
            /// HTTP status.
            status: u16,
        },
        /// The engine does not know the answer (HTTP 404 or 410).
        NotFound,
        /// The connection broke or ended early.
        Ended,
        /// The engine sent data that cannot be parsed as an event.
        Malformed,
    }

    /// How an answer ended.
    pub enum End {
        /// The answer is complete.
        Completed,
        /// The answer reached its token limit.
        Incomplete,
        /// The engine aborted the answer with a `response.failed` event.
        Failed,
    }
}

carob_base::value! {
    /// What the driver has to do. The actions of one step are performed in their order.
    pub enum Action {
        /// Pass the event on to the caller.
        Deliver(Event),
        /// Open a connection to the current upstream.
        Open {
            /// Number of the new connection.
            conn: ConnId,
            /// What to request.
            source: Source,
        },
        /// Close a connection; further events on it are ignored.
        Close(ConnId),
        /// Ask routing for an upstream that was not tried before, then call
        /// [`Delivery::start`](crate::Delivery::start), or [`Delivery::close`](crate::Delivery::close) if
        /// there is none. Nothing has reached the caller.
        Rerun {
            /// Why the last attempt ended; `None` if no connection failed, such as when the upstream stopped
            /// sending events or aborted the answer.
            cause: Option<Cause>,
        },
        /// Start a [`Cancellation`](crate::cancel::Cancellation) of this generation at the current upstream.
        Cancel(Generation),
        /// Report to the caller that the answer has failed. The delivery is over.
        Fail(Problem),
        /// Every event has been delivered. The delivery is over.
        Finish(End),
    }
}

/// Actions of one step, in the order in which they are performed.
pub type Actions = SmallVec<[Action; 4]>;
