//! Reads of the platform and its outages.

use super::{MeshView, values::ValuesOutcome};
use crate::FleetAction;
use std::time::Duration;
use tokio::time::Instant;

/// Without a confirmed read for this long although hosts tried, the platform counts as having had
/// an outage, and entries in it may have expired meanwhile.
const OUTAGE_THRESHOLD: Duration = Duration::from_secs(4);

/// How long reads must have failed for an outage. A read that is pending while the process is
/// suspended fails when it resumes, and the next one succeeds at once.
const MIN_FAILURE_TIME: Duration = Duration::from_secs(1);

/// How long missing values are kept after an outage: entries that expired during it are restored
/// within 2 s of the recovery, or are gone for good.
const OUTAGE_GRACE: Duration = Duration::from_secs(2);

impl MeshView {
    /// Records that a read of this host or of a peer failed.
    pub(super) fn record_failing_reads(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
    }

    /// Records that the platform confirmed the active values in a read sent at `sent`.
    pub(super) fn record_confirmation(&mut self, sent: Instant) {
        self.confirmed = self.confirmed.max(Some(sent));
        self.values.record_confirmation(sent);
        self.failing_since = self.failing_since.filter(|since| *since > sent);
    }

    /// Whether the platform was away: reads have failed, and none has succeeded for
    /// [`OUTAGE_THRESHOLD`]. The silence of the hosts that read says nothing about the platform.
    fn had_outage(&self, now: Instant) -> bool {
        let exceeds = |at: Option<Instant>, limit| {
            at.is_some_and(|at| now.saturating_duration_since(at) > limit)
        };
        exceeds(self.confirmed, OUTAGE_THRESHOLD) && exceeds(self.failing_since, MIN_FAILURE_TIME)
    }

    /// Detects the end of a platform outage. For [`OUTAGE_GRACE`] from the first answer on, values
    /// that have disappeared are kept.
    pub(super) fn detect_recovery(&mut self, now: Instant) {
        let had_outage = self.had_outage(now);
        if had_outage && self.grace_end.is_none() {
            log::info!(age_ms = self.confirmed_age_ms(now); "platform reachable again");
            self.grace_end = Some(now + OUTAGE_GRACE);
        }
        if !had_outage && self.grace_end.is_some_and(|end| now >= end) {
            self.grace_end = None;
        }
    }

    pub(super) fn confirmed_age_ms(&self, now: Instant) -> u64 {
        let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        self.confirmed.map_or(0, age)
    }

    /// Compares the platform's answer with the active values.
    pub(super) fn handle_platform_answer(
        &mut self,
        sent: Instant,
        now: Instant,
    ) -> Vec<FleetAction> {
        self.platform_sent = Some(sent);
        self.platform_unreachable = false;
        self.detect_recovery(now);
        let in_grace = self.grace_end.is_some_and(|end| now < end);
        let held_era = self.values.revision().era();
        let loses = self.platform_values.as_ref().is_some_and(|values| {
            // In a new era, missing values are retained one by one.
            values.revision.era() == held_era && self.values.loses_keys(values)
        });
        if in_grace && loses {
            log::info!("values missing after a platform outage are kept for a grace period");
            return self.drive(now, Vec::new());
        }
        self.offer_platform_values(sent, now)
    }

    pub(super) fn offer_platform_values(
        &mut self,
        sent: Instant,
        now: Instant,
    ) -> Vec<FleetAction> {
        let mut actions = Vec::new();
        let Some(values) = self.platform_values.clone() else {
            return self.drive(now, actions);
        };
        let (digest, revision) = (values.digest(), values.revision);
        let outcome = self.values.offer(values, now);
        let adopted = outcome == ValuesOutcome::Adopted;
        if outcome == ValuesOutcome::Older {
            self.counters.stale_platform += 1;
            log::info!(
                revision = revision.count(),
                era = revision.era(),
                held = self.values.revision().count(),
                held_era = self.values.revision().era();
                "platform answer is older than the active values"
            );
        }
        self.apply_outcome(outcome, now, &mut actions);
        if adopted {
            self.push(now, &mut actions);
        }
        // An answer of an older era is late, whatever its values are.
        if digest == self.values.digest() && revision.era() >= self.values.revision().era() {
            self.record_confirmation(sent);
            self.end_behind_confirmed(sent);
            self.era_confirmed = self.era_confirmed.max(Some(sent));
            self.first_current.get_or_insert(sent);
        }
        self.drive(now, actions)
    }
}
