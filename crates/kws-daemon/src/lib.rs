//! The daemon: threads connected by bounded channels.

mod access;
mod admin;
mod checker;
mod control;
mod daemon;
mod dispatch;
mod fleet;
mod ledger;
mod log_line;
mod logging;
mod options;
mod peers;
mod placement;
mod platform;
mod shared;
mod shared_instant;
mod suspend;
mod threads;
mod tokens;
mod try_log;

pub use daemon::{RunningDaemon, start_daemon};
pub use logging::start_logging;
pub use options::{DaemonOptions, OptionsError, load_options};
