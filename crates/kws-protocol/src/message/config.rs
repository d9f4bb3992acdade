//! Spread of published values between hosts.

use crate::TreeRevision;
use std::sync::Arc;

/// A request for newer values, and the values.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigMessage {
    /// "Send me what changed since this revision."
    Fetch {
        /// The revision that the asker holds.
        since: TreeRevision,
    },
    /// The values that changed between two revisions.
    Delta {
        /// The revision to apply the change to; 0 for a whole copy.
        base: TreeRevision,
        /// The revision after the change.
        revision: TreeRevision,
        /// The digest of all values after the change, as [`crate::PublishedValues::digest`] gives it.
        digest: u64,
        /// Values set, by key.
        set: Vec<(String, Arc<str>)>,
        /// Keys removed.
        removed: Vec<String>,
    },
}
