//! The messages that daemons exchange, as the decision crates see them.

mod config;
mod health;
mod lease;
mod loan;

pub use config::ConfigMessage;
pub use health::{HealthMessage, ServerDigest};
pub use lease::{LeaseMessage, RevisionView};
pub use loan::{LoanId, LoanMessage};

/// One message from a peer.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Spread of configuration.
    Config(ConfigMessage),
    /// Health seen by a peer.
    Health(HealthMessage),
    /// Confirmation of the freshness lease.
    Lease(LeaseMessage),
    /// Loans of tokens.
    Loan(LoanMessage),
}
