//! What the platform publishes, read at one revision.

use crate::{FleetSettings, HostList};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, fmt, sync::Arc};

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
