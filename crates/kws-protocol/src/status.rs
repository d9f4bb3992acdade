//! What a daemon tells operators about itself.

use crate::{CenterName, HostName, RegionName, ServerName, ServiceName, TreeRevision};
use serde::{Deserialize, Serialize};

/// One backend server as a daemon sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServerStatus {
    /// The service.
    pub service: ServiceName,
    /// The server.
    pub server: ServerName,
    /// Its share of a whole server's weight, between 0 and 1.
    pub weight: f64,
    /// Why it gets less than its whole weight.
    pub state: String,
}

/// The answer of `/status`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StatusReport {
    /// The host, unique to this life of the daemon.
    pub host: HostName,
    /// Its region.
    pub region: RegionName,
    /// Its data centre.
    pub center: CenterName,
    /// The version of the daemon.
    pub version: String,
    /// Seconds since the daemon started.
    pub uptime_seconds: u64,
    /// The revision in force; 0 before the first.
    pub revision: TreeRevision,
    /// Whether the lease holds.
    pub current: bool,
    /// Whether the balancer should send requests.
    pub ready: bool,
    /// Why it isn't ready; empty otherwise.
    pub reason: String,
    /// Entry hosts listed in this region.
    pub listed_hosts: usize,
    /// The backend servers.
    pub servers: Vec<ServerStatus>,
}
