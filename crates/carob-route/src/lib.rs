//! Routing, admission and queueing decisions for answers of unknown length.
