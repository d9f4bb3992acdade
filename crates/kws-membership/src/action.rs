//! What the view decides, and what it counts.

use crate::Readiness;
use kws_protocol::{FleetSnapshot, HostName, ListedHost, PeerMessage, TreeRevision};
use std::sync::Arc;

/// One decision of [`crate::FleetView`].
#[derive(Clone, Debug, PartialEq)]
pub enum FleetAction {
    /// Send a message to a peer; a lost one is made good by a later round.
    Send {
        /// The peer.
        to: HostName,
        /// The message.
        message: PeerMessage,
    },
    /// Peers that may be sent to although no snapshot is in force yet: the tree read first is
    /// broken, but its host list is not.
    Contact(Vec<ListedHost>),
    /// A new snapshot is in force.
    Publish(Arc<FleetSnapshot>),
    /// A newer revision failed its check; the last good snapshot stays in force.
    Refuse {
        /// The revision.
        revision: TreeRevision,
        /// All findings, as one text.
        findings: String,
    },
    /// The readiness changed.
    Readiness(Readiness),
}

/// Counts since the start of the daemon.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FleetCounters {
    /// Revisions adopted.
    pub adopted: u64,
    /// Trees refused because their check failed.
    pub refused_trees: u64,
    /// The same revision seen with another digest, from the platform or a peer.
    pub conflicts: u64,
    /// Answers of the platform at a revision older than one already seen.
    pub stale_platform: u64,
    /// Calls to the platform that failed.
    pub failed_platform: u64,
    /// Answers of peers to a question no longer open.
    pub late_answers: u64,
    /// Deltas whose result had another digest than they stated.
    pub bad_deltas: u64,
    /// Requests sent to peers for newer values.
    pub fetches: u64,
    /// Changes pushed to peers that were not heard at them.
    pub pushes: u64,
}
