//! Reasons for refusing or retrying a request, and whether the request ran.

use serde::{Deserialize, Serialize};

/// Whether a request that the daemon refused may have run on a backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl RunState {
    /// Returns the value of the `knapweedseam-run` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not run",
            Self::Unknown => "unknown",
        }
    }
}

/// Reason for which the daemon refused a request, that is, generated the response itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The response was truncated or invalid, and its head had not been forwarded yet.
    BadAnswer,
    /// The request is malformed or ambiguous.
    BadRequest,
    /// The request body exceeds the route's limit.
    BodyTooLarge,
    /// The request could not have completed within its deadline and was not started.
    DeadlineEarly,
    /// The deadline passed after the request was sent.
    DeadlinePassed,
    /// The connection to the backend server was lost after the request was sent.
    ConnectionLost,
    /// The request head exceeds the limit.
    HeadTooLarge,
    /// The API key is unknown or revoked.
    KeyUnknown,
    /// The route requires an API key and the request has none.
    KeyMissing,
    /// The request has more than one API key.
    KeyTwice,
    /// No backend server could be reached.
    NoServer,
    /// This host's lease has expired.
    NotCurrent,
    /// The service's queue on this host is full.
    QueueFull,
    /// The team exceeds its rate or burst.
    RateExceeded,
    /// The service's retry budget is exhausted, so the failure of the previous try is final.
    RetryBudget,
    /// The route or its service changed while the request waited.
    RouteChanged,
    /// No route matches the request.
    RouteUnknown,
    /// The host is shutting down.
    Stopping,
    /// The team is not allowed to use the route.
    TeamForbidden,
}

impl RefusalReason {
    /// All reasons, in declaration order.
    pub const ALL: [Self; 19] = [
        Self::BadAnswer,
        Self::BadRequest,
        Self::BodyTooLarge,
        Self::DeadlineEarly,
        Self::DeadlinePassed,
        Self::ConnectionLost,
        Self::HeadTooLarge,
        Self::KeyUnknown,
        Self::KeyMissing,
        Self::KeyTwice,
        Self::NoServer,
        Self::NotCurrent,
        Self::QueueFull,
        Self::RateExceeded,
        Self::RetryBudget,
        Self::RouteChanged,
        Self::RouteUnknown,
        Self::Stopping,
        Self::TeamForbidden,
    ];

    /// Returns the machine-readable name used in responses, metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadAnswer => "bad_answer",
            Self::BadRequest => "bad_request",
            Self::BodyTooLarge => "body_too_large",
            Self::DeadlineEarly => "deadline_early",
            Self::DeadlinePassed => "deadline_passed",
            Self::ConnectionLost => "connection_lost",
            Self::HeadTooLarge => "head_too_large",
            Self::KeyUnknown => "key_unknown",
            Self::KeyMissing => "key_missing",
            Self::KeyTwice => "key_twice",
            Self::NoServer => "no_server",
            Self::NotCurrent => "not_current",
            Self::QueueFull => "queue_full",
            Self::RateExceeded => "rate_exceeded",
            Self::RetryBudget => "retry_budget",
            Self::RouteChanged => "route_changed",
            Self::RouteUnknown => "route_unknown",
            Self::Stopping => "stopping",
            Self::TeamForbidden => "team_forbidden",
        }
    }

    /// Returns the HTTP status code of the refusal.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::KeyTwice => 400,
            Self::KeyMissing | Self::KeyUnknown => 401,
            Self::TeamForbidden => 403,
            Self::RouteUnknown => 404,
            Self::BodyTooLarge => 413,
            Self::RateExceeded => 429,
            Self::HeadTooLarge => 431,
            Self::BadAnswer | Self::ConnectionLost => 502,
            Self::DeadlineEarly
            | Self::NoServer
            | Self::NotCurrent
            | Self::QueueFull
            | Self::RetryBudget
            | Self::RouteChanged
            | Self::Stopping => 503,
            Self::DeadlinePassed => 504,
        }
    }
}

/// Reason for which a request was sent again.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryReason {
    /// The response was truncated or invalid.
    BadAnswer,
    /// The connection could not be established, so nothing was sent.
    ConnectFailed,
    /// The connection was lost after the request was sent.
    ConnectionLost,
    /// No response arrived within the hedge delay.
    Hedge,
    /// The backend server responded with a server error.
    ServerError,
    /// The backend server signalled that it did not run the request.
    ServerNotRun,
}

impl RetryReason {
    /// All reasons, in declaration order.
    pub const ALL: [Self; 6] = [
        Self::BadAnswer,
        Self::ConnectFailed,
        Self::ConnectionLost,
        Self::Hedge,
        Self::ServerError,
        Self::ServerNotRun,
    ];

    /// Returns the machine-readable name used in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadAnswer => "bad_answer",
            Self::ConnectFailed => "connect_failed",
            Self::ConnectionLost => "connection_lost",
            Self::Hedge => "hedge",
            Self::ServerError => "server_error",
            Self::ServerNotRun => "server_not_run",
        }
    }
}
