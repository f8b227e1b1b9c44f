//! Threads that talk to the store, the instance list, upstreams and peers on the control thread's behalf.
//!
//! * [`store`]: store calls.
//! * [`watch`]: watches of the store.
//! * [`cache`]: events of engines' prefix caches.
//! * [`datagrams`] and [`fetch`]: other instances.
//! * [`list`]: the platform's instance list.
//! * [`order`]: orders to engines.
//! * [`poll`]: load reports of upstreams.
//! * [`cancel`]: cancellation of generations that nobody waits for.

pub mod cache;
pub mod cancel;
pub mod datagrams;
pub mod fetch;
pub mod list;
pub mod order;
pub mod poll;
pub mod store;
pub mod watch;
