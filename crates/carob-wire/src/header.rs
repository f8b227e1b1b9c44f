//! Names of headers.

/// Whether the refused or failed request ran: `not-run`, `unknown` or `done`.
pub const OUTCOME: &str = "carob-outcome";
/// The system's id of a request, for support and logs.
pub const REQUEST_ID: &str = "carob-request";
/// How an answer is delivered: `stream` (default) or `whole`.
pub const DELIVERY: &str = "carob-delivery";
/// The caller's key for a call that must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// An engine's process start, sent with each answer; differs after every restart.
pub const INCARNATION: &str = "x-engine-incarnation";
/// The fencing number of an order to an engine.
pub const FENCING: &str = "x-fencing-number";
/// Seconds after which a refused request is worth sending again.
pub const RETRY_AFTER: &str = "retry-after";
