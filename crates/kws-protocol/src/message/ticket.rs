//! Requests for slots on backend servers and for tokens of teams, sent to the host that manages
//! them.

use crate::{CenterName, RefusalReason, ServerName, ServiceName, TeamName};
use std::{net::SocketAddr, time::Duration};

/// What a try of a request is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TryKind {
    /// The first try.
    First,
    /// Replaces a try that reached no server; charged to no budget.
    Replacement,
    /// Follows a try that a server got; charged to the retry budget.
    Retry,
}

/// A request for a slot, sent to the host that places requests for the service.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotRequest {
    /// Identifier of the request, assigned by the requesting host and never reused.
    pub ticket: u64,
    /// Service that runs the request.
    pub service: ServiceName,
    /// Data centre of the requesting host.
    pub center: CenterName,
    /// Team of the caller; empty on open routes.
    pub team: TeamName,
    /// Weight of the team under contention for the service, above 0.
    pub weight: f64,
    /// Priority of the request; 0 is the highest.
    pub priority: u32,
    /// Time left until the response must be complete.
    pub remaining: Duration,
    /// Time left until a response stops being of full use to the caller; `None` if unknown.
    pub objective: Option<Duration>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Expected size of the request and its response, in bytes.
    pub expected_bytes: u64,
    /// Share of the route's latest requests on the requesting host that were not served, between 0
    /// and 1.
    pub unserved_share: f64,
    /// Servers used by earlier tries of the request.
    pub excluded: Vec<ServerName>,
    /// What the try is for.
    pub kind: TryKind,
}

/// A slot granted to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SlotGrant {
    /// Server that runs the request.
    pub server: ServerName,
    /// Address of the server.
    pub address: SocketAddr,
    /// Whether the request probes a server that failed lately.
    pub probe: bool,
}

/// Outcome of a try, reported to the host that placed it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotOutcome {
    /// A complete response that satisfies the route's checks.
    Succeeded,
    /// A server error, an incomplete or invalid response, or a lost connection.
    Failed,
    /// No response in time.
    TimedOut,
    /// The connection could not be established.
    ConnectFailed,
    /// The server signalled that it did not run the request.
    NotRun,
    /// The server responded that it is not the one that the request was addressed to.
    Misdirected,
    /// The caller disconnected.
    Cancelled,
}

/// Load and failure evidence of a server, as known to the host that places requests on it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerLoad {
    /// Server described.
    pub server: ServerName,
    /// Number of running requests that the sender placed on the server.
    pub placed: u32,
    /// Evidence that the server is failing, as a sum of log-likelihood ratios.
    pub evidence: f64,
}

/// On whose behalf a host requests a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenRequestKind {
    /// The requesting host manages the team's tokens in its own region, has none left, and asks another
    /// region for a loan.
    Loan,
    /// A request of its own.
    Own,
    /// A request of another host, which is not passed on again.
    Passed,
}

/// Messages between the hosts that serve requests and the hosts that grant slots and tokens.
#[derive(Clone, Debug, PartialEq)]
pub enum TicketMessage {
    /// Requests a slot; retransmitted until a reply arrives.
    RequestSlot(SlotRequest),
    /// The request is queued at the sender.
    Queued {
        /// Identifier of the request.
        ticket: u64,
    },
    /// Grants a slot.
    Grant {
        /// Identifier of the request.
        ticket: u64,
        /// The granted slot.
        grant: SlotGrant,
    },
    /// Refuses the request: no slot in time.
    Refuse {
        /// Identifier of the request.
        ticket: u64,
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Time after which another attempt may succeed.
        retry_after: Option<Duration>,
    },
    /// A granted or queued request ended.
    Finished {
        /// Identifier of the request.
        ticket: u64,
        /// Service that runs the request.
        service: ServiceName,
        /// Server that the request was sent to; `None` if it was not sent.
        server: Option<ServerName>,
        /// Outcome of the try.
        outcome: SlotOutcome,
        /// Time from the start of the try to the response head, or to the end of the try.
        latency: Duration,
        /// Whether the server signalled that it is draining.
        draining: bool,
    },
    /// Lists the requests granted by the receiver that still run. A request that is not listed for
    /// a while is taken to have ended.
    Running {
        /// Identifiers of the requests.
        tickets: Vec<u64>,
    },
    /// Reports the servers of a service that are in use or suspected of failing, as known to the
    /// host that places requests for it.
    Loads {
        /// Service of the servers.
        service: ServiceName,
        /// Loads of these servers.
        loads: Vec<ServerLoad>,
    },
    /// Requests a token of a team.
    RequestToken {
        /// Identifier of the token request, assigned by the requesting host.
        id: u64,
        /// Team that owns the token.
        team: TeamName,
        /// On whose behalf it is requested.
        kind: TokenRequestKind,
        /// Tokens of the team that the requesting host has granted without owning them, and that no owner
        /// has charged yet.
        owed: u32,
    },
    /// Reply to [`TicketMessage::RequestToken`].
    TokenReply {
        /// Identifier of the token request.
        id: u64,
        /// `None` if the token is granted; otherwise the time after which one may be available.
        retry_after: Option<Duration>,
    },
}
