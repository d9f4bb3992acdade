//! This host's bandwidth budget for requests that leave its region.

use std::time::Duration;
use tokio::time::Instant;

/// Capacity of the bucket, as the time in which it fills.
const BURST_TIME: Duration = Duration::from_secs(1);

/// A token bucket in bits. A request may be sent while the level is above 0, and may take it below
/// 0, so that a request larger than the bucket can be sent and is paid off afterwards.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SpillBudget {
    bits_per_second: f64,
    bits: f64,
    last_refill: Instant,
}

impl SpillBudget {
    /// Creates an empty budget without a rate.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            bits_per_second: 0.0,
            bits: 0.0,
            last_refill: now,
        }
    }

    /// Sets this host's share of the region's bandwidth, in bits per second.
    pub(crate) fn set_rate(&mut self, bits_per_second: f64, now: Instant) {
        self.refill(now);
        self.bits_per_second = bits_per_second;
    }

    /// Adds the bits of the time since the last call.
    pub(crate) fn refill(&mut self, now: Instant) {
        let added = now.duration_since(self.last_refill).as_secs_f64() * self.bits_per_second;
        let capacity = self.bits_per_second * BURST_TIME.as_secs_f64();
        self.bits = (self.bits + added).min(capacity);
        self.last_refill = now;
    }

    /// Whether a request may leave the region now.
    pub(crate) fn allows(&self) -> bool {
        self.bits > 0.0
    }

    /// Charges a request that leaves the region.
    pub(crate) fn charge(&mut self, bytes: u64) {
        self.bits -= bytes as f64 * 8.0;
    }
}
