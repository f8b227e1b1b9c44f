//! Decisions of the gateway, as state machines without input or output.
//!
//! The gateway forwards callers' requests unchanged to upstreams that register themselves on the platform. This
//! crate holds what decides: which route a request takes, which upstream runs it, when it waits or is refused,
//! what a retry may cost, and when a running generation moves away from an upstream that leaves. Points in time
//! are always passed in.
//!
//! * [`table`]: the operators' configuration: routes, services, accounts, limits.
//! * [`head`]: what a request says of itself.
//! * [`fleet`]: upstreams, what runs on them, what waits for them.
//! * [`budget`]: retries permitted to this instance.
//! * [`migration`]: the steps of moving a generation to another upstream.
//! * [`outcome`]: what may follow an upstream's answer or silence.

pub mod budget;
pub mod fleet;
pub mod head;
pub mod migration;
pub mod outcome;
pub mod table;
