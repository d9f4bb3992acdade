//! Loans of tokens between hosts.

use crate::TeamName;

/// One loan, named by its borrower; a repeated message carries the same identifier.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LoanId(pub u64);

/// A request for tokens, its answer, and the return of unspent ones.
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
}
