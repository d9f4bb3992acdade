//! Notices that the machine was suspended while its monotonic clock stood still.

use rustix::time::{ClockId, Timespec, clock_gettime};
use std::time::Duration;

/// The clocks may part by this much without a suspension, between the two readings.
const TOLERANCE: Duration = Duration::from_millis(100);

/// Compares the clock that counts suspensions with the one that doesn't.
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

/// How long the machine was suspended since it started.
fn suspended_time() -> Duration {
    let monotonic = read_clock(ClockId::Monotonic);
    read_clock(ClockId::Boottime).saturating_sub(monotonic)
}

fn read_clock(clock: ClockId) -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(clock);
    Duration::new(tv_sec.unsigned_abs(), u32::try_from(tv_nsec).unwrap_or(0))
}
