//! Distribution of published configuration values between hosts.

use crate::TreeRevision;
use std::sync::Arc;

/// Messages that request and deliver newer configuration values.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigMessage {
    /// Requests the changes since a revision.
    Fetch {
        /// Revision held by the requester.
        since: TreeRevision,
    },
    /// Delivers the values that changed between two revisions.
    Delta {
        /// Revision to which the delta applies; 0 for a full copy.
        base: TreeRevision,
        /// Revision after the delta is applied.
        revision: TreeRevision,
        /// Digest of all values after the delta is applied; see [`crate::PublishedValues::digest`].
        digest: u64,
        /// Values added or changed, by key.
        set: Vec<(String, Arc<str>)>,
        /// Removed keys.
        removed: Vec<String>,
    },
}
