//! Logs on standard error: one line each, with the time, the level and the prefix of the part that wrote it.

use env_logger::{Builder, Env};

/// Environment variable that overrides the `--log` option, with `env_logger`'s filter syntax.
const FILTER: &str = "CAROBHAVEN_LOG";

/// Starts logging with `filter`, such as `info` or `warn,carob_route=debug`.
pub fn start(filter: &str) {
    let env = Env::new().filter_or(FILTER, filter);
    Builder::from_env(env)
        .format_timestamp_millis()
        .format_target(false)
        .init();
}
