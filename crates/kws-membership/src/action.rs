//! The actions that the state machines return, and their counters.

use crate::Readiness;
use kws_protocol::{FleetSnapshot, HostName, ListedHost, PeerMessage, TreeRevision};
use std::sync::Arc;

/// An action for the daemon, decided by [`crate::FleetView`] or [`crate::MeshView`].
#[derive(Clone, Debug, PartialEq)]
pub enum FleetAction {
    /// Send a message to a peer. Delivery is not guaranteed; a later round makes up for a lost
    /// message.
    Send {
        /// The receiver.
        to: HostName,
        /// The message.
        message: PeerMessage,
    },
    /// Replace the peers that can be contacted. Also valid without an active snapshot: the first
    /// tree may fail its check while its host list is valid.
    SetContacts(Vec<ListedHost>),
    /// Activate a new snapshot.
    Publish(Arc<FleetSnapshot>),
    /// Report that a newer revision failed its check; the last valid snapshot stays active.
    Reject {
        /// The rejected revision.
        revision: TreeRevision,
        /// All findings of the check, as one text.
        findings: String,
    },
    /// Report a changed readiness.
    Readiness(Readiness),
}

/// Counters since the start of the daemon.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FleetCounters {
    /// Revisions adopted.
    pub adopted: u64,
    /// Trees rejected because their check failed.
    pub rejected_trees: u64,
    /// Cases of one revision seen with two digests, from the platform or a peer.
    pub conflicts: u64,
    /// Returns of the platform from an older copy of its data.
    pub era_changes: u64,
    /// Answers of the platform at a revision older than one already seen.
    pub stale_platform: u64,
    /// Failed calls to the platform.
    pub failed_platform: u64,
    /// Replies of peers to a query that is no longer open.
    pub late_replies: u64,
    /// Deltas that could not be applied or gave another digest than stated.
    pub bad_deltas: u64,
    /// Requests to peers for newer values.
    pub fetches: u64,
    /// Changes pushed to peers without a request.
    pub pushes: u64,
}
