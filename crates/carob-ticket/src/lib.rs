//! Change tickets: their text format, their total order in the store, and their distribution to instances.
//!
//! * [`parse`]: parses a ticket's INI text.
//! * [`ticket`]: the parsed ticket and its canonical text.
//! * [`ledger`]: the configuration with the state that is needed to accept or refuse further tickets.
//! * [`head`]: the encoding of the order in the store and between peers: the latest tickets, and a snapshot.
//! * [`submit`]: appends one ticket to the order.
//! * [`follow`]: keeps an instance's configuration up to date.
//!
//! `submit` and `follow` are pure state machines: they emit [`carob_store::Call`]s and are fed the replies.

pub mod follow;
pub mod head;
pub mod ledger;
pub mod parse;
pub mod submit;
pub mod ticket;

mod check;
mod field;
mod object;

pub use carob_ini::Error;
pub use follow::Follower;
pub use ledger::{Accepted, Ledger, Refusal};
pub use submit::Submission;
pub use ticket::{Change, ObjectId, Ticket};
