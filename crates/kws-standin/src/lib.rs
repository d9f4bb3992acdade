//! Stand-ins for the platform, backend servers and callers, for tests and examples.

pub mod backend;
pub mod caller;
mod platform;

pub use platform::{PlatformMode, PlatformService};
