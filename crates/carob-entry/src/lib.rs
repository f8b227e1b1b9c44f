//! An entry instance: its control thread and its traffic threads.
//!
//! One thread owns all control state and handles typed [events](control::Event); every other thread moves
//! bytes. A request's worker thread asks the control thread for an upstream and drives the state machines of
//! `carob-stream` itself, so that no token passes through the control thread.
//!
//! * [`instance`]: starting and closing an instance.
//! * [`options`]: start-up options.
//! * [`control`]: the control thread.
//! * [`traffic`]: handling of one caller's request on a worker thread.
//! * [`io`]: threads that do I/O for the control thread: with the store, the instance list, upstreams and
//!   peers.
//! * [`admin`]: the operators' interface.

pub mod admin;
pub mod control;
pub mod instance;
pub mod io;
pub mod options;
pub mod traffic;

mod link;
mod shared;
mod threads;

pub use instance::Instance;
pub use options::Options;
