//! Typed messages between instances.
