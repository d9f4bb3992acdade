//! The validity of the host's freshness lease as the ledger sees it.

use tokio::time::Instant;

/// The lease and the start of its unbroken validity.
#[derive(Debug)]
pub(crate) struct LeaseState {
    until: Option<Instant>,
    since: Option<Instant>,
    epoch: u64,
}

impl LeaseState {
    /// A lease that was never valid.
    pub(crate) fn new() -> Self {
        Self {
            until: None,
            since: None,
            epoch: 0,
        }
    }

    /// Sets the end of validity; a lease that had run out starts a new epoch.
    pub(crate) fn set(&mut self, until: Instant, now: Instant) {
        if !self.is_current(now) {
            self.epoch += 1;
            self.since = Some(now);
        }
        self.until = Some(until);
    }

    /// Whether the host is current.
    pub(crate) fn is_current(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// The start of the present epoch.
    pub(crate) fn since(&self) -> Option<Instant> {
        self.since
    }

    /// The number of the present epoch; tokens of an older one are lost.
    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }
}
