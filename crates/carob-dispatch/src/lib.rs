//! The gateway's decisions, as state machines that do no I/O.
//!
//! The gateway forwards callers' requests unchanged to upstreams that register themselves on the platform.
//! This crate decides which route a request takes, which upstream runs it, when it is queued or refused,
//! whether it may be retried, and how a running generation migrates away from an upstream that leaves. No
//! function reads a clock: the current time is always an argument.
//!
//! * [`table`]: the operators' configuration: routes, services, accounts, limits.
//! * [`freshness`]: whether the configuration can be relied on for requests that are bound to regions.
//! * [`head`]: request metadata taken from the headers.
//! * [`fleet`]: upstreams, the requests running on them and the requests queued for them.
//! * [`budget`]: this instance's share of the retry budget.
//! * [`crashes`]: parts of prompts, and requests, that crash upstreams.
//! * [`limits`]: request rates that upstreams name for all instances together.
//! * [`migration`]: limits and timeouts of migrating a generation to another upstream.
//! * [`outcome`]: what to do after an attempt at an upstream.
//! * [`position`]: which events of a stream its client gets, while several runs produce them.

pub mod budget;
pub mod crashes;
pub mod fleet;
pub mod freshness;
pub mod head;
pub mod limits;
pub mod migration;
pub mod outcome;
pub mod position;
pub mod regions;
pub mod residence;
pub mod table;
