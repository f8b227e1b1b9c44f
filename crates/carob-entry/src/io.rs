//! Threads that do I/O for the control thread: with the store, the instance list, upstreams and peers.
//!
//! * [`store`]: calls to the store.
//! * [`watch`]: watches of the store.
//! * [`cache`]: polls of engines for the events of their prefix caches.
//! * [`datagrams`]: datagrams from other instances; [`fetch`]: exchange of the configuration with them.
//! * [`list`]: polls of the platform's instance list.
//! * [`order`]: orders to engines.
//! * [`poll`]: polls of upstreams for load reports, and health checks.
//! * [`cancel`]: cancellation of abandoned generations.

pub mod cache;
pub mod cancel;
pub mod datagrams;
pub mod fetch;
pub mod list;
pub mod order;
pub mod poll;
pub mod store;
pub mod watch;
