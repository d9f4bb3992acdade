//! Whether the balancer should send requests to this host, and why not.

use std::fmt;

/// Why a host is not ready.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnreadyReason {
    /// No tree is held yet.
    NoTree,
    /// The peers of the region have not been asked yet, or hold something newer.
    Joining,
    /// The lease has run out.
    NotCurrent,
    /// The platform lists this host as leaving.
    Leaving,
}

/// The readiness of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Readiness {
    /// Send requests.
    Ready,
    /// Send none.
    Unready(UnreadyReason),
}

impl Readiness {
    /// Whether requests should come.
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
