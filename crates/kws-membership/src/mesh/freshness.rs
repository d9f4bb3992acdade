//! How long the values of a host count as current.

use super::{MeshView, table};
use tokio::time::Instant;

impl MeshView {
    /// The time since which a majority of the region's known hosts, this one included, has been
    /// heard: the oldest last-heard time within it. None while no other host of the region is
    /// known.
    pub(super) fn majority_heard(&self) -> Option<Instant> {
        let region = &self.table.own().region;
        let mut heard: Vec<Instant> = self.table.heard_in(region).collect();
        let needed = heard.len().div_ceil(2);
        if needed == 0 {
            return None;
        }
        heard.sort_unstable_by(|left, right| right.cmp(left));
        heard.get(needed - 1).copied()
    }

    pub(super) fn is_connected(&self, now: Instant) -> bool {
        let lease = self.lease();
        let by_platform = self.confirmed.is_some_and(|at| now < at + lease);
        by_platform
            || self
                .majority_heard()
                .is_some_and(|at| now < at + table::LIVE_TIMEOUT)
    }

    /// The end of the lease by the current state; none before the first confirmation.
    ///
    /// The majority of the known hosts counts only once a current host has confirmed the values:
    /// a host that was started beside hosts that are cut off knows no others, and theirs is not the
    /// majority of the region.
    pub(super) fn compute_lease_end(&self) -> Option<Instant> {
        let confirmed = self.confirmed?;
        let lease = self.lease();
        let by_platform = confirmed + lease;
        if self.first_current.is_none() {
            return Some(by_platform);
        }
        let by_majority = match self.majority_heard() {
            Some(heard) => (heard + lease).min(confirmed + self.stale_region()),
            // No other host is known, so none can hold newer values.
            None if self.table.is_alone() => confirmed + self.stale_region(),
            None => by_platform,
        };
        let end = by_platform.max(by_majority);
        Some(
            self.behind_since
                .map_or(end, |(since, _)| end.min(since + lease)),
        )
    }

    /// Ends the time behind a peer once the values are at least as new as those that the peer held, or those
    /// were refused. Equal values at an older revision don't show that the newer ones are no longer in force.
    pub(super) fn end_behind(&mut self) {
        let checked = self.values.newest_checked();
        self.behind_since = self.behind_since.filter(|(_, newer)| checked < *newer);
    }

    /// Ends the time behind a peer if the platform has confirmed the values in a read that was sent after the
    /// news: what the peer held is no longer there.
    pub(super) fn end_behind_confirmed(&mut self, sent: Instant) {
        self.behind_since = self.behind_since.filter(|(since, _)| sent <= *since);
    }

    pub(super) fn is_current(&self, now: Instant) -> bool {
        self.compute_lease_end().is_some_and(|end| now < end)
    }
}
