//! What a run is judged by.

use std::time::Duration;

/// Counts of one or several runs.
#[derive(Clone, Debug, Default)]
pub struct PlacingScore {
    /// Requests.
    pub requests: u64,
    /// Requests with a good response within their objective.
    pub fast: u64,
    /// Requests with a later good response.
    pub late: u64,
    /// Requests that were refused and did not run.
    pub refused: u64,
    /// Requests that failed otherwise.
    pub failed: u64,
    /// Tries after the first of a request that reached a server.
    pub repeats: u64,
    /// Times at which a server began to fail.
    pub spells: u64,
    /// Tries that a failing server failed while it counted as healthy, suspect and unhealthy.
    pub sick_tries: [u64; 3],
    /// Tries at servers that refused the connection.
    pub unreachable_tries: u64,
    /// Ticks of 10 ms at which less than the capacity floor had been in use for 2 s.
    pub floor_ticks: u64,
    /// Sum of the waits for a slot.
    pub waits: Duration,
    /// The runs counted.
    pub runs: u64,
}

impl PlacingScore {
    /// The header of the table.
    pub const HEADER: &'static str = "scenario      served_%  fast_%  refused_%  failed_%  repeats_%  \
        sick_tries_a_spell (healthy suspect ejected)  unreachable  wait_ms  floor_ms";

    /// Share of requests with a good response.
    pub fn served(&self) -> f64 {
        (self.fast + self.late) as f64 / self.requests.max(1) as f64
    }

    /// Tries that failing servers failed, for each time that one began to fail.
    pub fn sick_tries_a_spell(&self) -> f64 {
        self.sick_tries.iter().sum::<u64>() as f64 / self.spells.max(1) as f64
    }

    /// Adds the counts of another run.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.fast += other.fast;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.repeats += other.repeats;
        self.spells += other.spells;
        for (sum, count) in self.sick_tries.iter_mut().zip(other.sick_tries) {
            *sum += count;
        }
        self.unreachable_tries += other.unreachable_tries;
        self.floor_ticks += other.floor_ticks;
        self.waits += other.waits;
        self.runs += other.runs;
    }

    /// A row of the table.
    pub fn row(&self, name: &str) -> String {
        let share = |count: u64| count as f64 * 100.0 / self.requests.max(1) as f64;
        let by_health = self
            .sick_tries
            .map(|count| count as f64 / self.spells.max(1) as f64);
        format!(
            "{name:<13} {:>8.2} {:>7.2} {:>10.2} {:>9.2} {:>10.2} {:>19.2} {:>9.2} {:>7.2} {:>7.2} {:>12.1} {:>8.1} {:>9}",
            100.0 * self.served(),
            share(self.fast),
            share(self.refused),
            share(self.failed),
            share(self.repeats),
            self.sick_tries_a_spell(),
            by_health[0],
            by_health[1],
            by_health[2],
            self.unreachable_tries as f64 / self.runs.max(1) as f64,
            self.waits.as_secs_f64() * 1_000.0 / self.requests.max(1) as f64,
            self.floor_ticks * 10 / self.runs.max(1),
        )
    }
}
