//! Health of backend servers as observed by one host.

use crate::{ServerName, ServiceName};
use std::time::Duration;

/// Observations of one backend server by one host since its previous report.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthReport {
    /// Service of the server.
    pub service: ServiceName,
    /// Server observed.
    pub server: ServerName,
    /// Number of responses observed.
    pub responses: u32,
    /// Number of those responses that were errors, failed the route's checks or came late.
    pub failures: u32,
    /// Median latency of the responses.
    pub median_latency: Duration,
    /// Number of requests that this host currently has in flight on the server.
    pub in_flight: u32,
    /// Whether the server has signalled that it is draining.
    pub draining: bool,
    /// Whether this host has ejected the server.
    pub ejected: bool,
}

/// Messages that share server health between hosts.
#[derive(Clone, Debug, PartialEq)]
pub enum HealthMessage {
    /// Recent observations of the sender, one entry for each server.
    Reports(Vec<HealthReport>),
}
