//! The requests that the dispatcher accepts and the actions that it returns.

use kws_protocol::{RefusalReason, ServerName, ServiceName, TeamName, TryKind};
use std::net::SocketAddr;
use tokio::time::Instant;

/// Identifies one try of one request. The caller assigns it and never reuses it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TicketId(pub u64);

/// A request for a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchRequest {
    /// Identifies the try.
    pub ticket: TicketId,
    /// The service to send it to.
    pub service: ServiceName,
    /// The team that sent it. Requests without a key on open routes share one name.
    pub team: TeamName,
    /// The team's share in the queue relative to other teams, above 0.
    pub weight: f64,
    /// When the response must be complete.
    pub deadline: Instant,
    /// When a response stops being of full use to the caller; `None` if the route doesn't say.
    pub objective: Option<Instant>,
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// Whether it may be executed more than once.
    pub repeatable: bool,
    /// What the try is for.
    pub kind: TryKind,
    /// Expected size of request and response together, in bytes; charged to the spill budget.
    pub bytes: u64,
    /// Share of the route's latest requests on the host that were not served, between 0 and 1.
    pub unserved_share: f64,
    /// Servers to avoid while others are available. A hedge excludes the server of the first try.
    pub excluded: Vec<ServerName>,
}

/// The server selected for a ticket. The caller must check the key and the lease again before it
/// sends the request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerGrant {
    /// The ticket.
    pub ticket: TicketId,
    /// The server.
    pub server: ServerName,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// Whether the request probes an ejected server.
    pub probe: bool,
    /// Whether the request leaves the host's region.
    pub spill: bool,
}

/// An action that the caller of [`Dispatcher`](crate::Dispatcher) carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DispatchAction {
    /// Send the request. It counts as in flight until it is completed, retried or cancelled.
    Grant(ServerGrant),
    /// Refuse the request. This try was not sent, and the dispatcher no longer tracks its ticket.
    Refuse {
        /// The ticket.
        ticket: TicketId,
        /// Why it is refused.
        reason: RefusalReason,
    },
}

/// How a granted ticket ended, as far as it concerns the server's concurrency limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TicketOutcome {
    /// The server responded.
    Responded,
    /// The try ended without a response.
    NoResponse,
    /// The server reported that it did not execute the request.
    NotRun,
}
