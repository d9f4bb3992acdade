//! Metrics, readiness and status, served on the admin address.

mod listener;
mod metrics;

pub use listener::{AdminView, run_admin};
pub use metrics::{FleetMetrics, PlatformResult, RequestRecord};
