//! Log output: JSON lines on standard output for the gateway, plain text on standard error for other
//! commands.

use carob_logs::Writer;
use env_logger::{Builder, Env};
use log::LevelFilter;

/// Environment variable that overrides `--log` for plain-text logs, in the filter syntax of `env_logger`.
const FILTER_VAR: &str = "CAROBHAVEN_LOG";

/// Starts logging with `filter`, such as `info` or `warn,carob_route=debug`.
///
/// Structured logging accepts only a level and falls back to `info` for anything else. Returns its writer,
/// which must be closed before the process exits; plain-text logging, or a writer that cannot start, returns
/// `None`.
pub fn start(filter: &str, structured: bool) -> Option<Writer> {
    if structured {
        let level = filter.parse().unwrap_or(LevelFilter::Info);
        return carob_logs::start(level)
            .map_err(|error| eprintln!("carobhaven: no logs: {error}"))
            .ok();
    }
    let env = Env::new().filter_or(FILTER_VAR, filter);
    Builder::from_env(env)
        .format_timestamp_millis()
        .format_target(false)
        .init();
    None
}
