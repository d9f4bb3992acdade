//! Health of backend servers as one host saw it.

use crate::{ServerName, ServiceName};
use std::time::Duration;

/// What one host saw of one backend server since its last digest.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerDigest {
    /// The service.
    pub service: ServiceName,
    /// The server.
    pub server: ServerName,
    /// Answers seen.
    pub answers: u32,
    /// Answers that were errors, wrong, or late.
    pub bad: u32,
    /// The median latency of the answers.
    pub median: Duration,
    /// Requests that this host runs on the server now.
    pub in_flight: u32,
    /// Whether the server said that it drains.
    pub draining: bool,
    /// Whether this host has ejected the server.
    pub ejected: bool,
}

/// Health passed between hosts.
#[derive(Clone, Debug, PartialEq)]
pub enum HealthMessage {
    /// What the sender saw lately.
    Digest(Vec<ServerDigest>),
}
