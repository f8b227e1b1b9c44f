//! An engine's load report, in the Prometheus text format with the metric names of vLLM.

use std::fmt::Write as _;

carob_base::value! {
    /// An engine's load at the time of its report.
    #[derive(Default)]
    pub struct Report {
        /// Start time of the engine's process, in milliseconds since 1970. It differs after every restart.
        pub incarnation: u64,
        /// Number of requests in the running batch.
        pub running: u32,
        /// Number of requests that wait for memory.
        pub waiting: u32,
        /// KV-cache memory in use, in tokens.
        pub used_tokens: u32,
        /// Total KV-cache memory, in tokens.
        pub memory_tokens: u32,
        /// Number of preemptions since the start; 0 if the engine does not report it.
        pub preemptions: u64,
        /// Whether the engine has announced that it is leaving; false if it does not report it.
        pub leaving: bool,
    }
}

/// The load report lacks this required metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the load report lacks {0}")]
pub struct Error(pub &'static str);

const START: &str = "process_start_time_seconds";
const RUNNING: &str = "vllm:num_requests_running";
const WAITING: &str = "vllm:num_requests_waiting";
const USAGE: &str = "vllm:kv_cache_usage_perc";
const MEMORY: &str = "vllm:kv_cache_tokens";
const PREEMPTIONS: &str = "vllm:num_preemptions_total";
const LEAVING: &str = "engine_leaving";

impl Report {
    /// Parses a report. Other metrics are skipped.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] with the first required metric that is missing or not a number.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let value = |name: &'static str| metric(text, name);
        let require = |name: &'static str| value(name).ok_or(Error(name));
        let memory = require(MEMORY)?;
        Ok(Self {
            incarnation: (require(START)? * 1e3).round() as u64,
            running: require(RUNNING)? as u32,
            waiting: require(WAITING)? as u32,
            used_tokens: (require(USAGE)? * memory).round() as u32,
            memory_tokens: memory as u32,
            preemptions: value(PREEMPTIONS).unwrap_or(0.0) as u64,
            leaving: value(LEAVING).is_some_and(|flag| flag > 0.0),
        })
    }

    /// Formats the report.
    pub fn to_text(&self) -> String {
        let usage = if self.memory_tokens == 0 {
            0.0
        } else {
            f64::from(self.used_tokens) / f64::from(self.memory_tokens)
        };
        let mut text = String::new();
        let mut line = |name: &str, value: f64| {
            writeln!(text, "{name} {value}").expect("writing to a string cannot fail");
        };
        line(START, self.incarnation as f64 / 1e3);
        line(RUNNING, f64::from(self.running));
        line(WAITING, f64::from(self.waiting));
        line(USAGE, usage);
        line(MEMORY, f64::from(self.memory_tokens));
        line(PREEMPTIONS, self.preemptions as f64);
        line(LEAVING, f64::from(u8::from(self.leaving)));
        text
    }
}

/// The value of the first sample of the metric `name`, with or without labels.
fn metric(text: &str, name: &str) -> Option<f64> {
    text.lines().find_map(|line| {
        let rest = line.strip_prefix(name)?;
        let sample = rest.starts_with([' ', '{']).then_some(rest)?;
        sample.rsplit(' ').next()?.parse().ok()
    })
}
