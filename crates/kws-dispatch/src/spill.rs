//! The budget of this host for requests that leave its region.

use std::time::Duration;
use tokio::time::Instant;

/// The budget saved up at the most.
const SPILL_BURST: Duration = Duration::from_secs(1);

/// A bucket of bits. A request may start while it is above 0 and takes it below, so that a request
/// larger than the bucket passes and is paid for afterwards.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SpillBudget {
    bits_per_second: f64,
    bits: f64,
    filled: Instant,
}

impl SpillBudget {
    /// A budget that starts empty.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            bits_per_second: 0.0,
            bits: 0.0,
            filled: now,
        }
    }

    /// Takes this host's part of the region's budget.
    pub(crate) fn set_rate(&mut self, bits_per_second: f64, now: Instant) {
        self.fill(now);
        self.bits_per_second = bits_per_second;
    }

    /// Adds what was earned since the last call.
    pub(crate) fn fill(&mut self, now: Instant) {
        let earned = now.duration_since(self.filled).as_secs_f64() * self.bits_per_second;
        let most = self.bits_per_second * SPILL_BURST.as_secs_f64();
        self.bits = (self.bits + earned).min(most);
        self.filled = now;
    }

    /// Whether a request may leave the region.
    pub(crate) fn allows(&self) -> bool {
        self.bits > 0.0
    }

    /// Pays for a request that leaves the region.
    pub(crate) fn pay(&mut self, bytes: u64) {
        self.bits -= bytes as f64 * 8.0;
    }
}
