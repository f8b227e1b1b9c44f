//! Delivery of one generation exactly once, in order and whole.
