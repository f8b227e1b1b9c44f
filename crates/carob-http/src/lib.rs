//! HTTP listeners and clients with deadlines, limits and idle timeouts.
