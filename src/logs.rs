//! Logs: structured on standard output for the gateway, plain text on standard error for other commands.

use carob_logs::Writer;
use env_logger::{Builder, Env};
use log::LevelFilter;

/// Environment variable that overrides the `--log` option, with `env_logger`'s filter syntax.
const FILTER: &str = "CAROBHAVEN_LOG";

/// Starts logging with `filter`, such as `info` or `warn,carob_route=debug`; `structured` lines take a level only.
pub fn start(filter: &str, structured: bool) -> Option<Writer> {
    if structured {
        let level = filter.parse().unwrap_or(LevelFilter::Info);
        return carob_logs::start(level)
            .map_err(|error| eprintln!("carobhaven: no logs: {error}"))
            .ok();
    }
    let env = Env::new().filter_or(FILTER, filter);
    Builder::from_env(env)
        .format_timestamp_millis()
        .format_target(false)
        .init();
    None
}
