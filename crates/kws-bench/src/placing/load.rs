//! The load of a scenario: servers, failures and callers.

use std::{ops::Range, time::Duration};

/// Servers that fail by turns: in each window of time, a share of them fails most requests.
#[derive(Clone, Copy, Debug)]
pub struct SickSpells {
    /// Share of the servers that fail in a window, between 0 and 1.
    pub share: f64,
    /// Length of a window. Windows of different servers begin at different times.
    pub window: Duration,
    /// Share of its requests that such a server fails, between 0 and 1.
    pub fails: f64,
}

/// A time in which something about the load differs.
#[derive(Clone, Debug)]
pub struct LoadPhase<T> {
    /// When it begins and ends.
    pub span: Range<Duration>,
    /// What differs.
    pub value: T,
}

impl<T: Copy> LoadPhase<T> {
    /// The value at `at`, if the phase lasts then.
    pub fn at(&self, at: Duration) -> Option<T> {
        self.span.contains(&at).then_some(self.value)
    }
}

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    /// Requests a second, both regions together.
    pub rate: f64,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Time until the caller gives up.
    pub timeout: Duration,
    /// Time within which a response counts as fast.
    pub objective: Duration,
}

/// A service with its servers, failures and callers.
#[derive(Clone, Debug)]
pub struct ServiceLoad {
    /// Servers, spread over four data centres in two regions.
    pub servers: usize,
    /// Slots of each server.
    pub slots: u32,
    /// Mean time in service.
    pub service_time: Duration,
    /// Standard deviation of the logarithm of the time in service.
    pub spread: f64,
    /// Share of requests that fail on a healthy server, between 0 and 1.
    pub error_share: f64,
    /// Servers that fail by turns.
    pub spells: SickSpells,
    /// Times in which every server rejects a share of its requests as not run.
    pub shedding: Vec<LoadPhase<f64>>,
    /// Times in which the rate of requests is multiplied.
    pub bursts: Vec<LoadPhase<f64>>,
    /// Times in which this share of the requests goes unserved that the same routes send to another
    /// service: three for each request that comes to this one.
    pub elsewhere: Vec<LoadPhase<f64>>,
    /// Share of the servers that refuse connections from a time on; their entries are removed
    /// after [`ENTRY_LAG`].
    pub crash: Option<(Duration, f64)>,
    /// Kinds of requests.
    pub kinds: Vec<RequestKind>,
    /// How long callers send requests.
    pub length: Duration,
}

/// Time after which the entry of a crashed server is removed: three missed reports.
pub const ENTRY_LAG: Duration = Duration::from_millis(4_500);

impl ServiceLoad {
    /// The factor of the rate of requests at `at`.
    pub fn rate_factor(&self, at: Duration) -> f64 {
        let bursts = self.bursts.iter();
        bursts.filter_map(|phase| phase.at(at)).product()
    }

    /// The share of the routes' other requests that goes unserved at `at`.
    pub fn elsewhere_share(&self, at: Duration) -> f64 {
        let phases = self.elsewhere.iter();
        phases.filter_map(|phase| phase.at(at)).fold(0.0, f64::max)
    }

    /// The share of requests that servers reject at `at`.
    pub fn shed_share(&self, at: Duration) -> f64 {
        let phases = self.shedding.iter();
        phases.filter_map(|phase| phase.at(at)).fold(0.0, f64::max)
    }
}
