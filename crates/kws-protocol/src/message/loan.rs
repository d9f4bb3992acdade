//! Loans of tokens between hosts.

use crate::{RegionName, TeamName, TreeRevision};

/// One loan, named by its borrower; a repeated message carries the same identifier.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LoanId(pub u64);

/// A request for tokens, its answer, the return of unspent ones, and the oldest revisions in use.
#[derive(Clone, Debug, PartialEq)]
pub enum LoanMessage {
    /// "Lend me tokens."
    Borrow {
        /// The loan.
        id: LoanId,
        /// The team whose tokens are asked for.
        team: TeamName,
        /// Tokens wanted.
        tokens: f64,
    },
    /// Tokens lent; less than wanted, down to 0, when the lender is short.
    Lend {
        /// The loan.
        id: LoanId,
        /// The team.
        team: TeamName,
        /// Tokens lent.
        tokens: f64,
    },
    /// Unspent tokens of a loan handed back.
    Return {
        /// The loan.
        id: LoanId,
        /// The team.
        team: TeamName,
        /// Tokens handed back.
        tokens: f64,
    },
    /// "Which revisions may still be in use?"
    AskRetained,
    /// No host of a region can use a revision older than this one any more; this stays true.
    Retained {
        /// The region.
        region: RegionName,
        /// The oldest revision that may be in use; 0 when the sender does not know.
        oldest: TreeRevision,
    },
}
