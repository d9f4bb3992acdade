//! Estimates queue waiting times for one service.

use std::time::Duration;

/// Upper bound of an estimate, in average service times; keeps the duration finite.
const MOST_TURNS: f64 = 1_000.0;

/// The state that the waiting time of a request depends on.
#[derive(Clone, Debug, Default)]
pub(crate) struct QueuePace {
    /// Slots that the next requests may use.
    pub(crate) slots: u32,
    /// Free slots among [`Self::slots`].
    pub(crate) free: u32,
    /// Set only while there are no slots: the time until each server that is ejected or in cooldown
    /// gets its next request, in ascending order.
    pub(crate) openings: Vec<Duration>,
    /// The average service time.
    pub(crate) service_time: Duration,
}

impl QueuePace {
    /// Expected waiting time of a request that has `before` others ahead of it.
    pub(crate) fn wait(&self, before: usize) -> Duration {
        let free = self.free as usize;
        if before < free {
            return Duration::ZERO;
        }
        if self.slots == 0 && !self.openings.is_empty() {
            return self.wait_for_opening(before);
        }
        let turns = (before - free + 1) as f64 / f64::from(self.slots.max(1));
        self.service_time.mul_f64(turns.min(MOST_TURNS))
    }

    /// Counts one request at a time for each server, since a server that is probed may fail again.
    fn wait_for_opening(&self, before: usize) -> Duration {
        let rounds = (before / self.openings.len()) as f64;
        let opening = self.openings[before % self.openings.len()];
        opening + self.service_time.mul_f64(rounds.min(MOST_TURNS))
    }
}
