//! The instant until which this host is current.

use kws_protocol::FreshnessSettings;
use std::time::Duration;
use tokio::time::Instant;

/// The age that a host states when the platform never confirmed anything to anyone it heard.
const NEVER_CONFIRMED: Duration = Duration::from_hours(10 * 365 * 24);

/// The lease in force before any tree is held.
const FIRST_LEASE: Duration = Duration::from_secs(3);

/// Parts in a million.
const MILLION: f64 = 1e6;

/// The settings of the lease after the allowance for clock drift.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseTerms {
    /// The lease that a host grants itself.
    pub lease: Duration,
    /// How long after the platform's last word peers may renew it.
    pub stale_region: Duration,
    /// How long a host must be up before its word counts.
    pub restart_wait: Duration,
    drift: f64,
}

impl LeaseTerms {
    /// Shortens the published durations, so that a slow clock does not outlast them.
    pub fn new(settings: &FreshnessSettings) -> Self {
        let drift = f64::from(settings.clock_drift_ppm) / MILLION;
        let shortened = (1.0 - drift).max(0.0);
        Self {
            lease: settings.lease.mul_f64(shortened),
            stale_region: settings.stale_region.mul_f64(shortened),
            restart_wait: settings.lease.mul_f64(1.0 + drift),
            drift,
        }
    }

    /// A time measured by this host, enlarged in case its clock is slow.
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

/// The lease: one instant, compared with the clock at each decision.
#[derive(Clone, Debug, Default)]
pub struct FreshnessLease {
    until: Option<Instant>,
    platform_until: Option<Instant>,
    platform_heard: Option<Instant>,
}

impl FreshnessLease {
    /// Whether the host is current at `now`.
    pub fn is_current(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// The end of the lease; it only moves forward while the terms stay the same.
    pub fn until(&self) -> Option<Instant> {
        self.until
    }

    /// The end of the part of the lease that the platform itself granted.
    pub fn platform_until(&self) -> Option<Instant> {
        self.platform_until
    }

    /// The platform confirmed the newest revision seen, to a question sent at `sent`.
    pub fn confirm_platform(&mut self, sent: Instant, terms: &LeaseTerms) {
        self.platform_until = self.platform_until.max(Some(sent + terms.lease));
        self.until = self.until.max(self.platform_until);
        self.hear_platform(sent);
    }

    /// A majority of the region confirmed it; `sent` is when the oldest question needed was sent.
    pub fn confirm_majority(&mut self, sent: Instant, terms: &LeaseTerms) {
        let Some(heard) = self.platform_heard else {
            return;
        };
        let granted = (sent + terms.lease).min(heard + terms.stale_region);
        self.until = self.until.max(Some(granted));
    }

    /// The platform confirmed the newest revision to some host no earlier than `at`.
    pub fn hear_platform(&mut self, at: Instant) {
        self.platform_heard = self.platform_heard.max(Some(at));
    }

    /// How long ago the platform last confirmed the newest revision to anyone heard.
    pub fn platform_age(&self, now: Instant, terms: &LeaseTerms) -> Duration {
        self.platform_heard.map_or(NEVER_CONFIRMED, |heard| {
            terms.enlarged(now.saturating_duration_since(heard))
        })
    }

    /// New terms came into force; a lease granted under longer ones is cut down to them.
    pub fn change_terms(&mut self, terms: &LeaseTerms, now: Instant) {
        let longest = now + terms.lease;
        self.until = self.until.map(|until| until.min(longest));
        self.platform_until = self.platform_until.map(|until| until.min(longest));
    }
}
