//! How a backend server may be used now.

use kws_protocol::{ServerName, ServiceName};
use tokio::time::Instant;

/// Why a server gets no ordinary request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StandingBar {
    /// It said that it drains, to this host or to a peer.
    Draining,
    /// It is ejected, or on trial after an ejection.
    Ejected,
    /// The platform's list has it as leaving.
    Leaving,
    /// The tree does not hold it.
    Unlisted,
}

/// How a host may use one backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerStanding {
    /// The part of its slots that may be used, between 0 and 1; below 1 while it warms up.
    pub weight: f64,
    /// It may have one repeatable request at a time, as a trial.
    pub trial_only: bool,
    /// Why it gets no ordinary request; `None` when it serves.
    pub bar: Option<StandingBar>,
    /// Added to its requests in flight when servers are compared, in requests.
    pub penalty: f64,
}

impl ServerStanding {
    /// A server that serves at full weight.
    pub const FULL: Self = Self {
        weight: 1.0,
        trial_only: false,
        bar: None,
        penalty: 0.0,
    };

    /// A server that gets no request at all.
    pub fn barred(bar: StandingBar) -> Self {
        Self {
            weight: 0.0,
            trial_only: false,
            bar: Some(bar),
            penalty: 0.0,
        }
    }
}

/// Says how servers may be used; the dispatcher's view of health judgement.
pub trait StandingSource {
    /// The standing of `server` of `service` at `now`.
    fn standing(&self, service: &ServiceName, server: &ServerName, now: Instant) -> ServerStanding;
}
