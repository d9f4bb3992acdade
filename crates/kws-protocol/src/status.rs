//! The status that a daemon reports to operators.

use crate::{CenterName, HostName, RegionName, ServerName, ServiceName, TreeRevision};
use serde::{Deserialize, Serialize};

/// State of a backend server as seen by one daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServerStatus {
    /// Service of the server.
    pub service: ServiceName,
    /// Name of the server.
    pub server: ServerName,
    /// Current fraction of the full weight, between 0 and 1.
    pub weight: f64,
    /// State that accounts for a reduced weight.
    pub state: String,
}

/// Response of `/status`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StatusReport {
    /// Name of the host, unique to this run of the daemon.
    pub host: HostName,
    /// Region of the host.
    pub region: RegionName,
    /// Data centre of the host.
    pub center: CenterName,
    /// Version of the daemon.
    pub version: String,
    /// Time since the daemon started, in seconds.
    pub uptime_seconds: u64,
    /// Active revision; 0 before the first one.
    #[serde(flatten)]
    pub revision: TreeRevision,
    /// Whether the lease is valid.
    pub current: bool,
    /// Whether the load balancer should send requests to this host.
    pub ready: bool,
    /// Reason for not being ready; empty if ready.
    pub reason: String,
    /// Number of entry hosts listed in this region.
    pub listed_hosts: usize,
    /// State of the backend servers.
    pub servers: Vec<ServerStatus>,
}
