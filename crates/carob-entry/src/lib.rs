//! An entry instance: its control thread and its traffic threads.
//!
//! One thread owns all control state and takes typed [events](control::Event); every other thread moves
//! bytes. A request's worker thread asks the control thread where to go and drives the state machines of
//! `carob-stream` itself, so that no token passes through the control thread.
//!
//! * [`instance`]: starting and closing an instance.
//! * [`options`]: what an instance is told at its start.
//! * [`control`]: the control thread.
//! * [`traffic`]: what a worker does with one caller's request.
//! * [`io`]: threads that talk to the store, the instance list, upstreams and peers on the control thread's
//!   behalf.
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
