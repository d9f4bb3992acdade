//! Decisions and actions of the ledger.

use kws_protocol::{HostName, LoanMessage};
use std::time::Duration;

/// Identifies a request that waits for a loan.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AdmitTicket(pub u64);

/// The reason why a request is not admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalCause {
    /// The host's lease has expired, or the region no longer uses the host's newest revision.
    NotCurrent,
    /// No token was available, neither here nor from a lender.
    RateExceeded,
    /// The newest revision does not define the team.
    UnknownTeam,
}

/// The decision on one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmitDecision {
    /// One token was spent on the request.
    Admitted,
    /// The request waits for a loan; a [`LedgerAction::Settle`] with the ticket follows within
    /// milliseconds.
    Waiting(AdmitTicket),
    /// The request must not be forwarded.
    Refused {
        /// The reason.
        cause: RefusalCause,
        /// The delay after which a retry may succeed.
        retry_after: Duration,
    },
}

/// An action that the ledger's caller must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum LedgerAction {
    /// Send a message to a peer; it may be lost, delayed, duplicated or reordered.
    Send {
        /// The receiver.
        to: HostName,
        /// The message.
        message: LoanMessage,
    },
    /// Answer a request that waited; never holds [`AdmitDecision::Waiting`].
    Settle {
        /// The ticket of the request.
        ticket: AdmitTicket,
        /// The decision.
        decision: AdmitDecision,
    },
}
