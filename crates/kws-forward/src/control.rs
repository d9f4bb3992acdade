//! Interface between request forwarding and the components that make its decisions.

use crate::routing::RoutingView;
use futures_util::future::BoxFuture;
use kws_protocol::{
    RefusalReason, RetryReason, RouteName, RunState, ServerName, ServiceName, TeamName,
    TreeRevision, TryKind,
};
use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::Instant;

/// The refusal of a request, with the delay after which a retry may succeed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// The value of `retry-after`, if known.
    pub retry_after: Option<Duration>,
}

impl From<RefusalReason> for Refusal {
    fn from(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }
}

/// A request for a slot of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerRequest {
    /// The request identifier, for the log.
    pub request_id: String,
    /// The service that handles the request.
    pub service: ServiceName,
    /// The team; `None` on open routes.
    pub team: Option<TeamName>,
    /// The deadline of the request.
    pub deadline: Instant,
    /// When a response stops being of full use to the caller; `None` if the route doesn't say.
    pub objective: Option<Instant>,
    /// The priority of the request; 0 is the highest.
    pub priority: u32,
    /// Whether the request may be executed more than once.
    pub repeatable: bool,
    /// What the try is for.
    pub kind: TryKind,
    /// Expected size of the response, in bytes.
    pub response_bytes: u64,
    /// Share of the route's latest requests on this host that were not served, between 0 and 1.
    pub unserved_share: f64,
    /// Servers that earlier tries of this request used; they are not granted again.
    pub excluded: BTreeSet<ServerName>,
}

/// Identifies a granted slot until [`ForwardControl::finish`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct GrantTicket(pub u64);

/// A slot granted on a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerGrant {
    /// The backend server.
    pub server: ServerName,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The identifier of the slot.
    pub ticket: GrantTicket,
    /// Whether the request probes a server that failed lately.
    pub probe: bool,
}

/// How a try ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TryClass {
    /// A complete response that passes the route's checks and is not a server error.
    Succeeded,
    /// A server error, a malformed or invalid response, or a lost connection.
    Failed,
    /// No complete response before the timeout.
    TimedOut,
    /// The connection could not be established.
    ConnectFailed,
    /// The server reported that it did not execute the request.
    NotRun,
    /// A different server responded at the address and reported that it did not execute the
    /// request.
    Misdirected,
    /// The caller disconnected, or the daemon cancelled the try.
    Cancelled,
}

/// The outcome of a try, reported when its slot is released.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TryOutcome {
    /// The time from the start of the try to the response head, or to its end without a response.
    pub latency: Duration,
    /// How the try ended.
    pub class: TryClass,
    /// Whether the server reported that it is draining.
    pub draining: bool,
    /// The status of the server's response; 0 if there was none.
    pub status: u16,
}

impl TryOutcome {
    /// The outcome of a grant whose requester was already gone.
    pub const CANCELLED: Self = Self {
        latency: Duration::ZERO,
        class: TryClass::Cancelled,
        draining: false,
        status: 0,
    };
}

/// What an extra response is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExtraResponseKind {
    /// It has the id of an earlier request on the connection and came where a later response was
    /// expected.
    Copy,
    /// It came while no response was expected, so that its head was not read.
    Unexpected,
}

impl ExtraResponseKind {
    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Copy => "copy",
            Self::Unexpected => "unexpected",
        }
    }
}

/// A response that a backend server sent without a request for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExtraResponse {
    /// What it is.
    pub kind: ExtraResponseKind,
    /// The server's address.
    pub server: SocketAddr,
    /// The id of the request that it was a response to; for an unexpected one, of the last request on
    /// the connection.
    pub request_id: String,
    /// The id of the request whose response was expected, if any.
    pub expected_id: Option<String>,
    /// Its status; 0 if its head was not read.
    pub status: u16,
}

/// Whether a retry is allowed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPermission {
    /// The request may be retried.
    Granted,
    /// No retry; the caller gets a response.
    Denied,
}

/// How the handling of a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AccessOutcome {
    /// A response head was sent to the caller.
    Responded,
    /// The caller disconnected before a response was sent.
    CallerDisconnected,
}

/// The access log record of a request; it never contains a key, a query or a cookie.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AccessRecord {
    /// The identifier that the daemon gave the request.
    pub request_id: String,
    /// The caller's address.
    pub caller: Option<SocketAddr>,
    /// The method.
    pub method: String,
    /// The path without its query.
    pub path: String,
    /// The matched route, if any.
    pub route: Option<RouteName>,
    /// The authenticated team, if any.
    pub team: Option<TeamName>,
    /// The selected service, if any.
    pub service: Option<ServiceName>,
    /// The request's total time limit; `None` when no route was found.
    pub time_limit: Option<Duration>,
    /// The revision of the settings that were first applied to the request.
    pub revision: Option<TreeRevision>,
    /// The time spent waiting for a joining host's settings and for a token.
    pub token_wait: Duration,
    /// The total wait: `token_wait` plus the time in the queue for slots.
    pub waited: Duration,
    /// The server of the last try.
    pub server: Option<ServerName>,
    /// How the handling ended.
    pub outcome: AccessOutcome,
    /// The status sent to the caller; 0 when the caller disconnected before the response.
    pub status: u16,
    /// Why the daemon generated the response itself, if it did.
    pub refusal: Option<RefusalReason>,
    /// What the response says of whether the request was executed; `None` unless the daemon
    /// generated the response itself.
    pub run: Option<RunState>,
    /// The number of tries.
    pub tries: u32,
    /// The reasons for the retries, in order.
    pub retry_reasons: Vec<RetryReason>,
    /// The time from the request head to the response head, or to the caller's disconnect.
    pub latency: Duration,
}

/// Makes the decisions on requests: admission, placement, retries and records.
///
/// Futures may be dropped at any await point: an implementation must release whatever a cancelled
/// call had reserved.
pub trait ForwardControl: Send + Sync {
    /// Returns the active settings; `None` until the first tree has been loaded.
    fn view(&self) -> Option<Arc<RoutingView>>;

    /// Whether this host's lease is currently valid.
    fn is_current(&self) -> bool;

    /// Whether this host has just started and is still loading the settings, so that it is expected
    /// to become current soon.
    fn is_joining(&self) -> bool {
        false
    }

    /// Takes a token of the team for the request with this identifier.
    fn admit(&self, request_id: &str, team: &TeamName) -> BoxFuture<'static, Result<(), Refusal>>;

    /// Waits for a slot of a backend server.
    fn acquire(&self, request: ServerRequest) -> BoxFuture<'static, Result<ServerGrant, Refusal>>;

    /// Takes a retry from the retry budget of `service`.
    ///
    /// Called only if the route's limit of tries and the at-most-once rule allow another try.
    fn retry(&self, service: &ServiceName) -> RetryPermission;

    /// Releases a granted slot; called exactly once for each grant.
    fn finish(&self, ticket: GrantTicket, outcome: TryOutcome);

    /// Counts a refused request by its reason.
    fn count_refusal(&self, reason: RefusalReason);

    /// Counts a retry by its reason.
    fn count_retry(&self, reason: RetryReason);

    /// Counts and logs a response that belongs to no request in flight.
    fn record_extra_response(&self, extra: &ExtraResponse);

    /// Writes a request to the access log.
    fn record_access(&self, record: AccessRecord);
}
