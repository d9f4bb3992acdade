//! How a host may use a backend server.

use kws_protocol::{ServerName, ServiceName};
use tokio::time::Instant;

/// Why a server gets no regular requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnavailableReason {
    /// The server announced to this host or to a peer that it is draining.
    Draining,
    /// The server is ejected, or is probed after an ejection.
    Ejected,
    /// The platform's list marks the server as leaving.
    Leaving,
    /// The tree does not contain the server.
    Unlisted,
}

/// How a host may use one backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerAvailability {
    /// The share of its slots that may be used, between 0 and 1; below 1 during warm-up.
    pub weight: f64,
    /// Whether the server may get one repeatable request at a time, as a probe.
    pub probe_only: bool,
    /// Why the server gets no regular requests; `None` if it is in service.
    pub unavailable: Option<UnavailableReason>,
    /// Added to the requests in flight when servers are compared, in requests.
    pub penalty: f64,
}

impl ServerAvailability {
    /// A server in service at full weight.
    pub const FULL: Self = Self {
        weight: 1.0,
        probe_only: false,
        unavailable: None,
        penalty: 0.0,
    };

    /// A server that gets no requests, not even probes.
    pub fn unavailable(reason: UnavailableReason) -> Self {
        Self {
            weight: 0.0,
            probe_only: false,
            unavailable: Some(reason),
            penalty: 0.0,
        }
    }
}

/// The interface by which the dispatcher learns how servers may be used.
pub trait AvailabilitySource {
    /// How `server` of `service` may be used at `now`.
    fn availability(
        &self,
        service: &ServiceName,
        server: &ServerName,
        now: Instant,
    ) -> ServerAvailability;
}
