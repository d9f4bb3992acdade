//! Logging as JSON lines on standard output. Logging never blocks: lines go through a bounded
//! channel to a writer thread, and lines that find the channel full are counted and dropped.

use crate::log_line::LineEncoder;
use eyre::{Result, WrapErr};
use log::{LevelFilter, Record};
use log4rs::{
    append::Append,
    config::{Appender, Config, Logger, Root},
    encode::{Encode, writer::simple::SimpleWriter},
};
use rustix::io::Errno;
use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
};

/// Capacity of the channel to the writer thread: a few seconds of lines on a busy host.
const MAX_QUEUED_LINES: usize = 1024;

/// Libraries limited to `warn`: at `info` they log internals, and at `trace` whole request heads,
/// which contain API keys.
const NOISY_LIBRARIES: [&str; 7] = [
    "ntex",
    "ntex_dispatcher",
    "ntex_io",
    "ntex_net",
    "ntex_rt",
    "ntex_server",
    "ntex_service",
];

/// Log target of the accept loop of the HTTP library.
const ACCEPT_TARGET: &str = "ntex_server::net::accept";

/// Lines dropped since the start of the process.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Number of log lines dropped since the start of the process, because the channel was full or
/// standard output was closed.
pub(crate) fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Sends lines to the writer thread.
#[derive(Debug)]
struct ChannelAppender {
    channel: SyncSender<Vec<u8>>,
}

impl Append for ChannelAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        if is_closed_listener_error(record) {
            return Ok(());
        }
        let mut line = SimpleWriter(Vec::new());
        LineEncoder.encode(&mut line, record)?;
        if self.channel.try_send(line.0).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Whether the record is the error that the HTTP library logs when the daemon closes its listening
/// socket at a stop.
fn is_closed_listener_error(record: &Record<'_>) -> bool {
    if record.target() != ACCEPT_TARGET {
        return false;
    }
    let error = io::Error::from(Errno::INVAL).to_string();
    record.args().to_string().ends_with(&error)
}

/// Writes lines until the channel is closed or standard output fails.
fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut output = io::stdout().lock();
    while let Ok(line) = lines.recv() {
        let written = output.write_all(&line).and_then(|()| output.flush());
        if written.is_err() {
            // Standard output is closed; lines logged from here on are counted as dropped.
            return;
        }
    }
}

/// Starts logging at `level`, one of `error`, `warn`, `info`, `debug` and `trace`.
///
/// # Errors
/// When the level is unknown, or logging was started before.
pub fn start_logging(level: &str) -> Result<()> {
    let level: LevelFilter = level
        .parse()
        .wrap_err_with(|| format!("unknown log level {level}"))?;
    let (channel, lines) = sync_channel(MAX_QUEUED_LINES);
    thread::Builder::new()
        .name("kws-log".to_owned())
        .spawn(move || write_lines(&lines))
        .wrap_err("failed to spawn the log writer thread")?;
    let appender = ChannelAppender { channel };
    let library_level = level.min(LevelFilter::Warn);
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(appender)))
        .loggers(NOISY_LIBRARIES.map(|library| Logger::builder().build(library, library_level)))
        .build(Root::builder().appender("console").build(level))
        .wrap_err("failed to configure logging")?;
    log4rs::init_config(config).wrap_err("failed to start logging")?;
    Ok(())
}
