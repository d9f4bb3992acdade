//! Validity of the host's freshness lease, as reported to the ledger.

use tokio::time::Instant;

/// The lease, and since when it has been valid without interruption.
#[derive(Debug)]
pub(crate) struct LeaseState {
    until: Option<Instant>,
    since: Option<Instant>,
    epoch: u64,
}

impl LeaseState {
    /// A lease that has never been valid.
    pub(crate) fn new() -> Self {
        Self {
            until: None,
            since: None,
            epoch: 0,
        }
    }

    /// Sets the end of the lease. If the lease had expired, a new epoch starts.
    pub(crate) fn set(&mut self, until: Instant, now: Instant) {
        if !self.is_current(now) {
            self.epoch += 1;
            self.since = Some(now);
        }
        self.until = Some(until);
    }

    /// Whether the lease is valid.
    pub(crate) fn is_current(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// The start of the current epoch.
    pub(crate) fn since(&self) -> Option<Instant> {
        self.since
    }

    /// The number of the current epoch; tokens of earlier epochs are discarded.
    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }
}
