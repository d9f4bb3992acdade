//! The data published by the platform at one revision.

use crate::{FleetSettings, HostList};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, fmt, sync::Arc};
use xxhash_rust::xxh3::Xxh3;

/// Revision of all data that the platform publishes for the fleet; a higher one is newer.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct TreeRevision(pub u64);

impl fmt::Display for TreeRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// The published values, all read at the same revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PublishedValues {
    /// Revision at which the values were read.
    pub revision: TreeRevision,
    /// Values by key; keys of the configuration tree end in `.yaml`, the host list is `hosts.json`.
    pub values: BTreeMap<String, Arc<str>>,
}

impl PublishedValues {
    /// Returns the xxh3 digest of the sorted keys and values, identical on every host; the revision
    /// is not included.
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for (key, value) in &self.values {
            hash_text(&mut hasher, key);
            hash_text(&mut hasher, value);
        }
        hasher.digest()
    }
}

/// Hashes a text prefixed with its length, so that moving bytes between adjacent texts changes the
/// digest.
fn hash_text(hasher: &mut Xxh3, text: &str) {
    hasher.update(&(text.len() as u64).to_le_bytes());
    hasher.update(text.as_bytes());
}

/// The validated settings and the host list of one revision.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSnapshot {
    /// Revision of the settings and the host list.
    pub revision: TreeRevision,
    /// The operators' configuration tree, resolved. Snapshots that differ in their hosts only share
    /// it.
    pub settings: Arc<FleetSettings>,
    /// The platform's host list.
    pub hosts: HostList,
}
