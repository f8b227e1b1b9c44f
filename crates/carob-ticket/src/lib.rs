//! Change tickets: their format, their one order in the store and their way to every instance.
//!
//! * [`parse`]: reads a ticket from its INI text.
//! * [`ticket`]: the typed ticket and its canonical text.
//! * [`ledger`]: the configuration with what is needed to answer tickets; applies one ticket after the other.
//! * [`head`]: the values in which the store and peers hold the order: a short tail of tickets, and a snapshot.
//! * [`submit`]: brings one ticket into the order.
//! * [`follow`]: keeps an instance's configuration up to date.
//!
//! `submit` and `follow` are pure state machines: they emit [`carob_store::Call`]s and take in the replies.

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
