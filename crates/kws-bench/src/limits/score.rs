//! What a run measured.

use std::time::Duration;

/// Halvings of the interval in which the largest ratio is searched.
const SEARCH_STEPS: usize = 40;

/// One team's total and what became of its requests.
#[derive(Clone, Debug)]
pub struct TeamScore {
    rate: f64,
    burst: f64,
    admitted: Vec<f64>,
    ideal_level: f64,
    ideal_seen: f64,
    ideal: usize,
    counted: usize,
}

impl TeamScore {
    /// Nothing offered yet.
    pub fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            admitted: Vec::new(),
            ideal_level: burst,
            ideal_seen: 0.0,
            ideal: 0,
            counted: 0,
        }
    }

    /// Counts a request offered; `counts` when its outcome is scored.
    pub fn offer(&mut self, at: Duration, counts: bool) {
        let at = at.as_secs_f64();
        let filled = self.ideal_level + self.rate * (at - self.ideal_seen);
        self.ideal_level = filled.min(self.burst);
        self.ideal_seen = at;
        if self.ideal_level >= 1.0 {
            self.ideal_level -= 1.0;
            self.ideal += usize::from(counts);
        }
    }

    /// Counts a request admitted; calls are in the order of time.
    pub fn admit(&mut self, at: Duration, counts: bool) {
        self.admitted.push(at.as_secs_f64());
        self.counted += usize::from(counts);
    }

    /// Requests that one exact bucket for the whole fleet would have admitted.
    pub fn ideal(&self) -> usize {
        self.ideal
    }

    /// Of these, how many were not admitted.
    pub fn refused(&self) -> usize {
        self.ideal.saturating_sub(self.counted)
    }

    /// All requests admitted.
    pub fn admitted(&self) -> usize {
        self.admitted.len()
    }

    /// The most by which admissions in any window exceed `rate` times its length.
    pub fn excess(&self) -> f64 {
        self.excess_over(self.rate)
    }

    /// The burst that no window may exceed by more than its length times the rate.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// The largest share of admitted over entitled in any window.
    pub fn largest_ratio(&self) -> f64 {
        let (mut low, mut high) = (0.0, self.admitted.len().max(1) as f64 / self.burst);
        for _ in 0..SEARCH_STEPS {
            let middle = f64::midpoint(low, high);
            if self.excess_over(middle * self.rate) > middle * self.burst {
                low = middle;
            } else {
                high = middle;
            }
        }
        high
    }

    fn excess_over(&self, rate: f64) -> f64 {
        let mut most: f64 = 0.0;
        let mut excess: f64 = 0.0;
        let mut last = 0.0;
        for at in &self.admitted {
            excess = (excess - rate * (at - last)).max(0.0) + 1.0;
            last = *at;
            most = most.max(excess);
        }
        most
    }
}

/// What a whole run measured.
#[derive(Debug, Default)]
pub struct RunScore {
    /// The teams.
    pub teams: Vec<TeamScore>,
    /// How long requests waited for their decision, in milliseconds.
    pub waits: Vec<f64>,
    /// Messages of loans sent.
    pub messages: u64,
    /// Bytes of those that went to another region, with the headers of a frame of their own.
    pub link_bytes: u64,
}

impl RunScore {
    /// The largest share of admitted over entitled, over all teams.
    pub fn largest_ratio(&self) -> f64 {
        let ratios = self.teams.iter().map(TeamScore::largest_ratio);
        ratios.fold(0.0, f64::max)
    }

    /// Refusals within the rate, in percent of what one exact bucket would have admitted.
    pub fn refused_percent(&self) -> f64 {
        let ideal: usize = self.teams.iter().map(TeamScore::ideal).sum();
        let refused: usize = self.teams.iter().map(TeamScore::refused).sum();
        100.0 * refused as f64 / ideal.max(1) as f64
    }

    /// The same of the worst-served team.
    pub fn worst_percent(&self) -> f64 {
        let share = |team: &TeamScore| 100.0 * team.refused() as f64 / team.ideal().max(1) as f64;
        self.teams.iter().map(share).fold(0.0, f64::max)
    }

    /// The wait that `percent` of the requests do not exceed, in milliseconds.
    pub fn wait(&self, percent: f64) -> f64 {
        let mut sorted = self.waits.clone();
        sorted.sort_by(f64::total_cmp);
        let index = (sorted.len() as f64 * percent / 100.0).ceil() as usize;
        sorted.get(index.saturating_sub(1)).copied().unwrap_or(0.0)
    }
}
