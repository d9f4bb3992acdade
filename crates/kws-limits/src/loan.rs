//! Loans as their lender and their borrower keep them.

use kws_protocol::{HostName, LoanId};
use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// A loan given; it lowers the lender's capacity until it surely can't be spent any more.
#[derive(Debug)]
struct LentLoan {
    borrower: HostName,
    id: LoanId,
    tokens: f64,
    until: Instant,
}

/// The loans that a host has given for one team.
#[derive(Debug, Default)]
pub(crate) struct LentLoans {
    loans: VecDeque<LentLoan>,
    total: f64,
}

impl LentLoans {
    /// Tokens out.
    pub(crate) fn total(&self) -> f64 {
        self.total
    }

    /// Whether no loan is out.
    pub(crate) fn is_empty(&self) -> bool {
        self.loans.is_empty()
    }

    /// What was lent under this identifier, if it is still out.
    pub(crate) fn find(&self, borrower: &HostName, id: LoanId) -> Option<f64> {
        self.loans
            .iter()
            .find(|loan| loan.id == id && &loan.borrower == borrower)
            .map(|loan| loan.tokens)
    }

    /// Books a loan; `until` never falls from one call to the next.
    pub(crate) fn add(&mut self, borrower: &HostName, id: LoanId, tokens: f64, until: Instant) {
        self.loans.push_back(LentLoan {
            borrower: borrower.clone(),
            id,
            tokens,
            until,
        });
        self.total += tokens;
    }

    /// Closes a loan; gives its tokens once.
    pub(crate) fn close(&mut self, borrower: &HostName, id: LoanId) -> Option<f64> {
        let index = self
            .loans
            .iter()
            .position(|loan| loan.id == id && &loan.borrower == borrower)?;
        let loan = self.loans.remove(index)?;
        self.subtract(loan.tokens);
        Some(loan.tokens)
    }

    /// Forgets the loans that have run out.
    pub(crate) fn expire(&mut self, now: Instant) {
        while let Some(loan) = self.loans.pop_front_if(|loan| loan.until <= now) {
            self.subtract(loan.tokens);
        }
    }

    fn subtract(&mut self, tokens: f64) {
        self.total -= tokens;
        if self.loans.is_empty() {
            // Rounding must not pile up over many loans.
            self.total = 0.0;
        }
    }
}

/// A loan received.
#[derive(Debug)]
pub(crate) struct BorrowedLoan {
    /// The loan.
    pub(crate) id: LoanId,
    /// Who gave it.
    pub(crate) lender: HostName,
    /// Tokens left.
    pub(crate) tokens: f64,
    /// The end of its term.
    pub(crate) until: Instant,
    /// When it was last spent from, or received.
    pub(crate) used: Instant,
}

/// A request for a loan that has had no answer.
#[derive(Debug)]
pub(crate) struct PendingLoan {
    /// The loan.
    pub(crate) id: LoanId,
    /// Who was asked.
    pub(crate) lender: HostName,
    /// Tokens asked for.
    pub(crate) tokens: f64,
    /// When it was sent.
    pub(crate) sent: Instant,
    /// Whether the lender is in the own region.
    pub(crate) near: bool,
    /// Whether the lender was found silent.
    pub(crate) overdue: bool,
    /// How long the lender is spared when it is short.
    pub(crate) dry_pause: Duration,
    /// Until when an answer is counted on; a later one is still taken within the term.
    pub(crate) expected: Instant,
}

/// A lender that was short or silent.
#[derive(Debug)]
pub(crate) struct DryLender {
    /// The lender.
    pub(crate) lender: HostName,
    /// Until when it is not asked.
    pub(crate) until: Instant,
    /// How long that was.
    pub(crate) pause: Duration,
}

/// The demand for a team's tokens on this host, in requests a second, weighted to the recent.
#[derive(Debug)]
pub(crate) struct DemandRate {
    rate: f64,
    seen: Instant,
}

impl DemandRate {
    const MEMORY: Duration = Duration::from_millis(500);

    /// No demand yet.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            rate: 0.0,
            seen: now,
        }
    }

    /// Counts one request.
    pub(crate) fn note(&mut self, now: Instant) {
        self.rate = self.value(now) + 1.0 / Self::MEMORY.as_secs_f64();
        self.seen = now;
    }

    /// The rate now.
    pub(crate) fn value(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.seen).as_secs_f64();
        self.rate * (-elapsed / Self::MEMORY.as_secs_f64()).exp()
    }
}

/// How much of what is asked for is lent, weighted to the recent; between 0 and 1.
#[derive(Debug)]
pub(crate) struct FulfilledShare(f64);

impl FulfilledShare {
    /// The weight of the newest answer.
    const STEP: f64 = 0.2;

    /// All, until an answer says otherwise.
    pub(crate) fn new() -> Self {
        Self(1.0)
    }

    /// Counts one answer.
    pub(crate) fn note(&mut self, lent: f64, asked: f64) {
        let share = if lent < asked { lent / asked } else { 1.0 };
        self.0 += Self::STEP * (share - self.0);
    }

    /// The share.
    pub(crate) fn value(&self) -> f64 {
        self.0
    }
}
