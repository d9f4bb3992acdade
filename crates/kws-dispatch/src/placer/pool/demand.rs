//! Recent demand on one service and how it was met.

use std::time::Duration;
use tokio::time::Instant;

/// Share of unserved requests from which the service needs all capacity that may have recovered.
const UNSERVED_THRESHOLD: f64 = 0.08;

/// Smoothing factor of the moving average of failures on servers of unknown state.
const UNKNOWN_SMOOTHING: f64 = 0.02;

/// Share of failures on servers of unknown state that is assumed at first.
const INITIAL_UNKNOWN_FAILURES: f64 = 0.1;

/// Time over which arrivals are averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// Moving averages of arrivals and failures.
#[derive(Clone, Debug)]
pub(super) struct DemandMeter {
    /// Arrivals in about [`DEMAND_WINDOW`], decayed to `updated_at`.
    arrivals: f64,
    /// Sum over these arrivals of the unserved shares of their routes.
    unserved: f64,
    updated_at: Instant,
    /// Share of the requests sent to servers of unknown state that failed there.
    unknown_failures: f64,
}

impl DemandMeter {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            arrivals: 0.0,
            unserved: 0.0,
            updated_at: now,
            unknown_failures: INITIAL_UNKNOWN_FAILURES,
        }
    }

    /// The factor by which the averages have decayed since their last update.
    fn decay(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at);
        (-elapsed.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp()
    }

    /// Records a request of a route of which the share `unserved` goes unserved.
    pub(super) fn record_arrival(&mut self, unserved: f64, now: Instant) {
        let decay = self.decay(now);
        self.arrivals = self.arrivals * decay + 1.0;
        self.unserved = self.unserved * decay + unserved;
        self.updated_at = now;
    }

    /// Records whether a request failed on a server of unknown state.
    pub(super) fn record_unknown(&mut self, failed: bool) {
        let newest = f64::from(u8::from(failed));
        self.unknown_failures += UNKNOWN_SMOOTHING * (newest - self.unknown_failures);
    }

    /// Share of requests that a server of unknown state fails, between 0 and 1.
    pub(super) fn unknown_failures(&self) -> f64 {
        self.unknown_failures
    }

    /// Whether the service needs all capacity that may have recovered: a considerable share of the
    /// requests of the routes that lead to it goes unserved, and enough of them come to it to use
    /// all `servers`.
    pub(super) fn needs_all_servers(&self, servers: usize, now: Instant) -> bool {
        let uses_all = self.arrivals * self.decay(now) >= servers as f64;
        uses_all && self.unserved > UNSERVED_THRESHOLD * self.arrivals
    }
}
