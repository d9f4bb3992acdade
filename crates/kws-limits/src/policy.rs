//! Constants of placement and loans.

use std::time::Duration;

/// A borrower may spend a loan for this long after it sent the request. Every host must use the
/// same value, since the window of revisions counts on it.
pub const LOAN_TERM: Duration = Duration::from_secs(1);

/// How shares are placed and when tokens are borrowed. None of it bears on safety, but placement
/// must be the same on every host.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitsPolicy {
    /// A region has one more holder of a team's share for each such rate, in requests a second.
    pub rate_per_holder: f64,
    /// Each holder's burst is at least this, in requests, unless there is one holder only.
    pub burst_per_holder: f64,
    /// A region has at least so many holders when the burst allows it.
    pub min_holders: usize,
    /// A request waits at most this long for a loan within the region.
    pub region_wait: Duration,
    /// A request waits at most this long for a loan from another region.
    pub remote_wait: Duration,
    /// Tokens for so long a stretch of the demand seen are kept at hand from the region.
    pub region_ahead: Duration,
    /// Tokens for so long a stretch of the demand seen are asked from other regions.
    pub remote_ahead: Duration,
    /// A lender that was short is not asked again for at least this long.
    pub min_dry_pause: Duration,
    /// A lender of the region that was short is not asked again for at most this long, unless it
    /// stays short.
    pub max_near_pause: Duration,
    /// The same for a lender of another region.
    pub max_far_pause: Duration,
    /// A loan that was not touched for this long is returned.
    pub idle_return: Duration,
}

impl Default for LimitsPolicy {
    fn default() -> Self {
        Self {
            rate_per_holder: 10.0,
            burst_per_holder: 4.0,
            min_holders: 2,
            region_wait: Duration::from_millis(5),
            remote_wait: Duration::from_millis(80),
            region_ahead: Duration::from_millis(50),
            remote_ahead: Duration::from_millis(200),
            min_dry_pause: Duration::from_millis(10),
            max_near_pause: Duration::from_millis(40),
            max_far_pause: Duration::from_millis(100),
            idle_return: Duration::from_millis(200),
        }
    }
}

impl LimitsPolicy {
    /// How long a lender is spared that was short: until it has a token, within the bounds.
    pub(crate) fn dry_pause(&self, rate: f64, near: bool) -> Duration {
        let seconds = 1.0 / rate.max(f64::MIN_POSITIVE);
        let most = if near {
            self.max_near_pause
        } else {
            self.max_far_pause
        };
        Duration::from_secs_f64(seconds.min(most.as_secs_f64())).max(self.min_dry_pause)
    }
}
