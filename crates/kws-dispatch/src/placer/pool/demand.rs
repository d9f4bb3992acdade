//! Recent demand on one service and how it was met.

use std::time::Duration;
use tokio::time::Instant;

/// Share of unserved requests from which the service needs all capacity that may have recovered.
const UNSERVED_THRESHOLD: f64 = 0.08;

/// Time over which the share of unserved requests is averaged.
const UNSERVED_WINDOW: Duration = Duration::from_millis(500);

/// Time over which rejections are counted. A whole service may begin to reject at once, and the
/// capacity floor must be in use before two seconds of that have passed.
const REJECTION_WINDOW: Duration = Duration::from_millis(300);

/// Smoothing factor of the moving average of failures on servers of unknown state.
const UNKNOWN_SMOOTHING: f64 = 0.02;

/// Share of failures on servers of unknown state that is assumed at first.
const INITIAL_UNKNOWN_FAILURES: f64 = 0.1;

/// Time over which arrivals are counted.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(2);

/// A sum that decays exponentially.
#[derive(Clone, Copy, Debug)]
struct DecayingSum {
    value: f64,
    window: Duration,
    updated_at: Instant,
}

impl DecayingSum {
    fn new(window: Duration, now: Instant) -> Self {
        Self {
            value: 0.0,
            window,
            updated_at: now,
        }
    }

    fn value(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.value * (-elapsed.as_secs_f64() / self.window.as_secs_f64()).exp()
    }

    fn add(&mut self, amount: f64, now: Instant) {
        self.value = self.value(now) + amount;
        self.updated_at = now;
    }
}

/// Moving averages of arrivals and failures.
#[derive(Clone, Debug)]
pub(super) struct DemandMeter {
    /// Arrivals in about [`ARRIVAL_WINDOW`].
    arrivals: DecayingSum,
    /// Arrivals in about [`UNSERVED_WINDOW`].
    recent: DecayingSum,
    /// Sum over the recent arrivals of the unserved shares of their routes.
    unserved: DecayingSum,
    /// Arrivals in about [`REJECTION_WINDOW`].
    latest: DecayingSum,
    /// Requests that were refused early or rejected by their servers in the same time.
    rejected: DecayingSum,
    /// Share of the requests sent to servers of unknown state that failed there.
    unknown_failures: f64,
}

impl DemandMeter {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            arrivals: DecayingSum::new(ARRIVAL_WINDOW, now),
            recent: DecayingSum::new(UNSERVED_WINDOW, now),
            unserved: DecayingSum::new(UNSERVED_WINDOW, now),
            latest: DecayingSum::new(REJECTION_WINDOW, now),
            rejected: DecayingSum::new(REJECTION_WINDOW, now),
            unknown_failures: INITIAL_UNKNOWN_FAILURES,
        }
    }

    /// Records a request of a route of which the share `unserved` goes unserved.
    pub(super) fn record_arrival(&mut self, unserved: f64, now: Instant) {
        self.arrivals.add(1.0, now);
        self.recent.add(1.0, now);
        self.latest.add(1.0, now);
        self.unserved.add(unserved, now);
    }

    /// Records a request that was refused early or rejected by its server.
    pub(super) fn record_rejection(&mut self, now: Instant) {
        self.rejected.add(1.0, now);
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

    /// Whether enough requests arrive to use each of `servers` within [`ARRIVAL_WINDOW`].
    pub(super) fn can_use_all(&self, servers: usize, now: Instant) -> bool {
        self.arrivals.value(now) >= servers as f64
    }

    /// Whether a considerable share of the service's requests is rejected, or of all requests of
    /// the routes that lead to it goes unserved.
    pub(super) fn is_unserved(&self, now: Instant) -> bool {
        let rejected = self.rejected.value(now) > UNSERVED_THRESHOLD * self.latest.value(now);
        rejected || self.unserved.value(now) > UNSERVED_THRESHOLD * self.recent.value(now)
    }
}
