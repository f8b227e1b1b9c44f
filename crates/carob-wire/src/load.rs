//! An engine's load report, in the Prometheus text format with the metric names that vLLM publishes.

use std::fmt::Write as _;

carob_base::value! {
    /// An engine's load at the time of its report.
    #[derive(Default)]
    pub struct Report {
        /// Start of the engine's process, in milliseconds since 1970; differs after every restart.
        pub incarnation: u64,
        /// Requests in the running batch.
        pub running: u32,
        /// Requests that wait for memory.
        pub waiting: u32,
        /// Tokens of memory in use.
        pub used_tokens: u32,
        /// Tokens of memory in all.
        pub memory_tokens: u32,
        /// Preemptions since the start.
        pub preemptions: u64,
        /// Whether the engine has announced that it is leaving.
        pub leaving: bool,
    }
}

/// The text is no load report.
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
    /// Reads a report; metrics that are not needed are skipped.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] with the first required metric that is missing.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let value = |name: &'static str| metric(text, name);
        let need = |name: &'static str| value(name).ok_or(Error(name));
        let memory = need(MEMORY)?;
        Ok(Self {
            incarnation: (need(START)? * 1e3).round() as u64,
            running: need(RUNNING)? as u32,
            waiting: need(WAITING)? as u32,
            used_tokens: (need(USAGE)? * memory).round() as u32,
            memory_tokens: memory as u32,
            preemptions: value(PREEMPTIONS).unwrap_or(0.0) as u64,
            leaving: value(LEAVING).is_some_and(|flag| flag > 0.0),
        })
    }

    /// The report as text.
    pub fn to_text(&self) -> String {
        let usage = if self.memory_tokens == 0 {
            0.0
        } else {
            f64::from(self.used_tokens) / f64::from(self.memory_tokens)
        };
        let mut text = String::new();
        let mut line =
            |name: &str, value: f64| writeln!(text, "{name} {value}").expect("strings take any text");
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

/// The value of the first sample of `name`, with or without labels.
fn metric(text: &str, name: &str) -> Option<f64> {
    text.lines().find_map(|line| {
        let rest = line.strip_prefix(name)?;
        let sample = rest.starts_with([' ', '{']).then_some(rest)?;
        sample.rsplit(' ').next()?.parse().ok()
    })
}
