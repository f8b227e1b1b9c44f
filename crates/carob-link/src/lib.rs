//! Authenticated frames between instances over TCP and UDP.
