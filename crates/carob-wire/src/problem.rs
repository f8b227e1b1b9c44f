//! Typed refusals as `application/problem+json` (RFC 9457).

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Media type of a [`Problem`].
pub const MEDIA_TYPE: &str = "application/problem+json";

carob_base::plain! {
    /// Whether a refused or failed request ran.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum Execution {
        /// It certainly did not run; sending it again is safe.
        NotRun,
        /// It may have run.
        Unknown,
        /// It ran.
        Done,
    }

    /// Stable code of a refusal or a failure.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum Code {
        /// The request is malformed.
        BadRequest,
        /// The bearer key is missing or unknown.
        Unauthorized,
        /// The account may not use this service or answer.
        Forbidden,
        /// No route covers the path, or the answer does not exist.
        NotFound,
        /// The route does not permit the method.
        MethodNotAllowed,
        /// The request head or body arrived too slowly.
        RequestTimeout,
        /// The body exceeds the limit.
        BodyTooLarge,
        /// The request head exceeds the limit.
        HeadTooLarge,
        /// A non-idempotent route needs an `Idempotency-Key`.
        KeyMissing,
        /// The `Idempotency-Key` is malformed or too old to be answered safely.
        KeyRejected,
        /// The same key came before with another request.
        KeyReused,
        /// The call with this key is still in progress.
        KeyInProgress,
        /// The account has too many requests in progress.
        AccountBusy,
        /// No upstream has room, and waiting longer would not help.
        Overloaded,
        /// The prompt and the largest answer fit no upstream.
        TooLong,
        /// No upstream of the service can be reached.
        NoUpstream,
        /// The key-value service is needed for this call and cannot be reached.
        StoreUnavailable,
        /// Requests like this one have crashed upstreams.
        Suspected,
        /// The instance is shutting down or has no configuration yet.
        NotReady,
        /// The upstream failed after the request may have started.
        UpstreamFailed,
        /// The upstream restarted and the rest of the answer is lost.
        AnswerLost,
        /// The caller read too slowly.
        SlowCaller,
        /// The caller cancelled the request.
        Cancelled,
        /// Recorded outcome of an earlier call with the same key is no longer kept.
        OutcomeLost,
    }
}

carob_base::value! {
    /// A refusal or failure as the caller sees it.
    #[derive(Serialize, Deserialize)]
    pub struct Problem {
        /// Stable code.
        pub code: Code,
        /// Whether the request ran.
        pub outcome: Execution,
        /// HTTP status.
        pub status: u16,
        /// Short sentence for people.
        pub detail: String,
        /// Seconds after which sending the request again may succeed.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        pub retry_after: Option<u64>,
    }
}

impl Execution {
    /// The value of the [outcome header](crate::header::OUTCOME).
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Done => "done",
        }
    }
}

impl Code {
    /// The HTTP status that goes with the code.
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::KeyMissing | Self::KeyRejected => 400,
            Self::Unauthorized => 401,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::MethodNotAllowed => 405,
            Self::RequestTimeout | Self::SlowCaller => 408,
            Self::KeyInProgress | Self::Cancelled => 409,
            Self::OutcomeLost => 410,
            Self::BodyTooLarge | Self::TooLong => 413,
            Self::KeyReused | Self::Suspected => 422,
            Self::AccountBusy => 429,
            Self::HeadTooLarge => 431,
            Self::UpstreamFailed | Self::AnswerLost => 502,
            Self::Overloaded | Self::NoUpstream | Self::StoreUnavailable | Self::NotReady => 503,
        }
    }
}

impl Problem {
    /// A problem whose request certainly did not run.
    pub fn not_run(code: Code, detail: impl Into<String>) -> Self {
        Self::new(code, Execution::NotRun, detail)
    }

    /// A problem with the status of its `code`.
    pub fn new(code: Code, outcome: Execution, detail: impl Into<String>) -> Self {
        Self {
            code,
            outcome,
            status: code.status(),
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Tells the caller when to come back, rounded up to whole seconds and at least one.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay.as_millis().div_ceil(1_000).max(1) as u64);
        self
    }

    /// The JSON body.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}
