//! Renewal of the freshness lease among the hosts of a region.

use crate::TreeRevision;
use std::time::Duration;

/// A host's knowledge of the platform's published revision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RevisionView {
    /// Highest revision held by the host.
    pub revision: TreeRevision,
    /// Digest of that revision's values, identical on every host.
    pub digest: u64,
    /// Time since the platform last confirmed a revision, to this host or to a host that it heard
    /// from.
    pub confirmed_age: Duration,
}

/// Messages that query a peer's newest revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseMessage {
    /// Asks a peer which revision it holds.
    Query {
        /// Echoed in the reply, so that the lease is measured from when the query was sent.
        nonce: u64,
        /// State of the sender.
        view: RevisionView,
    },
    /// Reply to a query.
    Reply {
        /// Nonce of the query.
        nonce: u64,
        /// State of the replying host.
        view: RevisionView,
        /// Whether the replying host has been up long enough for its reply to count towards a
        /// majority.
        voting: bool,
    },
}
