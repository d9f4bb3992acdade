//! Loans, as recorded by their lenders and borrowers.

use kws_protocol::{HostName, LoanId};
use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// A granted loan. It lowers the lender's capacity until the borrower can no longer spend it by any
/// clock.
#[derive(Debug)]
struct LentLoan {
    borrower: HostName,
    id: LoanId,
    tokens: f64,
    until: Instant,
}

/// The loans that a host has granted for one team.
#[derive(Debug, Default)]
pub(crate) struct LentLoans {
    loans: VecDeque<LentLoan>,
    total: f64,
}

impl LentLoans {
    /// The tokens of all outstanding loans.
    pub(crate) fn total(&self) -> f64 {
        self.total
    }

    /// Whether no loan is outstanding.
    pub(crate) fn is_empty(&self) -> bool {
        self.loans.is_empty()
    }

    /// The tokens of an outstanding loan.
    pub(crate) fn find(&self, borrower: &HostName, id: LoanId) -> Option<f64> {
        self.loans
            .iter()
            .find(|loan| loan.id == id && &loan.borrower == borrower)
            .map(|loan| loan.tokens)
    }

    /// Adds a loan; `until` must not decrease from one call to the next.
    pub(crate) fn add(&mut self, borrower: &HostName, id: LoanId, tokens: f64, until: Instant) {
        self.loans.push_back(LentLoan {
            borrower: borrower.clone(),
            id,
            tokens,
            until,
        });
        self.total += tokens;
    }

    /// Closes a loan and gives its tokens; a loan can be closed only once.
    pub(crate) fn close(&mut self, borrower: &HostName, id: LoanId) -> Option<f64> {
        let index = self
            .loans
            .iter()
            .position(|loan| loan.id == id && &loan.borrower == borrower)?;
        let loan = self.loans.remove(index)?;
        self.subtract(loan.tokens);
        Some(loan.tokens)
    }

    /// Drops expired loans.
    pub(crate) fn expire(&mut self, now: Instant) {
        while let Some(loan) = self.loans.pop_front_if(|loan| loan.until <= now) {
            self.subtract(loan.tokens);
        }
    }

    fn subtract(&mut self, tokens: f64) {
        self.total -= tokens;
        if self.loans.is_empty() {
            // Prevents rounding errors from accumulating over many loans.
            self.total = 0.0;
        }
    }
}

/// A received loan.
#[derive(Debug)]
pub(crate) struct BorrowedLoan {
    pub(crate) id: LoanId,
    pub(crate) lender: HostName,
    /// Unspent tokens.
    pub(crate) tokens: f64,
    /// The end of the loan's term.
    pub(crate) until: Instant,
    /// When the loan was last spent from, or else received.
    pub(crate) last_used: Instant,
}

/// A loan request without a reply yet.
#[derive(Debug)]
pub(crate) struct PendingLoan {
    pub(crate) id: LoanId,
    pub(crate) lender: HostName,
    /// Requested tokens.
    pub(crate) tokens: f64,
    pub(crate) sent: Instant,
    /// Whether the lender is in the own region.
    pub(crate) in_region: bool,
    /// Whether the missing reply has already started a cooldown of the lender.
    pub(crate) overdue: bool,
    /// The cooldown of the lender if it lends less than requested.
    pub(crate) cooldown: Duration,
    /// Until when a reply is expected; a later one is still accepted within the term.
    pub(crate) expected_until: Instant,
}

/// A lender that lent less than requested or did not reply in time.
#[derive(Debug)]
pub(crate) struct LenderCooldown {
    pub(crate) lender: HostName,
    /// Until when the lender is not asked.
    pub(crate) until: Instant,
    /// The length of the cooldown.
    pub(crate) length: Duration,
}

/// The demand for a team's tokens on this host, in requests per second, as an exponentially
/// decaying average.
#[derive(Debug)]
pub(crate) struct DemandRate {
    rate: f64,
    updated: Instant,
}

impl DemandRate {
    const DECAY_TIME: Duration = Duration::from_millis(500);

    /// Starts at a rate of 0.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            rate: 0.0,
            updated: now,
        }
    }

    /// Records one request.
    pub(crate) fn record(&mut self, now: Instant) {
        self.rate = self.value(now) + 1.0 / Self::DECAY_TIME.as_secs_f64();
        self.updated = now;
    }

    /// The rate at `now`.
    pub(crate) fn value(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.rate * (-elapsed / Self::DECAY_TIME.as_secs_f64()).exp()
    }
}

/// The fraction of requested tokens that is lent, from 0 to 1, as an exponentially weighted average
/// over replies.
#[derive(Debug)]
pub(crate) struct FulfilledShare(f64);

impl FulfilledShare {
    /// The weight of the newest reply.
    const NEWEST_WEIGHT: f64 = 0.2;

    /// Starts at 1, so that the first loan request counts in full.
    pub(crate) fn new() -> Self {
        Self(1.0)
    }

    /// Records one reply.
    pub(crate) fn record(&mut self, lent: f64, asked: f64) {
        let share = if lent < asked { lent / asked } else { 1.0 };
        self.0 += Self::NEWEST_WEIGHT * (share - self.0);
    }

    pub(crate) fn value(&self) -> f64 {
        self.0
    }
}
