//! The freshness lease: the time until which this host may act on its configuration.

use kws_protocol::FreshnessSettings;
use std::time::Duration;
use tokio::time::Instant;

/// The age that a host reports if neither it nor any peer it heard from had a confirmation of the
/// platform.
const NEVER_CONFIRMED_AGE: Duration = Duration::from_hours(10 * 365 * 24);

/// The lease used until the first settings are adopted.
const FIRST_LEASE: Duration = Duration::from_secs(3);

const PARTS_PER_MILLION: f64 = 1e6;

/// The durations of the lease, corrected for the maximum clock drift.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseTerms {
    /// The lease duration.
    pub lease: Duration,
    /// How long after the platform's last confirmation the peers of the region may renew the lease.
    pub stale_region: Duration,
    /// How long a host must have been running before its replies count towards a majority.
    pub restart_wait: Duration,
    drift: f64,
}

impl LeaseTerms {
    /// Shortens the published durations, so that a lease measured by a slow clock does not exceed
    /// them, and lengthens the wait after a restart.
    pub fn new(settings: &FreshnessSettings) -> Self {
        let drift = f64::from(settings.clock_drift_ppm) / PARTS_PER_MILLION;
        let shortened = (1.0 - drift).max(0.0);
        Self {
            lease: settings.lease.mul_f64(shortened),
            stale_region: settings.stale_region.mul_f64(shortened),
            restart_wait: settings.lease.mul_f64(1.0 + drift),
            drift,
        }
    }

    /// A duration measured by this host, lengthened by the maximum clock drift.
    pub fn enlarged(&self, elapsed: Duration) -> Duration {
        elapsed.mul_f64(1.0 + self.drift)
    }
}

impl Default for LeaseTerms {
    fn default() -> Self {
        Self {
            lease: FIRST_LEASE,
            stale_region: FIRST_LEASE,
            restart_wait: FIRST_LEASE,
            drift: 0.0,
        }
    }
}

/// The lease: its end, compared with the clock at each decision.
#[derive(Clone, Debug, Default)]
pub struct FreshnessLease {
    end: Option<Instant>,
    platform_end: Option<Instant>,
    platform_confirmed: Option<Instant>,
}

impl FreshnessLease {
    /// Whether the lease is valid at `now`.
    pub fn is_current(&self, now: Instant) -> bool {
        self.end.is_some_and(|end| now < end)
    }

    /// The end of the lease. It never moves back while the terms stay the same.
    pub fn end(&self) -> Option<Instant> {
        self.end
    }

    /// The end of the lease as renewed by the platform alone.
    pub fn platform_end(&self) -> Option<Instant> {
        self.platform_end
    }

    /// Renews the lease after the platform confirmed the newest known revision in its answer to a
    /// read sent at `sent`.
    pub fn renew_by_platform(&mut self, sent: Instant, terms: &LeaseTerms) {
        self.platform_end = self.platform_end.max(Some(sent + terms.lease));
        self.end = self.end.max(self.platform_end);
        self.record_platform_confirmation(sent);
    }

    /// Renews the lease after a majority of the region confirmed the newest known revision. `sent`
    /// is when the oldest of the queries was sent whose replies form the majority.
    pub fn renew_by_majority(&mut self, sent: Instant, terms: &LeaseTerms) {
        let Some(confirmed) = self.platform_confirmed else {
            return;
        };
        let granted = (sent + terms.lease).min(confirmed + terms.stale_region);
        self.end = self.end.max(Some(granted));
    }

    /// Records that the platform confirmed the newest known revision to some host at `at` or later.
    pub fn record_platform_confirmation(&mut self, at: Instant) {
        self.platform_confirmed = self.platform_confirmed.max(Some(at));
    }

    /// The time since the platform last confirmed the newest known revision to this host or to a
    /// peer that it heard from.
    pub fn confirmed_age(&self, now: Instant, terms: &LeaseTerms) -> Duration {
        self.platform_confirmed
            .map_or(NEVER_CONFIRMED_AGE, |confirmed| {
                terms.enlarged(now.saturating_duration_since(confirmed))
            })
    }

    /// Applies new terms: a lease granted under longer ones is shortened.
    pub fn apply_terms(&mut self, terms: &LeaseTerms, now: Instant) {
        let longest = now + terms.lease;
        self.end = self.end.map(|end| end.min(longest));
        self.platform_end = self.platform_end.map(|end| end.min(longest));
    }
}
