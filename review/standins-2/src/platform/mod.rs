//! The only folder with names of the platform's protocol.

pub mod engine;
