//! The retry budget of a service, summed over all gateways and all their processes, as upstreams see it.

mod budget;
#[path = "retries/checker.rs"]
mod checker;
