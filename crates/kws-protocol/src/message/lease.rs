//! Confirmation of the freshness lease between hosts of one region.

use crate::TreeRevision;
use std::time::Duration;

/// What a host knows of the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RevisionView {
    /// The highest revision that the host holds.
    pub revision: TreeRevision,
    /// The digest of that revision's values, the same on every host.
    pub digest: u64,
    /// How long ago the platform last confirmed any revision, to this host or to one it heard.
    pub platform_age: Duration,
}

/// A question about a peer's newest revision, and its answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseMessage {
    /// "What do you hold?"
    Question {
        /// Repeated in the answer, so that the asker measures from when it sent the question.
        nonce: u64,
        /// What the asker holds.
        view: RevisionView,
    },
    /// The answer.
    Answer {
        /// The nonce of the question.
        nonce: u64,
        /// What the answering host holds.
        view: RevisionView,
        /// Whether the answering host has been up long enough for its word to count.
        counts: bool,
    },
}
