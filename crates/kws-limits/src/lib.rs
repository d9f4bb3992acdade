//! Rate limits of teams, enforced across all hosts of the fleet.
//!
//! Each host is allotted a share of every team's rate and burst; the shares of one revision sum to
//! at most the team's total. A host uses the smallest of its shares over all revisions that any
//! host may still use, and borrows further tokens from its peers. `docs/LIMITS.md` proves that the
//! limits hold.

mod account;
mod decision;
mod lease;
mod ledger;
mod loan;
mod owner;
mod partition;
mod placement;
mod policy;
mod retained;
mod window;

pub use decision::{AdmitDecision, AdmitTicket, LedgerAction, RefusalCause};
pub use ledger::LimitsLedger;
pub use owner::{TokenDecision, TokenOwner};
pub use partition::{PARTITION_COUNT, TokenPartition};
pub use placement::{holder_count, region_holders, region_weight};
pub use policy::{LOAN_TERM, LimitsPolicy};
