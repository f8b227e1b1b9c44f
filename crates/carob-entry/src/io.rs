//! Threads that talk to the store, the instance list, upstreams and peers on the control thread's behalf.
//!
//! * [`store`]: store calls.
//! * [`watch`]: watches of the store.
//! * [`poll`]: load reports of upstreams.
//! * [`janitor`]: cancellation of generations that nobody waits for.

pub mod janitor;
pub mod poll;
pub mod store;
pub mod watch;
