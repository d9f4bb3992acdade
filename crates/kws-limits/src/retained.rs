//! The oldest revision that each region may still use.

use kws_protocol::{RegionName, TreeRevision};
use std::collections::BTreeMap;

/// For each region, a revision below which no host of it can be current and no loan of it can be
/// spent. Each entry only rises, so it may be learned from anyone, late and more than once.
#[derive(Debug, Default)]
pub(crate) struct RetainedRevisions {
    oldest: BTreeMap<RegionName, TreeRevision>,
}

impl RetainedRevisions {
    /// Takes in what was learned; true when it is news.
    pub(crate) fn raise(&mut self, region: &RegionName, oldest: TreeRevision) -> bool {
        if oldest <= self.oldest(region) {
            return false;
        }
        self.oldest.insert(region.clone(), oldest);
        true
    }

    /// The oldest revision that the region may use; 0 when not known.
    pub(crate) fn oldest(&self, region: &RegionName) -> TreeRevision {
        self.oldest.get(region).copied().unwrap_or_default()
    }

    /// All that is known.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&RegionName, TreeRevision)> {
        self.oldest.iter().map(|(region, &oldest)| (region, oldest))
    }
}
