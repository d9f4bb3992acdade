//! Readers of the values that the platform publishes, and the watch that follows them. All access
//! is read-only.

mod address;
mod consul;
mod directory;
mod parse_limit;
mod reader;
mod watch;

pub use address::escape_text;
pub use consul::ConsulReader;
pub use directory::DirectoryReader;
pub use reader::{PlatformError, PlatformReader, PlatformResponse, ReadFuture, reading_client};
pub use watch::{PlatformEvent, TimingSource, WatchTiming, run_watch};
