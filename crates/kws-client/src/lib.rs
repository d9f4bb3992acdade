//! The operators' commands.

mod check;
mod client;
mod completions;
mod diff;
mod exit;
mod explain;
mod key;
mod output;
mod replay;
mod status;
mod table;

pub use client::run_client;
pub use exit::ExitStatus;
