//! Domain types of the messages exchanged between daemons, independent of their encoding.

mod config;
mod health;
mod lease;
mod loan;
mod mesh;
mod ticket;

pub use config::ConfigMessage;
pub use health::{HealthMessage, HealthReport};
pub use lease::{LeaseMessage, RevisionView};
pub use loan::{LoanId, LoanMessage};
pub use mesh::{
    HashedAge, MemberReport, MeshMember, MeshMessage, RetainedValue, ValuesDelta, ValuesView,
};
pub use ticket::{
    ServerLoad, SlotGrant, SlotOutcome, SlotRequest, TicketMessage, TokenRequestKind, TryKind,
};

/// A message exchanged between two daemons.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Distribution of configuration.
    Config(ConfigMessage),
    /// Backend server health observed by a peer.
    Health(HealthMessage),
    /// Renewal of the freshness lease.
    Lease(LeaseMessage),
    /// Loans of rate-limit tokens.
    Loan(LoanMessage),
    /// Membership and configuration values among hosts that discover each other through seeds.
    Mesh(MeshMessage),
    /// Requests for server slots and rate-limit tokens, sent to the host that manages them.
    Ticket(TicketMessage),
}
