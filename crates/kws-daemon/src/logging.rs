//! Logs as JSON lines on standard output.

use eyre::{Result, WrapErr};
use log::LevelFilter;
use log4rs::{
    append::console::ConsoleAppender,
    config::{Appender, Config, Logger, Root},
    encode::json::JsonEncoder,
};

/// Libraries that tell at `info` what only their developers need, and at `trace` whole request heads
/// with their keys.
const QUIET_LIBRARIES: [&str; 7] = [
    "ntex",
    "ntex_dispatcher",
    "ntex_io",
    "ntex_net",
    "ntex_rt",
    "ntex_server",
    "ntex_service",
];

/// Starts logging at `level`, one of `error`, `warn`, `info`, `debug` and `trace`.
///
/// # Errors
/// When the level is unknown, or logging was started before.
pub fn start_logging(level: &str) -> Result<()> {
    let level: LevelFilter = level
        .parse()
        .wrap_err_with(|| format!("unknown log level {level}"))?;
    let console = ConsoleAppender::builder()
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    let quiet = level.min(LevelFilter::Warn);
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .loggers(QUIET_LIBRARIES.map(|library| Logger::builder().build(library, quiet)))
        .build(Root::builder().appender("console").build(level))
        .wrap_err("the logging can't be configured")?;
    log4rs::init_config(config).wrap_err("the logging can't be started")?;
    Ok(())
}
