//! Names of HTTP headers, in lower case.

/// Whether a refused or failed request ran: `not-run`, `unknown` or `done`.
pub const OUTCOME: &str = "carob-outcome";
/// Id that this system gives a request, for support and logs.
pub const REQUEST_ID: &str = "carob-request";
/// Requested delivery mode of an answer: `stream` (default) or `whole`.
pub const DELIVERY: &str = "carob-delivery";
/// The caller's key for a call that must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Start time of an engine's process, sent with each response. It differs after every restart.
pub const INCARNATION: &str = "x-engine-incarnation";
/// The fencing number of an order to an engine.
pub const FENCING: &str = "x-fencing-number";
/// Seconds after which a refused request may be sent again.
pub const RETRY_AFTER: &str = "retry-after";
