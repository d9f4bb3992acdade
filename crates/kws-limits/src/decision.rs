//! What the ledger decides.

use kws_protocol::{HostName, LoanMessage};
use std::time::Duration;

/// A request that waits for a loan.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AdmitTicket(pub u64);

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalCause {
    /// The host's lease has run out.
    NotCurrent,
    /// No token could be had.
    RateExceeded,
    /// The newest revision has no such team.
    UnknownTeam,
}

/// The decision on one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmitDecision {
    /// One token was spent on it.
    Admitted,
    /// It waits for a loan; a [`LedgerAction::Settle`] with the ticket follows within milliseconds.
    Waiting(AdmitTicket),
    /// It must not run.
    Refused {
        /// Why.
        cause: RefusalCause,
        /// When another try may succeed.
        retry_after: Duration,
    },
}

/// What the ledger's owner must do.
#[derive(Clone, Debug, PartialEq)]
pub enum LedgerAction {
    /// Send a message to a peer; it may be lost, late, repeated or reordered.
    Send {
        /// The peer.
        to: HostName,
        /// The message.
        message: LoanMessage,
    },
    /// Settle a request that waited; never holds [`AdmitDecision::Waiting`].
    Settle {
        /// The ticket of the request.
        ticket: AdmitTicket,
        /// The decision.
        decision: AdmitDecision,
    },
}
