//! Stand-ins for the platform and for backend servers, for tests and examples.

pub mod backend;
mod platform;

pub use platform::{PlatformMode, PlatformService};
