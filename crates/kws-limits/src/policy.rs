//! Parameters of share placement and of loans.

use std::time::Duration;

/// How long after sending its request a borrower may spend the loan. All hosts must use the same
/// value, because the revision window relies on it.
pub const LOAN_TERM: Duration = Duration::from_secs(1);

/// How shares are placed and when tokens are borrowed. The values do not affect whether limits
/// hold, but all hosts must place shares with the same ones.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitsPolicy {
    /// The rate in requests per second for which a region gets one more holder of the team's share.
    pub rate_per_holder: f64,
    /// The least burst of a holder, in requests; a single holder may have less.
    pub burst_per_holder: f64,
    /// The least number of holders in a region, as far as the burst allows.
    pub min_holders: usize,
    /// How long a request waits at most for a loan from its own region.
    pub region_wait: Duration,
    /// How long a request waits at most for a loan from another region.
    pub remote_wait: Duration,
    /// Tokens for this much time of the measured demand are borrowed ahead within the region.
    pub region_ahead: Duration,
    /// Tokens for this much time of the measured demand are borrowed ahead from other regions.
    pub remote_ahead: Duration,
    /// The shortest cooldown of a lender that lent less than requested.
    pub min_cooldown: Duration,
    /// The longest cooldown of a lender in the own region, unless it lends too little again.
    pub max_region_cooldown: Duration,
    /// The longest cooldown of a lender in another region, unless it lends too little again.
    pub max_remote_cooldown: Duration,
    /// A loan that was not spent from for this long is returned.
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
            min_cooldown: Duration::from_millis(10),
            max_region_cooldown: Duration::from_millis(40),
            max_remote_cooldown: Duration::from_millis(100),
            idle_return: Duration::from_millis(200),
        }
    }
}

impl LimitsPolicy {
    /// The cooldown of a lender that lent less than requested: the time in which `rate`, in tokens
    /// per second, yields one token, within the bounds above.
    pub(crate) fn lender_cooldown(&self, rate: f64, in_region: bool) -> Duration {
        let seconds = 1.0 / rate.max(f64::MIN_POSITIVE);
        let max_cooldown = if in_region {
            self.max_region_cooldown
        } else {
            self.max_remote_cooldown
        };
        Duration::from_secs_f64(seconds.min(max_cooldown.as_secs_f64())).max(self.min_cooldown)
    }
}
