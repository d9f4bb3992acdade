//! How much speaks against a server: a cumulative sum of log-likelihood ratios (E. S. Page,
//! "Continuous inspection schemes", 1954) over the answers that all hosts of the region report.

use std::time::Duration;
use tokio::time::Instant;

/// What a bad answer adds: a healthy server gives one in eighty, a failing one about two in three.
const BAD_ANSWER: f64 = 4.0;
/// What a good answer takes: a failing server gives one in ten.
const GOOD_ANSWER: f64 = 2.5;
/// What a request adds that is out for much longer than usual, and again when it ends without an
/// answer: long work does so on healthy servers too, but not on all slots at once.
const OVERDUE: f64 = 1.0;
/// Evidence fades by so much a second: failures last some seconds.
const FADE_PER_SECOND: f64 = 0.6;
/// Nothing counts beyond this, so that a server that is well again comes back in time.
const CEILING: f64 = 12.0;
/// From here on a server gets work only when the others are full: one bad answer reaches it.
const SUSPECT_FROM: f64 = 1.5;
/// From here on a server gets trials only: two bad answers in a row reach it.
const SICK_FROM: f64 = 6.0;

/// How a server may be used, by the evidence.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Suspicion {
    /// Nothing speaks against it.
    Clean,
    /// It gets work only when the others are full.
    Suspect,
    /// It gets trials only.
    Sick,
}

/// The evidence against one server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Evidence {
    sum: f64,
    at: Instant,
}

impl Evidence {
    /// Nothing is known.
    pub(crate) fn new(now: Instant) -> Self {
        Self { sum: 0.0, at: now }
    }

    /// The sum at `now`.
    pub(crate) fn sum(&self, now: Instant) -> f64 {
        let time = now.saturating_duration_since(self.at).as_secs_f64();
        (self.sum - time * FADE_PER_SECOND).max(0.0)
    }

    fn add(&mut self, step: f64, now: Instant) {
        self.sum = (self.sum(now) + step).clamp(0.0, CEILING);
        self.at = now;
    }

    /// Takes a bad answer.
    pub(crate) fn bad(&mut self, now: Instant) {
        self.add(BAD_ANSWER, now);
    }

    /// Takes a good answer.
    pub(crate) fn good(&mut self, now: Instant) {
        self.add(-GOOD_ANSWER, now);
    }

    /// Takes a request that is out for too long.
    pub(crate) fn overdue(&mut self, now: Instant) {
        self.add(OVERDUE, now);
    }

    /// Takes another judge's sum when that is higher.
    pub(crate) fn learn(&mut self, sum: f64, now: Instant) {
        self.sum = self.sum(now).max(sum.clamp(0.0, CEILING));
        self.at = now;
    }

    /// Forgets all.
    pub(crate) fn clear(&mut self, now: Instant) {
        *self = Self::new(now);
    }

    /// What follows from the evidence.
    pub(crate) fn verdict(&self, now: Instant) -> Suspicion {
        match self.sum(now) {
            sum if sum >= SICK_FROM => Suspicion::Sick,
            sum if sum >= SUSPECT_FROM => Suspicion::Suspect,
            _ => Suspicion::Clean,
        }
    }
}

/// A server that is out, and when it is tried next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Ejection {
    pub(crate) until: Instant,
    pub(crate) length: Duration,
}
