//! What goes into the dispatcher and what comes out.

use kws_protocol::{RefusalReason, ServerName, ServiceName, TeamName};
use std::net::SocketAddr;
use tokio::time::Instant;

/// One try of one request, numbered by the caller; never used twice.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TicketId(pub u64);

/// A request that wants a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchRequest {
    /// Its number.
    pub ticket: TicketId,
    /// The service that runs it.
    pub service: ServiceName,
    /// The team it runs for; requests of open routes without a key share one name.
    pub team: TeamName,
    /// The team's weight at a contended service, above 0.
    pub weight: f64,
    /// When its answer must be whole.
    pub deadline: Instant,
    /// Its rank, 0 the highest.
    pub priority: u32,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether it is a try after the first.
    pub repeat: bool,
    /// The bytes that it is expected to move, counted against the spill budget.
    pub bytes: u64,
    /// Servers to avoid while others can serve: a hedge names the server of its first try.
    pub excluded: Vec<ServerName>,
}

/// A server for one ticket. The caller checks key and lease once more before it sends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerGrant {
    /// The ticket.
    pub ticket: TicketId,
    /// The server.
    pub server: ServerName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether the request serves as a trial of an ejected server.
    pub trial: bool,
    /// Whether the request leaves the host's region.
    pub spill: bool,
}

/// What the caller has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DispatchAction {
    /// Send the request. The ticket counts as in flight until completed, retried or cancelled.
    Grant(ServerGrant),
    /// Refuse the request; the dispatcher has forgotten the ticket. It was not sent by this ticket.
    Refuse {
        /// The ticket.
        ticket: TicketId,
        /// Why.
        reason: RefusalReason,
    },
}

/// How a granted ticket ended, as far as the server's room is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TicketEnd {
    /// The server answered.
    Answered,
    /// The try failed in any other way.
    Failed,
    /// The server said that it did not run the request.
    Shed,
}
