//! Detects suspensions of the machine, during which its monotonic clock stands still.

use rustix::time::{ClockId, Timespec, clock_gettime};
use std::time::Duration;

/// Tolerated difference between the clocks, which are read one after the other.
const TOLERANCE: Duration = Duration::from_millis(100);

/// Compares the boot-time clock, which includes suspensions, with the monotonic clock, which does
/// not.
#[derive(Debug)]
pub(crate) struct SuspendWatch {
    suspended: Duration,
}

impl SuspendWatch {
    pub(crate) fn new() -> Self {
        Self {
            suspended: suspended_time(),
        }
    }

    /// Whether the machine was suspended since the last call.
    pub(crate) fn slept(&mut self) -> bool {
        let before = self.suspended;
        self.suspended = suspended_time();
        self.suspended > before + TOLERANCE
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
