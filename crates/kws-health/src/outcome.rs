//! Observations of backend servers by the forwarder and by health checks.

/// The outcome of one try at a backend server, as far as it concerns the server's health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseOutcome {
    /// The connection could not be made, or was lost before the response was complete.
    ConnectFailed,
    /// The server responded with an error of its own (a 5xx status).
    Failed,
    /// The response was complete and passed the route's checks.
    Succeeded,
    /// No complete response arrived within the deadline.
    TimedOut,
    /// The server responded that it didn't run the request: a sign of load, not of a failure.
    NotRun,
    /// The response was complete but failed the route's checks.
    Invalid,
}

impl ResponseOutcome {
    /// Whether the outcome counts as a failure of the server.
    pub fn is_failure(self) -> bool {
        matches!(
            self,
            Self::ConnectFailed | Self::Failed | Self::TimedOut | Self::Invalid
        )
    }
}

/// A report of a server's health and load endpoints: a weak signal that decays with its age.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Whether the endpoint reports the server as healthy.
    pub healthy: bool,
    /// The share of the server's slots in use, between 0 and 1.
    pub load: f64,
}
