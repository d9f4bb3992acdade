//! Failure detection for a server: a cumulative sum (CUSUM) of log-likelihood ratios over the
//! responses that all hosts of the region report (E. S. Page, "Continuous inspection schemes",
//! 1954).
//!
//! All constants without a unit of time are log-likelihood ratios, or such a ratio per second.

use std::time::Duration;
use tokio::time::Instant;

/// Added for a bad response that came much sooner than the server can do its work. Nine in ten of
/// those come from servers that fail most requests.
const ABRUPT_INCREMENT: f64 = 6.0;
/// Added for another bad response that follows one, with no good response in between.
const REPEATED_INCREMENT: f64 = 5.5;
/// Added for a single bad response after the usual time in service. A healthy server gives one in
/// eighty, and of all of them nineteen in twenty come from healthy servers.
const SINGLE_INCREMENT: f64 = 1.0;
/// Subtracted for a good response. A failing server gives one in ten.
const GOOD_RESPONSE_DECREMENT: f64 = 2.5;
/// Added to the sum of late responses for an overdue request, and again when it ends without a
/// response. Of long requests, one in sixty takes so long on a healthy server, and one in two on a
/// server that hangs.
const OVERDUE_INCREMENT: f64 = 1.2;
/// Subtracted from the sum of late responses for a response in time. A server that hangs gives
/// every second response in time.
const IN_TIME_DECREMENT: f64 = 0.7;
/// Decay of the sum of late responses, per second.
const LATE_DECAY_PER_SECOND: f64 = 0.2;
/// Sum of late responses below which it is disregarded. Two requests that hang exceed it.
const LATE_THRESHOLD: f64 = 3.0;
/// Decay of the sum of bad responses, per second. Failures typically last some seconds.
const BAD_DECAY_PER_SECOND: f64 = 0.2;
/// Upper bound of each sum, so that a server that recovered is brought back soon.
const MAX_SUM: f64 = 12.0;
/// Evidence from which a server is suspect and used only when the others are full. Two bad responses
/// in a row exceed it.
pub(super) const SUSPECT_THRESHOLD: f64 = 1.5;
/// Evidence from which a server is ejected and gets only probes. One abrupt response reaches it, or
/// two others in a row.
const EJECTION_THRESHOLD: f64 = 6.0;

/// Time within which a response counted here reaches the host that places requests on the server
/// and returns in its next report.
const REPORT_DELAY: Duration = Duration::from_millis(1_500);

/// How a bad response came, which tells a failing server from a failing request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BadResponse {
    /// Much sooner than the server can do its work.
    Abrupt,
    /// After the usual time, and the last response was bad too.
    Repeated,
    /// After the usual time, and the last response was good.
    Single,
}

/// Health of a server by the evidence of failure.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ServerHealth {
    /// No relevant evidence of failure.
    Healthy,
    /// The server is used only when the others are full.
    Suspect,
    /// The server gets only probes.
    Unhealthy,
}

/// Evidence of failure of one server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailureEvidence {
    /// Sum for bad responses.
    bad_sum: f64,
    /// Sum for late responses.
    late_sum: f64,
    updated_at: Instant,
    /// When a bad or overdue response was last counted here.
    last_counted: Option<Instant>,
}

impl FailureEvidence {
    /// Creates empty evidence.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            bad_sum: 0.0,
            late_sum: 0.0,
            updated_at: now,
            last_counted: None,
        }
    }

    /// The decayed sums for bad and for late responses at `now`.
    fn sums(&self, now: Instant) -> (f64, f64) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let bad = self.bad_sum - elapsed * BAD_DECAY_PER_SECOND;
        let late = self.late_sum - elapsed * LATE_DECAY_PER_SECOND;
        (bad.max(0.0), late.max(0.0))
    }

    /// The evidence at `now` as a single value, which is also reported to other hosts.
    pub(crate) fn score(&self, now: Instant) -> f64 {
        let (bad, late) = self.sums(now);
        if late < LATE_THRESHOLD {
            return bad;
        }
        bad.max(late)
    }

    fn add(&mut self, bad: f64, late: f64, now: Instant) {
        let sums = self.sums(now);
        self.bad_sum = (sums.0 + bad).clamp(0.0, MAX_SUM);
        self.late_sum = (sums.1 + late).clamp(0.0, MAX_SUM);
        self.updated_at = now;
    }

    /// Counts a bad response.
    pub(crate) fn record_bad(&mut self, kind: BadResponse, now: Instant) {
        let increment = match kind {
            BadResponse::Abrupt => ABRUPT_INCREMENT,
            BadResponse::Repeated => REPEATED_INCREMENT,
            BadResponse::Single => SINGLE_INCREMENT,
        };
        self.add(increment, 0.0, now);
        self.last_counted = Some(now);
    }

    /// Counts a good response.
    pub(crate) fn record_good(&mut self, now: Instant) {
        self.add(-GOOD_RESPONSE_DECREMENT, -IN_TIME_DECREMENT, now);
    }

    /// Counts a response in time to a request that began before the last bad response.
    pub(crate) fn record_in_time(&mut self, now: Instant) {
        self.add(0.0, -IN_TIME_DECREMENT, now);
    }

    /// Counts an overdue request.
    pub(crate) fn record_overdue(&mut self, now: Instant) {
        self.add(0.0, OVERDUE_INCREMENT, now);
        self.last_counted = Some(now);
    }

    /// Adopts the score of the host that places requests on the server. A response counted here
    /// within [`REPORT_DELAY`] may not be part of it yet, so that the higher score then stays.
    pub(crate) fn adopt(&mut self, score: f64, now: Instant) {
        let counted_lately = self
            .last_counted
            .is_some_and(|at| now.saturating_duration_since(at) < REPORT_DELAY);
        let own = if counted_lately { self.score(now) } else { 0.0 };
        self.bad_sum = own.max(score.clamp(0.0, MAX_SUM));
        self.late_sum = 0.0;
        self.updated_at = now;
    }

    /// Resets the evidence.
    pub(crate) fn reset(&mut self, now: Instant) {
        *self = Self::new(now);
    }

    /// When the evidence stops making the server suspect, if it does.
    pub(crate) fn suspect_until(&self, now: Instant) -> Option<Instant> {
        let (bad, late) = self.sums(now);
        let bad_time = (bad - SUSPECT_THRESHOLD) / BAD_DECAY_PER_SECOND;
        let late_time = (late - LATE_THRESHOLD) / LATE_DECAY_PER_SECOND;
        let time = bad_time.max(late_time);
        let until = now + Duration::from_secs_f64(time.max(0.0)) + Duration::from_millis(1);
        (time >= 0.0).then_some(until)
    }

    /// The health that the evidence implies at `now`.
    pub(crate) fn health(&self, now: Instant) -> ServerHealth {
        match self.score(now) {
            score if score >= EJECTION_THRESHOLD => ServerHealth::Unhealthy,
            score if score >= SUSPECT_THRESHOLD => ServerHealth::Suspect,
            _ => ServerHealth::Healthy,
        }
    }
}

/// An ejection: how long it lasts, and when the server may be probed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Ejection {
    pub(crate) until: Instant,
    pub(crate) duration: Duration,
}
