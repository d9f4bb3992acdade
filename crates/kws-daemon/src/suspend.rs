//! Detects suspensions of the machine, during which its monotonic clock stands still.

use rustix::time::{ClockId, Timespec, clock_gettime};
use std::time::Duration;

/// Tolerated difference between the clocks, which are read one after the other.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(100);

/// Compares the boot-time clock, which includes suspensions, with the monotonic clock, which does
/// not.
#[derive(Debug)]
pub(crate) struct SuspendDetector {
    suspended_total: Duration,
}

impl SuspendDetector {
    pub(crate) fn new() -> Self {
        Self {
            suspended_total: suspended_time(),
        }
    }

    /// Whether the machine was suspended since the last call.
    pub(crate) fn was_suspended(&mut self) -> bool {
        let before = self.suspended_total;
        self.suspended_total = suspended_time();
        self.suspended_total > before + CLOCK_TOLERANCE
    }
}

/// Total time that the machine was suspended since its start.
fn suspended_time() -> Duration {
    let monotonic = read_clock(ClockId::Monotonic);
    read_clock(ClockId::Boottime).saturating_sub(monotonic)
}

fn read_clock(clock: ClockId) -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(clock);
    Duration::new(tv_sec.unsigned_abs(), u32::try_from(tv_nsec).unwrap_or(0))
}
