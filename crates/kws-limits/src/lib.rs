//! Rate and burst counted over all hosts together.
//!
//! Every host holds a share of each team's rate and burst; the shares of one revision sum to the
//! team's total. A host uses the least of its shares over all the revisions that any host may still
//! use, and borrows tokens from peers. `docs/LIMITS.md` has the proof.

mod account;
mod decision;
mod keeper;
mod lease;
mod ledger;
mod loan;
mod placement;
mod policy;
mod retained;
mod window;

pub use decision::{AdmitDecision, AdmitTicket, LedgerAction, RefusalCause};
pub use keeper::{TokenAnswer, TokenKeeper};
pub use ledger::LimitsLedger;
pub use placement::{holder_count, region_holders, region_weight};
pub use policy::{LOAN_TERM, LimitsPolicy};
