//! What the forwarder and the probes tell the judge.

/// How one try at a backend server ended, as far as the server's health is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerOutcome {
    /// No connection could be made, or it broke before the answer was whole.
    Broken,
    /// The server answered with an error of its own (a 5xx status).
    Error,
    /// A whole answer that satisfies the route's checks.
    Good,
    /// No whole answer came within the deadline.
    Late,
    /// The server said that it did not run the request: a sign of load, not of sickness.
    Shed,
    /// A whole answer that breaks the route's checks.
    Wrong,
}

impl AnswerOutcome {
    /// Whether the outcome speaks against the server.
    pub fn is_bad(self) -> bool {
        matches!(self, Self::Broken | Self::Error | Self::Late | Self::Wrong)
    }
}

/// What a server's health and load endpoints said; a weak signal that fades with its age.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Whether the endpoint calls the server healthy.
    pub healthy: bool,
    /// The part of the server's slots in use, between 0 and 1.
    pub load: f64,
}
