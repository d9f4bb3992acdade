//! The data published by the platform at one revision.

use crate::{FleetSettings, HostList};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, fmt, sync::Arc};
use xxhash_rust::xxh3::Xxh3;

/// The lower bits of a revision count the changes, the others the eras.
const COUNT_BITS: u32 = 44;

/// Revision of all data that the platform publishes for the fleet; a higher one is newer. The default
/// is lower than all that a platform gives out.
///
/// A platform that comes back from an older copy of its data begins a new era, in which it gives out
/// counts again. Revisions are ordered by era and count together.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(from = "RevisionNumbers", into = "RevisionNumbers")]
pub struct TreeRevision(u64);

/// A revision as operators and their tools read it.
#[derive(Deserialize, Serialize)]
struct RevisionNumbers {
    revision: u64,
    #[serde(default = "first_era", skip_serializing_if = "is_first_era")]
    era: u64,
}

fn first_era() -> u64 {
    TreeRevision::FIRST_ERA
}

// serde passes a reference to the field to this function.
#[expect(clippy::trivially_copy_pass_by_ref)]
fn is_first_era(era: &u64) -> bool {
    *era == TreeRevision::FIRST_ERA
}

impl TreeRevision {
    /// The era of a platform that has never come back from an older copy, and of one that names none.
    pub const FIRST_ERA: u64 = 1;

    /// The revision with a count of changes in an era; the default for a count of 0, which no platform
    /// gives out. Both saturate, at 2^20 and 2^44.
    pub const fn new(era: u64, count: u64) -> Self {
        let (highest_era, highest_count) = (u64::MAX >> COUNT_BITS, (1 << COUNT_BITS) - 1);
        let era = if era > highest_era { highest_era } else { era };
        let count = if count > highest_count {
            highest_count
        } else {
            count
        };
        if count == 0 {
            return Self(0);
        }
        Self(era << COUNT_BITS | count)
    }

    /// The revision with a count of changes in the first era.
    pub const fn first(count: u64) -> Self {
        Self::new(Self::FIRST_ERA, count)
    }

    /// How often the platform has come back from an older copy of its data, from 1 on.
    pub const fn era(self) -> u64 {
        self.0 >> COUNT_BITS
    }

    /// The number of changes that the platform has counted.
    pub const fn count(self) -> u64 {
        self.0 & ((1 << COUNT_BITS) - 1)
    }

    /// The next revision of the same era; the first one of all after the default.
    #[must_use]
    pub const fn next(self) -> Self {
        if self.0 == 0 {
            return Self::first(1);
        }
        Self(self.0 + 1)
    }

    /// The revision before this one, which must not be the default.
    #[must_use]
    pub const fn previous(self) -> Self {
        Self(self.0 - 1)
    }

    /// The number that peers exchange. In the first era it is the count, as hosts of earlier versions
    /// expect it, and they order later eras likewise.
    pub(crate) const fn to_wire(self) -> u64 {
        if self.0 == 0 {
            return 0;
        }
        self.0.wrapping_sub(Self::FIRST_ERA << COUNT_BITS)
    }

    /// The revision of a number from [`Self::to_wire`].
    pub(crate) const fn from_wire(number: u64) -> Self {
        if number == 0 {
            return Self(0);
        }
        Self(number.wrapping_add(Self::FIRST_ERA << COUNT_BITS))
    }
}

impl From<RevisionNumbers> for TreeRevision {
    fn from(numbers: RevisionNumbers) -> Self {
        Self::new(numbers.era, numbers.revision)
    }
}

impl From<TreeRevision> for RevisionNumbers {
    fn from(revision: TreeRevision) -> Self {
        let era = if revision.0 == 0 {
            TreeRevision::FIRST_ERA
        } else {
            revision.era()
        };
        Self {
            revision: revision.count(),
            era,
        }
    }
}

impl fmt::Display for TreeRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0 == 0 || self.era() == Self::FIRST_ERA {
            return self.count().fmt(formatter);
        }
        write!(formatter, "{}/{}", self.era(), self.count())
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
