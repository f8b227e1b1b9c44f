//! Connections, causes of their end, and what the driver has to do.

use carob_wire::{Problem, event::Event};
use smallvec::SmallVec;

use crate::Generation;

carob_base::plain! {
    /// A connection of one delivery to an upstream; numbers are never used twice within a delivery.
    pub struct ConnId(pub u32);

    /// How a connection asks for events.
    pub enum Source {
        /// `POST /v1/responses`: a new generation.
        Create,
        /// `GET /v1/responses/{id}?stream=true`, with `starting_after` if a number is given.
        Resume {
            /// Sequence number of the last event that need not be sent again.
            after: Option<u64>,
        },
    }

    /// Why a connection ended without the answer's last event.
    pub enum Cause {
        /// No connection was made, so nothing was sent.
        Refused,
        /// The engine answered that it takes no work now (HTTP 429 or 503).
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
        /// The engine sent something that is no event.
        Malformed,
    }

    /// How an answer ended.
    pub enum End {
        /// The answer is whole.
        Completed,
        /// The answer reached its token limit.
        Incomplete,
        /// The engine gave up and said so in its last event.
        Failed,
    }
}

carob_base::value! {
    /// What the driver has to do, in this order.
    pub enum Action {
        /// Pass the event on to the caller.
        Deliver(Event),
        /// Open a connection to the current upstream.
        Open {
            /// Number of the new connection.
            conn: ConnId,
            /// What to ask for.
            source: Source,
        },
        /// Close a connection; its further events are ignored.
        Close(ConnId),
        /// Ask routing for another upstream than those tried before, then call
        /// [`Delivery::start`](crate::Delivery::start), or [`Delivery::close`](crate::Delivery::close) if there
        /// is none. Nothing has reached the caller.
        Rerun {
            /// Why the last attempt ended; `None` if its upstream fell silent or gave up by itself.
            cause: Option<Cause>,
        },
        /// Have a [`Cancellation`](crate::cancel::Cancellation) cancel this generation at the current upstream.
        Cancel(Generation),
        /// Tell the caller explicitly that the answer has failed. The delivery is over.
        Fail(Problem),
        /// Every event has been delivered. The delivery is over.
        Finish(End),
    }
}

/// Actions of one step.
pub type Actions = SmallVec<[Action; 4]>;
