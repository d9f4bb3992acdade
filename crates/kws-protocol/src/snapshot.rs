//! What the platform publishes, read at one revision.

use crate::{FleetSettings, HostList};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, fmt, sync::Arc};
use xxhash_rust::xxh3::Xxh3;

/// The platform's revision of everything it publishes for the fleet; a higher one is newer.
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

/// The published values by key, all read at one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PublishedValues {
    /// The revision at which all the values were read.
    pub revision: TreeRevision,
    /// The values by key; the tree's branches end in `.yaml`, the host list is `hosts.json`.
    pub values: BTreeMap<String, Arc<str>>,
}

impl PublishedValues {
    /// The xxh3 digest of the sorted keys and values, the same on every host; the revision is no
    /// part of it.
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for (key, value) in &self.values {
            update_text(&mut hasher, key);
            update_text(&mut hasher, value);
        }
        hasher.digest()
    }
}

/// Adds a text with its length, so that neighbouring texts cannot trade bytes unseen.
fn update_text(hasher: &mut Xxh3, text: &str) {
    hasher.update(&(text.len() as u64).to_le_bytes());
    hasher.update(text.as_bytes());
}

/// The checked settings and the host list of one revision.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSnapshot {
    /// The revision of both.
    pub revision: TreeRevision,
    /// The operators' tree, resolved.
    pub settings: FleetSettings,
    /// The platform's list.
    pub hosts: HostList,
}
