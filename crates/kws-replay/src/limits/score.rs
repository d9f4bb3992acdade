//! What a run measured.

use std::{ops::RangeInclusive, time::Duration};

/// What sums of floating-point numbers may be off by, in requests.
const ROUNDING: f64 = 1e-6;

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
    ideal_offers: Vec<Duration>,
    admitted_offers: Vec<Duration>,
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
            ideal_offers: Vec::new(),
            admitted_offers: Vec::new(),
            counted: 0,
        }
    }

    /// Counts a request offered; `counts` when its outcome is scored.
    pub fn offer(&mut self, offered: Duration, counts: bool) {
        let at = offered.as_secs_f64();
        let filled = self.ideal_level + self.rate * (at - self.ideal_seen);
        self.ideal_level = filled.min(self.burst);
        self.ideal_seen = at;
        if self.ideal_level >= 1.0 {
            self.ideal_level -= 1.0;
            self.ideal += usize::from(counts);
            self.ideal_offers.push(offered);
        }
    }

    /// Counts a request admitted at `at`; calls are in the order of time.
    pub fn admit(&mut self, at: Duration, offered: Duration, counts: bool) {
        self.admitted.push(at.as_secs_f64());
        self.admitted_offers.push(offered);
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

    /// Of the requests offered in a span, how many one exact bucket would have admitted.
    pub fn ideal_in(&self, span: &RangeInclusive<Duration>) -> usize {
        let offers = self.ideal_offers.iter();
        offers.filter(|at| span.contains(at)).count()
    }

    /// Of the requests offered in a span, how many were admitted.
    pub fn admitted_in(&self, span: &RangeInclusive<Duration>) -> usize {
        let offers = self.admitted_offers.iter();
        offers.filter(|at| span.contains(at)).count()
    }

    /// When a window first holds more than its entitlement and `slack`, and by how much it exceeds its rate.
    pub fn first_excess(&self, slack: f64) -> Option<(Duration, f64)> {
        let allowed = self.burst + slack + ROUNDING;
        let mut running = self.running_excess(self.rate);
        let (at, excess) = running.find(|(_, excess)| *excess > allowed)?;
        Some((Duration::from_secs_f64(at), excess))
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
        let excesses = self.running_excess(rate).map(|(_, excess)| excess);
        excesses.fold(0.0, f64::max)
    }

    /// At each admission the most by which any window that ends there exceeds `rate`.
    fn running_excess(&self, rate: f64) -> impl Iterator<Item = (f64, f64)> {
        let (mut excess, mut last): (f64, f64) = (0.0, 0.0);
        self.admitted.iter().map(move |at| {
            excess = (excess - rate * (at - last)).max(0.0) + 1.0;
            last = *at;
            (*at, excess)
        })
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
