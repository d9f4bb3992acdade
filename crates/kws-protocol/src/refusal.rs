//! Why a request is refused or tried again, and whether it ran.

use serde::{Deserialize, Serialize};

/// What the daemon knows of a request that it answers by itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl RunState {
    /// The text of the `knapweedseam-run` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not run",
            Self::Unknown => "unknown",
        }
    }
}

/// Why the daemon answered a request by itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The answer broke off or broke a rule before its head was sent on.
    BadAnswer,
    /// The request is malformed or ambiguous.
    BadRequest,
    /// The request's body is larger than the route allows.
    BodyTooLarge,
    /// The request could not be served within its deadline, and was not started.
    DeadlineEarly,
    /// The deadline passed after the request was sent.
    DeadlinePassed,
    /// The connection to the backend server was lost after the request was sent.
    ConnectionLost,
    /// The request's head is larger than allowed.
    HeadTooLarge,
    /// The key is unknown or withdrawn.
    KeyUnknown,
    /// The route needs a key and none came.
    KeyMissing,
    /// More than one key came.
    KeyTwice,
    /// No backend server could be reached.
    NoServer,
    /// This host's lease has run out.
    NotCurrent,
    /// The service's queue on this host is full.
    QueueFull,
    /// The team is over its rate or burst.
    RateExceeded,
    /// The service's retry budget is spent; the try before this one is what there is to tell.
    RetryBudget,
    /// The route or its service changed while the request waited.
    RouteChanged,
    /// No route serves the request.
    RouteUnknown,
    /// The host is stopping.
    Stopping,
    /// The team may not use the route.
    TeamForbidden,
}

impl RefusalReason {
    /// Every reason, in the order of the enum.
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

    /// The machine-readable text, used in answers, metrics and logs.
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

    /// The HTTP status of the refusal.
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

/// Why a request was sent a second time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryReason {
    /// The answer broke off or broke a rule.
    BadAnswer,
    /// The connection could not be made, so nothing was sent.
    ConnectFailed,
    /// The connection was lost after the request was sent.
    ConnectionLost,
    /// No answer came within the hedge delay.
    Hedge,
    /// The backend server answered with an error of its own.
    ServerError,
    /// The backend server said that it did not run the request.
    ServerNotRun,
}

impl RetryReason {
    /// Every reason, in the order of the enum.
    pub const ALL: [Self; 6] = [
        Self::BadAnswer,
        Self::ConnectFailed,
        Self::ConnectionLost,
        Self::Hedge,
        Self::ServerError,
        Self::ServerNotRun,
    ];

    /// The machine-readable text, used in metrics and logs.
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
