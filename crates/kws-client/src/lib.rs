//! The operators' commands.

mod check;
mod client;
mod completions;
mod diff;
mod exit;
mod explain;
mod explain_request;
mod key;
mod log_event;
mod output;
mod replay;
mod request_cause;
mod status;
mod table;

pub use client::run_client;
pub use exit::ExitStatus;
