//! Logs as JSON lines on standard output.

use eyre::{Result, WrapErr};
use log::LevelFilter;
use log4rs::{
    append::console::ConsoleAppender,
    config::{Appender, Config, Root},
    encode::json::JsonEncoder,
};

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
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .build(Root::builder().appender("console").build(level))
        .wrap_err("the logging can't be configured")?;
    log4rs::init_config(config).wrap_err("the logging can't be started")?;
    Ok(())
}
