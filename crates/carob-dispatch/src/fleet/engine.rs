//! How engines work, as the operators' pages state it; the basis of all predictions about them.
//!
//! Where paces of engines are compared with each other, only the ratios of these figures matter.

/// Time of an engine's step without requests, in milliseconds.
pub(super) const STEP_MS: f64 = 7.0;

/// Time that each running request adds to a step, in milliseconds.
pub(super) const REQUEST_STEP_MS: f64 = 0.12;

/// Prompt tokens that an engine prefills in one go, between the steps of running requests.
pub(super) const CHUNK_TOKENS: f64 = 112.0;

/// Prompt tokens that an engine prefills per millisecond while it does nothing else.
pub(super) const PREFILL_RATE: f64 = 14.0;
