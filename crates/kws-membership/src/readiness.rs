//! Whether the load balancer should send requests to this host, and if not, the reason.

use std::fmt;

/// The reason why a host is not ready.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnreadyReason {
    /// The host has no active snapshot yet.
    NoTree,
    /// The peers of the region have not replied yet, or hold a newer revision.
    Joining,
    /// The lease has expired.
    NotCurrent,
    /// The platform's host list marks this host as leaving.
    Leaving,
}

/// The readiness of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Readiness {
    /// The host accepts requests.
    Ready,
    /// The host should get no requests, for the given reason.
    Unready(UnreadyReason),
}

impl Readiness {
    /// Whether the host accepts requests.
    pub fn is_ready(self) -> bool {
        self == Self::Ready
    }
}

impl fmt::Display for Readiness {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Ready => "ready",
            Self::Unready(UnreadyReason::NoTree) => "no_tree",
            Self::Unready(UnreadyReason::Joining) => "joining",
            Self::Unready(UnreadyReason::NotCurrent) => "not_current",
            Self::Unready(UnreadyReason::Leaving) => "leaving",
        })
    }
}
