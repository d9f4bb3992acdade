//! Loans of rate-limit tokens between hosts.

use crate::{RegionName, TeamName, TreeRevision};

/// Identifier of a loan, assigned by the borrower; a retransmitted message carries the same one.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LoanId(pub u64);

/// Messages that borrow, lend and return tokens, and that share the oldest revisions in use.
#[derive(Clone, Debug, PartialEq)]
pub enum LoanMessage {
    /// Asks the receiver to lend tokens.
    Borrow {
        /// Identifier of the loan.
        id: LoanId,
        /// Team whose tokens are requested.
        team: TeamName,
        /// Number of tokens requested.
        tokens: f64,
    },
    /// Lends tokens: fewer than requested, possibly 0, if the lender has too few.
    Lend {
        /// Identifier of the loan.
        id: LoanId,
        /// Team that owns the tokens.
        team: TeamName,
        /// Number of tokens lent.
        tokens: f64,
    },
    /// Returns the unspent tokens of a loan.
    Return {
        /// Identifier of the loan.
        id: LoanId,
        /// Team that owns the tokens.
        team: TeamName,
        /// Number of tokens returned.
        tokens: f64,
    },
    /// Asks which revisions may still be in use.
    QueryRetained,
    /// States the oldest revision that any host of a region may still use. Once true, this holds
    /// permanently: no host goes back to an older revision.
    Retained {
        /// Region described.
        region: RegionName,
        /// Oldest revision that may still be in use; 0 if unknown to the sender.
        oldest: TreeRevision,
    },
}
