//! Metrics, readiness and status.
