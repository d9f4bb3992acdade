//! Estimates queue waiting times for one service.

use std::time::Duration;

/// Upper bound of an estimate, in average service times; keeps the duration finite.
const MAX_SERVICE_TIMES: f64 = 1_000.0;

/// The state that the waiting time of a request depends on.
#[derive(Clone, Debug, Default)]
pub(crate) struct QueueEstimate {
    /// Slots that the next requests may use.
    pub(crate) slots: u32,
    /// Free slots among [`Self::slots`].
    pub(crate) free_slots: u32,
    /// Set only while there are no slots: the time until each server that is ejected or in cooldown
    /// gets its next request, in ascending order.
    pub(crate) probe_delays: Vec<Duration>,
    /// The average service time.
    pub(crate) service_time: Duration,
}

impl QueueEstimate {
    /// Expected wait of a request with `ahead` requests before it.
    pub(crate) fn wait(&self, ahead: usize) -> Duration {
        let free_slots = self.free_slots as usize;
        if ahead < free_slots {
            return Duration::ZERO;
        }
        if self.slots == 0 && !self.probe_delays.is_empty() {
            return self.wait_for_probe(ahead);
        }
        let service_times = (ahead - free_slots + 1) as f64 / f64::from(self.slots.max(1));
        self.service_time
            .mul_f64(service_times.min(MAX_SERVICE_TIMES))
    }

    /// Counts one request at a time for each server, since a server that is probed may fail again.
    fn wait_for_probe(&self, ahead: usize) -> Duration {
        let rounds = (ahead / self.probe_delays.len()) as f64;
        let probe_delay = self.probe_delays[ahead % self.probe_delays.len()];
        probe_delay + self.service_time.mul_f64(rounds.min(MAX_SERVICE_TIMES))
    }
}
